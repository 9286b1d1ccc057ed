package routertrial

import (
	"strings"
	"sync"

	"cresshub/internal/testbed/faultinject"
)

// link is the direction from one machine to another.
type link struct{ from, to *Machine }

// activeFaults counts for each link how many faults block it now, and has the faults of disks, which reach a
// process by the same commands. Its methods are safe for concurrent use.
type activeFaults struct {
	mu    sync.Mutex
	links map[link]int
	disks map[*Machine]faultinject.DiskMode
}

func newActiveFaults() activeFaults {
	return activeFaults{links: map[link]int{}, disks: map[*Machine]faultinject.DiskMode{}}
}

// block blocks links until heal is called.
func (a *activeFaults) block(links []link) (heal func()) {
	a.change(links, 1)
	return func() { a.change(links, -1) }
}

// change adds to the number of faults that block each link, and tells the machines at both ends.
func (a *activeFaults) change(links []link, added int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	affected := map[*Machine]bool{}
	for _, changed := range links {
		a.links[changed] += added
		if a.links[changed] == 0 {
			delete(a.links, changed)
		}
		affected[changed.from], affected[changed.to] = true, true
	}
	a.sendFaults(affected)
}

// setDisk sets how a machine's disk behaves from now on.
func (a *activeFaults) setDisk(m *Machine, mode faultinject.DiskMode) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.disks[m] = mode
	a.sendFaults(map[*Machine]bool{m: true})
}

// sendFaults sends the processes of machines their current faults; the lock is held.
func (a *activeFaults) sendFaults(machines map[*Machine]bool) {
	for m := range machines {
		m.setFaults(a.commandsOf(m))
	}
}

// commandsOf returns the commands that bring about a machine's current faults; the lock is held.
func (a *activeFaults) commandsOf(m *Machine) []string {
	var deaf, mute []string
	for blocked := range a.links {
		if blocked.to == m {
			deaf = append(deaf, blocked.from.IP)
		}
		if blocked.from == m {
			mute = append(mute, blocked.to.IP)
		}
	}
	var commands []string
	if len(deaf) > 0 {
		commands = append(commands, faultinject.CommandDeaf+" "+strings.Join(deaf, " "))
	}
	if len(mute) > 0 {
		commands = append(commands, faultinject.CommandMute+" "+strings.Join(mute, " "))
	}
	if mode := a.disks[m]; mode != "" && mode != faultinject.DiskOK {
		commands = append(commands, diskCommand(mode))
	}
	return commands
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
