package agentsim

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	absenceInterval = 50 * time.Millisecond
	// newServerTime is how long after its first heartbeat a server may be unknown.
	newServerTime = 2 * time.Second
)

// Absences watches for times in which machines did not know servers that were serving and that they reached.
type Absences struct {
	Tolerated time.Duration // shorter absences are ignored

	fleet    *Fleet
	relevant func(*Machine, *Server) bool
	stop     chan struct{}             // closed to end the watch
	ended    chan struct{}             // closed when it has ended
	open     map[absence]time.Duration // absences that last, since when
	lines    []string
	total    time.Duration // over all pairs of a machine and a server
}

// absence is a pair of a machine and a server that it does not know.
type absence struct{ machine, server string }

// Everywhere has a watch cover all machines and servers.
func Everywhere(*Machine, *Server) bool { return true }

// WatchAbsences begins to poll the server tables of the machines that run, for the relevant pairs.
func (f *Fleet) WatchAbsences(relevant func(*Machine, *Server) bool) *Absences {
	a := &Absences{fleet: f, relevant: relevant, stop: make(chan struct{}), ended: make(chan struct{}),
		open: map[absence]time.Duration{}}
	go a.run()
	return a
}

// Stop ends the watch and returns the absences, a line each, and their total duration.
func (a *Absences) Stop() (string, time.Duration) {
	close(a.stop)
	<-a.ended
	for each := range a.open {
		a.end(each)
	}
	slices.Sort(a.lines)
	return strings.Join(a.lines, "\n"), a.total
}

// run polls until the watch is stopped.
func (a *Absences) run() {
	defer close(a.ended)
	for {
		select {
		case <-a.stop:
			return
		case <-time.After(absenceInterval):
			a.check()
		}
	}
}

// check records the absences of now.
func (a *Absences) check() {
	for _, m := range a.fleet.Running() {
		for _, s := range a.fleet.allServers() {
			a.record(absence{m.Name, s.ID}, a.missing(m, s))
		}
	}
}

// missing reports whether a machine does not know a server that it should know.
func (a *Absences) missing(m *Machine, s *Server) bool {
	p := m.process.Load()
	return p != nil && a.relevant(m, s) && s.Serving() && s.acknowledgedFor(newServerTime) &&
		p.node.Servers().ByID(s.ID) == nil && a.fleet.Network.Reaches(m.IP, s.IP)
}

// record begins an absence, or ends one.
func (a *Absences) record(each absence, missing bool) {
	_, open := a.open[each]
	switch {
	case missing && !open:
		a.open[each] = a.fleet.Now()
	case !missing && open:
		a.end(each)
	}
}

// end reports an absence that lasted beyond what is tolerated.
func (a *Absences) end(each absence) {
	since, now := a.open[each], a.fleet.Now()
	delete(a.open, each)
	if now-since <= a.Tolerated {
		return
	}
	a.total += now - since
	a.lines = append(a.lines, fmt.Sprintf("from %v to %v %s did not know %s", since, now, each.machine,
		each.server))
}
