package routertrial

import (
	"context"
	"math/rand/v2"
)

// take draws a machine that is in no such trouble, and reserves it; nil where there is none. Of the machines
// that count no more are taken at a time than may be lost.
func (s *soak) take(lot *rand.Rand, fits func(*Machine) bool) *Machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var free []*Machine
	for _, m := range s.Machines {
		if !s.busy[m] && fits(m) && (!m.HasDisk || s.coreBusy < s.Fleet.options.shape().tolerated) {
			free = append(free, m)
		}
	}
	if len(free) == 0 {
		return nil
	}
	m := free[lot.IntN(len(free))]
	s.reserve(m)
	return m
}

// takeAll reserves all machines, or none where one is in trouble.
func (s *soak) takeAll() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.busy) > 0 {
		return false
	}
	for _, m := range s.Machines {
		s.reserve(m)
	}
	return true
}

// reserve notes that a machine is in trouble; the lock is held.
func (s *soak) reserve(m *Machine) {
	s.busy[m] = true
	if m.HasDisk {
		s.coreBusy++
	}
}

func (s *soak) release(machines ...*Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range machines {
		delete(s.busy, m)
		if m.HasDisk {
			s.coreBusy--
		}
	}
}

func anyMachine(*Machine) bool { return true }

func hasDisk(m *Machine) bool { return m.HasDisk }

// onMachine has a trouble befall a machine that is in no other one that ends or stops its process.
func onMachine(fits func(*Machine) bool, play func(context.Context, *soak, *rand.Rand, *Machine) error,
) func(context.Context, *soak, *rand.Rand) error {
	return func(ctx context.Context, s *soak, lot *rand.Rand) error {
		m := s.take(lot, fits)
		if m == nil {
			return nil
		}
		defer s.release(m)
		return play(ctx, s, lot, m)
	}
}

// drawMachine returns one of some machines.
func drawMachine(lot *rand.Rand, machines []*Machine) *Machine {
	return machines[lot.IntN(len(machines))]
}
