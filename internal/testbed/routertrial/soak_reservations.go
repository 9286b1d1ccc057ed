package routertrial

import (
	"context"
	"math/rand/v2"
)

// reserveOne reserves a random eligible machine for a fault that ends or stops its process; nil where there
// is none. No more machines with a disk are reserved at a time than may be lost.
func (s *soak) reserveOne(rng *rand.Rand, eligible func(*Machine) bool) *Machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var free []*Machine
	for _, m := range s.Machines {
		if !s.reserved[m] && eligible(m) && (!m.HasDisk || s.reservedWithDisk < s.options.shape().tolerated) {
			free = append(free, m)
		}
	}
	if len(free) == 0 {
		return nil
	}
	m := free[rng.IntN(len(free))]
	s.reserve(m)
	return m
}

// reserveHalf reserves up to half of the machines, drawn at random, of those with a disk no more than may be
// lost.
func (s *soak) reserveHalf(rng *rand.Rand) (half []*Machine) {
	for range len(s.Machines) / 2 {
		if m := s.reserveOne(rng, anyMachine); m != nil {
			half = append(half, m)
		}
	}
	return half
}

// reserveAll reserves all machines, or none where one is reserved already.
func (s *soak) reserveAll() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reserved) > 0 {
		return false
	}
	for _, m := range s.Machines {
		s.reserve(m)
	}
	return true
}

// reserve reserves a machine; the lock is held.
func (s *soak) reserve(m *Machine) {
	s.reserved[m] = true
	if m.HasDisk {
		s.reservedWithDisk++
	}
}

func (s *soak) release(machines ...*Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range machines {
		delete(s.reserved, m)
		if m.HasDisk {
			s.reservedWithDisk--
		}
	}
}

func anyMachine(*Machine) bool { return true }

func hasDisk(m *Machine) bool { return m.HasDisk }

// onMachine wraps a fault of one machine: it reserves an eligible machine for it, or injects nothing.
func onMachine(eligible func(*Machine) bool, inject func(context.Context, *soak, *rand.Rand, *Machine) error,
) func(context.Context, *soak, *rand.Rand) error {
	return func(ctx context.Context, s *soak, rng *rand.Rand) error {
		m := s.reserveOne(rng, eligible)
		if m == nil {
			return nil
		}
		defer s.release(m)
		return inject(ctx, s, rng, m)
	}
}

// drawMachine returns a random machine.
func drawMachine(rng *rand.Rand, machines []*Machine) *Machine {
	return machines[rng.IntN(len(machines))]
}
