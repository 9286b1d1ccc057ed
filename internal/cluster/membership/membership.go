// Package membership decides what the fleet view says of each member, from what the gossip layer tells.
//
// It is pure, in the shape of package balance: no I/O, clock or goroutines. The caller passes time as a
// monotonic duration since a start of its own and carries out nothing; it reads the view back. The gossip
// layer (SWIM, Das, Gupta and Motivala, DSN 2002, with the Lifeguard refinements of Dadgar, Phillips and
// Currey, 2018) says alive, suspect, dead or left; this module adds what the fleet's other parts need:
//
//   - a member counts as gone for others only once it has been dead or left without a break for GoneAfter,
//     longer for each time it flapped lately (hysteresis), never on one suspicion;
//   - a new incarnation under the same name (a restart) is told as such, not as a join;
//   - two live processes that claim one name are told as a conflict and the later claim is refused;
//   - the table is bounded: members left or gone longer than Settings.ForgetAfter are dropped, and beyond
//     Settings.MaxMembers a new name is refused.
package membership

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Status is what the gossip layer says of a member.
type Status uint8

const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

var statusNames = [...]string{"alive", "suspect", "dead", "left"}

func (s Status) String() string { return statusNames[s] }

// Phase is what a member says of itself in its metadata.
type Phase uint8

const (
	Serving Phase = iota
	Draining
	Leaving
)

var phaseNames = [...]string{"serving", "draining", "leaving"}

func (p Phase) String() string { return phaseNames[p] }

// ParsePhase reads a phase by its name.
func ParsePhase(s string) (Phase, error) {
	if i := slices.Index(phaseNames[:], s); i >= 0 {
		return Phase(i), nil
	}
	return 0, fmt.Errorf("%q is no phase; there are serving, draining and leaving", s)
}

// Meta is what a member carries about itself.
type Meta struct {
	// Incarnation rises with every start of the process under its name: the start's wall time in
	// milliseconds since 1970, so that a restart is told from a member that was there all along.
	Incarnation uint64
	Version     string
	Hall        string
	Phase       Phase
	// LedgerAddress is where the member is reached for what it holds for others, host:port, and Disk the
	// identity of the disk that it holds it on; "" and 0 where it holds nothing.
	LedgerAddress string
	ReplicaID     uint64
}

// Observation is one thing the gossip layer told of a member.
type Observation struct {
	Name    string
	Address string // host:port of its gossip
	Status  Status
	Meta    Meta
}

// Settings bound the view. All durations are monotonic.
type Settings struct {
	GoneAfter   time.Duration // dead or left without a break so long: gone for others; > 0
	FlapWindow  time.Duration // changes of status within so long count as flaps; > 0
	ForgetAfter time.Duration // left or gone so long: dropped from the table; >= GoneAfter
	MaxMembers  int           // names held at most, this member included; > 0
}

// Check tells what is wrong with the settings.
func (s Settings) Check() error {
	switch {
	case s.GoneAfter <= 0:
		return errors.New("gone_after must be above zero")
	case s.FlapWindow <= 0:
		return errors.New("flap_window must be above zero")
	case s.ForgetAfter < s.GoneAfter:
		return fmt.Errorf("forget %v is before gone_after %v", s.ForgetAfter, s.GoneAfter)
	case s.MaxMembers <= 0:
		return errors.New("max_members must be above zero")
	}
	return nil
}

// Member is one row of the view.
type Member struct {
	Name    string
	Address string
	Meta    Meta
	Status  Status
	// Gone is true once others may take the member's place: dead or left for long enough, see Settings. A
	// member that leaves for a restart is back before.
	Gone        bool
	StatusSince time.Duration // when Status last changed
	// Flaps counts deaths, leaves and returns within the flap window. A suspicion that its member refutes is
	// no flap: it says as much of the suspecting member as of the suspected one.
	Flaps     int
	Suspected int // times the member was held suspect
}

// ChangeKind names a change.
type ChangeKind uint8

const (
	Joined ChangeKind = iota
	Changed
	Restarted
	BecameGone // gone for others
	Returned   // back after it counted as gone
	Forgotten
	Conflict // another process claimed the name; it was refused
	Rejected // the table was full
)

var kindNames = [...]string{"joined", "changed", "restarted", "gone", "returned", "forgotten", "conflict",
	"refused"}

func (k ChangeKind) String() string { return kindNames[k] }

// Change is one thing the view now says differently.
type Change struct {
	Kind     ChangeKind
	At       time.Duration
	Member   Member // as after the change
	Previous Status // before it, for Changed
}

type entry struct {
	Member
	flaps []time.Duration // times of changes of status, the oldest first, within the window
}

// View is the fleet as this member sees it.
type View struct {
	settings Settings
	self     string
	entries  map[string]*entry
}

// NewView returns a view held by the member named self.
func NewView(settings Settings, self string) (*View, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &View{settings: settings, self: self, entries: map[string]*entry{}}, nil
}

// Observe takes what the gossip layer told at now and returns what changed.
func (v *View) Observe(now time.Duration, obs Observation) []Change {
	e, ok := v.entries[obs.Name]
	if !ok {
		if obs.Status == Dead || obs.Status == Left {
			return nil // of a member never seen alive there is nothing to hold
		}
		if len(v.entries) >= v.settings.MaxMembers {
			return []Change{{Kind: Rejected, At: now, Member: Member{Name: obs.Name, Address: obs.Address}}}
		}
		e = &entry{Member: Member{Name: obs.Name, Address: obs.Address, Meta: obs.Meta,
			Status: obs.Status, StatusSince: now}}
		v.entries[obs.Name] = e
		return []Change{{Kind: Joined, At: now, Member: e.Member}}
	}
	// Gossip of a life does not last as long as it takes to be gone: whoever is told of alive after that lives,
	// whatever its clock says of its start.
	returned := isDown(e.Status) && obs.Status == Alive && now-e.StatusSince >= v.settings.GoneAfter &&
		obs.Meta.Incarnation != e.Meta.Incarnation
	if e.Status == Left && obs.Meta.Incarnation <= e.Meta.Incarnation && !returned {
		return nil // a leave is final for its incarnation: late gossip of it alive changes nothing
	}
	wasUp := e.Status == Alive || e.Status == Suspect
	if wasUp && obs.Address != e.Address && obs.Meta.Incarnation <= e.Meta.Incarnation && obs.Status != Dead &&
		obs.Status != Left {
		// Two processes say they are this member and neither is newer: the one held stays.
		claimant := Member{Name: obs.Name, Address: obs.Address, Meta: obs.Meta}
		return []Change{{Kind: Conflict, At: now, Member: claimant}}
	}
	var changes []Change
	restarted := obs.Meta.Incarnation > e.Meta.Incarnation || returned
	if restarted {
		e.Meta, e.Address = obs.Meta, obs.Address
		changes = append(changes, Change{Kind: Restarted, At: now, Member: e.Member})
	} else if obs.Meta.Incarnation == e.Meta.Incarnation && obs.Status != Dead && obs.Status != Left {
		if obs.Meta != e.Meta {
			e.Meta = obs.Meta
			changes = append(changes, Change{Kind: Changed, At: now, Member: e.Member, Previous: e.Status})
		}
	}
	if obs.Status != e.Status && (obs.Meta.Incarnation >= e.Meta.Incarnation || obs.Status == Alive) {
		previous := e.Status
		e.Status, e.StatusSince = obs.Status, now
		if obs.Status == Suspect {
			e.Suspected++
		}
		if isDown(previous) != isDown(obs.Status) {
			e.flaps = append(v.withinFlapWindow(now, e.flaps), now)
			e.Flaps = len(e.flaps)
		}
		changes = append(changes, Change{Kind: Changed, At: now, Member: e.Member, Previous: previous})
	}
	if e.Gone && (e.Status == Alive || e.Status == Suspect) {
		e.Gone = false
		changes = append(changes, Change{Kind: Returned, At: now, Member: e.Member})
	}
	return changes
}

// isDown tells whether a status says that the process is not there.
func isDown(s Status) bool { return s == Dead || s == Left }

// withinFlapWindow keeps the times within the flap window of now, in place.
func (v *View) withinFlapWindow(now time.Duration, times []time.Duration) []time.Duration {
	expired := 0
	for expired < len(times) && now-times[expired] >= v.settings.FlapWindow {
		expired++
	}
	return append(times[:0], times[expired:]...)
}

// goneAfter is how long a member must stay dead before it counts as gone: GoneAfter, and once more for each
// flap beyond the first within the window, so that one that comes and goes is not replaced and replaced.
func (v *View) goneAfter(e *entry) time.Duration {
	return v.settings.GoneAfter * time.Duration(max(1, len(e.flaps)))
}

// Tick lets time pass: members dead long enough go, those left or gone long enough are forgotten.
func (v *View) Tick(now time.Duration) []Change {
	var changes []Change
	for _, name := range v.sortedNames() {
		e := v.entries[name]
		e.flaps = v.withinFlapWindow(now, e.flaps)
		e.Flaps = len(e.flaps)
		if isDown(e.Status) && !e.Gone && now-e.StatusSince >= v.goneAfter(e) {
			e.Gone = true
			changes = append(changes, Change{Kind: BecameGone, At: now, Member: e.Member})
		}
		if (e.Status == Left || e.Gone) && now-e.StatusSince >= v.settings.ForgetAfter && name != v.self {
			delete(v.entries, name)
			changes = append(changes, Change{Kind: Forgotten, At: now, Member: e.Member})
		}
	}
	return changes
}

func (v *View) sortedNames() []string {
	names := make([]string, 0, len(v.entries))
	for name := range v.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Snapshot returns every member by name.
func (v *View) Snapshot() []Member {
	out := make([]Member, 0, len(v.entries))
	for _, name := range v.sortedNames() {
		out = append(out, v.entries[name].Member)
	}
	return out
}

// Get returns a member by name.
func (v *View) Get(name string) (Member, bool) {
	e, ok := v.entries[name]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// RecentlyDead returns the members that were dead lately but are not forgotten: those to try joining again,
// so that the halves of a healed partition find each other (as serf's reconnect does).
func (v *View) RecentlyDead() []Member {
	var out []Member
	for _, name := range v.sortedNames() {
		if e := v.entries[name]; e.Status == Dead {
			out = append(out, e.Member)
		}
	}
	return out
}
