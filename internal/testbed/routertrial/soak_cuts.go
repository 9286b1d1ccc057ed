package routertrial

import (
	"strings"
	"sync"

	"cresshub/internal/testbed/faultinject"
)

// way is the way from one machine to another.
type way struct{ from, to *Machine }

// cuts are the ways between machines that are cut now, each as often as troubles cut it, and what else is
// wrong with machines.
type cuts struct {
	fleet *Fleet

	mu    sync.Mutex
	ways  map[way]int
	disks map[*Machine]faultinject.DiskMode
}

func newCuts(f *Fleet) cuts {
	return cuts{fleet: f, ways: map[way]int{}, disks: map[*Machine]faultinject.DiskMode{}}
}

// add cuts ways until the function that it returns is called.
func (c *cuts) add(ways []way) (heal func()) {
	c.change(ways, 1)
	return func() { c.change(ways, -1) }
}

func (c *cuts) change(ways []way, by int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	touched := map[*Machine]bool{}
	for _, w := range ways {
		if c.ways[w] += by; c.ways[w] == 0 {
			delete(c.ways, w)
		}
		touched[w.from], touched[w.to] = true, true
	}
	c.tell(touched)
}

// setDisk has a machine's disk behave so from now on.
func (c *cuts) setDisk(m *Machine, mode faultinject.DiskMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disks[m] = mode
	c.tell(map[*Machine]bool{m: true})
}

// tell has the processes of machines know their faults; the lock is held.
func (c *cuts) tell(machines map[*Machine]bool) {
	for m := range machines {
		var deaf, mute []string
		for w := range c.ways {
			if w.to == m {
				deaf = append(deaf, w.from.IP)
			}
			if w.from == m {
				mute = append(mute, w.to.IP)
			}
		}
		var commands []string
		if len(deaf) > 0 {
			commands = append(commands, faultinject.CommandDeaf+" "+strings.Join(deaf, " "))
		}
		if len(mute) > 0 {
			commands = append(commands, faultinject.CommandMute+" "+strings.Join(mute, " "))
		}
		if mode := c.disks[m]; mode != "" && mode != faultinject.DiskOK {
			commands = append(commands, diskCommand(mode))
		}
		m.setFaults(commands)
	}
}

// bothWays are the ways between each machine of one group and each of another.
func bothWays(group, others []*Machine) []way {
	var ways []way
	for _, m := range group {
		for _, other := range others {
			if m != other {
				ways = append(ways, way{m, other}, way{other, m})
			}
		}
	}
	return ways
}
