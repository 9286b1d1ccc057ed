package routertrial

import (
	"strings"
	"sync"

	"cresshub/internal/testbed/faultinject"
)

// link is the direction from one machine to another.
type link struct{ from, to *Machine }

// partitions counts for each link how many faults cut it now, and has the faults of disks. Its methods are
// safe for concurrent use.
type partitions struct {
	fleet *Fleet

	mu    sync.Mutex
	links map[link]int
	disks map[*Machine]faultinject.DiskMode
}

func newPartitions(f *Fleet) partitions {
	return partitions{fleet: f, links: map[link]int{}, disks: map[*Machine]faultinject.DiskMode{}}
}

// cut cuts links until heal is called.
func (c *partitions) cut(links []link) (heal func()) {
	c.change(links, 1)
	return func() { c.change(links, -1) }
}

func (c *partitions) change(links []link, by int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	touched := map[*Machine]bool{}
	for _, l := range links {
		if c.links[l] += by; c.links[l] == 0 {
			delete(c.links, l)
		}
		touched[l.from], touched[l.to] = true, true
	}
	c.sendFaults(touched)
}

// setDisk sets how a machine's disk behaves from now on.
func (c *partitions) setDisk(m *Machine, mode faultinject.DiskMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disks[m] = mode
	c.sendFaults(map[*Machine]bool{m: true})
}

// sendFaults sends the processes of machines their current faults; the lock is held.
func (c *partitions) sendFaults(machines map[*Machine]bool) {
	for m := range machines {
		var deaf, mute []string
		for l := range c.links {
			if l.to == m {
				deaf = append(deaf, l.from.IP)
			}
			if l.from == m {
				mute = append(mute, l.to.IP)
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

// bothDirections are the links between each machine of one group and each of another.
func bothDirections(group, others []*Machine) []link {
	var links []link
	for _, m := range group {
		for _, other := range others {
			if m != other {
				links = append(links, link{m, other}, link{other, m})
			}
		}
	}
	return links
}
