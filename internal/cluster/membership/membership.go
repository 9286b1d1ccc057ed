package membership

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Status is the status of a member as the gossip layer reports it.
type Status uint8

// The statuses, as in SWIM.
const (
	Alive Status = iota
	Suspect
	Dead
	Left // the member announced that it leaves the fleet
)

var statusNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the name of the status, as pages and logs show it.
func (s Status) String() string { return statusNames[s] }

// Phase is the phase of its life cycle that a member reports in its metadata.
type Phase uint8

// The phases, in the order of a shutdown.
const (
	Serving Phase = iota
	Draining
	Leaving
)

var phaseNames = [...]string{"serving", "draining", "leaving"}

// String returns the name of the phase, which members gossip.
func (p Phase) String() string { return phaseNames[p] }

// ParsePhase returns the phase with a name that String has returned.
func ParsePhase(name string) (Phase, error) {
	if i := slices.Index(phaseNames[:], name); i >= 0 {
		return Phase(i), nil
	}
	return 0, fmt.Errorf("unknown phase %q: must be serving, draining or leaving", name)
}

// Meta is the metadata that a member gossips about itself.
type Meta struct {
	// Incarnation is the wall clock time at which the process started, in milliseconds since 1970. If others
	// know a higher one of an earlier start, it is raised above that. It increases with every start under the
	// same name, and tells a restart from a member that has been up all along.
	Incarnation uint64
	Version     string // program version
	Hall        string // failure domain
	Phase       Phase
	// LedgerAddress is the host:port at which the member's Raft replicas are reached, and ReplicaID is their ID;
	// "" and 0 if it has none.
	LedgerAddress string
	ReplicaID     uint64
}

// Observation is a report of the gossip layer about one member.
type Observation struct {
	Name    string
	Address string // host:port of the member's gossip listener
	Status  Status
	Meta    Meta
}

// Settings configure a View. All durations are monotonic. The defaults are those of the client proxy's
// settings.
type Settings struct {
	// GoneAfter is how long a member has to be dead or left, without interruption, before it counts as gone and
	// others may replace it; 30 s by default. Each flap within FlapWindow, beyond the first, adds another
	// GoneAfter to that time. Above zero.
	GoneAfter time.Duration
	// FlapWindow is how long a death, a leave or a return counts as a flap after it was observed; 1 m by
	// default. Above zero.
	FlapWindow time.Duration
	// ForgetAfter is how long a member has to be dead or left before it is dropped from the table; a dead one
	// also has to be gone. 10 m by default. At least GoneAfter.
	ForgetAfter time.Duration
	// MaxMembers is the maximum number of names in the table, including this member's; 4096 by default. Further
	// names are rejected. Above zero.
	MaxMembers int
}

// Check returns an error that names a setting that is out of range.
func (s Settings) Check() error {
	switch {
	case s.GoneAfter <= 0:
		return errors.New("gone_after must be above zero")
	case s.FlapWindow <= 0:
		return errors.New("flap_window must be above zero")
	case s.ForgetAfter < s.GoneAfter:
		return fmt.Errorf("forget %v must not be less than gone_after %v", s.ForgetAfter, s.GoneAfter)
	case s.MaxMembers <= 0:
		return errors.New("max_members must be above zero")
	}
	return nil
}

// Member is the state of one member in the view.
type Member struct {
	Name    string
	Address string // host:port of its gossip listener
	Meta    Meta
	Status  Status
	// Gone means that the member has been dead or left for so long that others may replace it, see
	// Settings.GoneAfter. A member that only restarts returns before that.
	Gone        bool
	StatusSince time.Duration // when Status last changed
	// Flaps counts deaths, leaves and returns within Settings.FlapWindow. A suspicion that the member refutes is
	// not a flap, since it may be due to the suspecting member as well as to the suspected one.
	Flaps     int
	Suspected int // how many times the member became suspect
}

// ChangeKind is the type of a Change.
type ChangeKind uint8

// The kinds of changes.
const (
	Joined     ChangeKind = iota // a new name was added to the table
	Changed                      // the status or the metadata changed
	Restarted                    // the member has a new incarnation
	BecameGone                   // others may replace the member
	Returned                     // the member is up again after it was gone
	Forgotten                    // the member was dropped from the table
	Conflict                     // another process claimed the member's name and was rejected
	Rejected                     // a new name was rejected because the table was full
)

var kindNames = [...]string{"joined", "changed", "restarted", "gone", "returned", "forgotten", "conflict",
	"refused"}

// String returns the name of the kind, as it is logged.
func (k ChangeKind) String() string { return kindNames[k] }

// Change is one change of the view, or a rejected claim to a name.
type Change struct {
	Kind     ChangeKind
	At       time.Duration
	Member   Member // the member after the change
	Previous Status // status before the change, set only with Changed
}

// entry is a member of the table. Member.Flaps is the length of flaps as of the last change or tick.
type entry struct {
	Member
	flaps []time.Duration // times of the flaps within the window, oldest first
}

// View is the table of the fleet's members as this member knows them. It is not safe for concurrent use. The
// times that are passed to it must not decrease.
type View struct {
	settings Settings
	self     string
	entries  map[string]*entry
}

// NewView returns the empty view of the member named self. It returns an error if a setting is out of range.
func NewView(settings Settings, self string) (*View, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &View{settings: settings, self: self, entries: map[string]*entry{}}, nil
}

// Observe applies an observation that the gossip layer made at time now, and returns the changes.
func (v *View) Observe(now time.Duration, obs Observation) []Change {
	known, ok := v.entries[obs.Name]
	if !ok {
		return v.observeNew(now, obs)
	}
	newer := obs.Meta.Incarnation > known.Meta.Incarnation
	restarted := newer || v.clockWentBack(now, known, obs)
	if known.Status == Left && !restarted {
		return nil // a leave is final for its incarnation: delayed gossip that it is alive changes nothing
	}
	if isUp(known.Status) && isUp(obs.Status) && obs.Address != known.Address && !newer {
		// Two processes claim the name and the other one is not newer: the known one keeps it.
		claimant := Member{Name: obs.Name, Address: obs.Address, Meta: obs.Meta}
		return []Change{{Kind: Conflict, At: now, Member: claimant}}
	}
	changes := updateMeta(now, known, obs, restarted)
	changes = append(changes, v.updateStatus(now, known, obs)...)
	if known.Gone && isUp(known.Status) {
		known.Gone = false
		changes = append(changes, Change{Kind: Returned, At: now, Member: known.Member})
	}
	return changes
}

// observeNew applies an observation of a member that is not in the table. A member that is dead or left is
// not added.
func (v *View) observeNew(now time.Duration, obs Observation) []Change {
	if !isUp(obs.Status) {
		return nil
	}
	if len(v.entries) >= v.settings.MaxMembers {
		return []Change{{Kind: Rejected, At: now, Member: Member{Name: obs.Name, Address: obs.Address}}}
	}
	joined := &entry{Member: Member{
		Name:        obs.Name,
		Address:     obs.Address,
		Meta:        obs.Meta,
		Status:      obs.Status,
		StatusSince: now,
	}}
	v.entries[obs.Name] = joined
	return []Change{{Kind: Joined, At: now, Member: joined.Member}}
}

// clockWentBack reports whether a member that has been down for GoneAfter or longer is alive with a different
// incarnation. Even if that one is lower, it is a restart after the member's clock was set back: gossip of an
// ended incarnation does not circulate that long.
func (v *View) clockWentBack(now time.Duration, known *entry, obs Observation) bool {
	downForLong := !isUp(known.Status) && now-known.StatusSince >= v.settings.GoneAfter
	return downForLong && obs.Status == Alive && obs.Meta.Incarnation != known.Meta.Incarnation
}

// updateMeta adopts the metadata of a restarted member, or changed metadata of the known incarnation.
func updateMeta(now time.Duration, known *entry, obs Observation, restarted bool) []Change {
	switch {
	case restarted:
		known.Meta, known.Address = obs.Meta, obs.Address
		return []Change{{Kind: Restarted, At: now, Member: known.Member}}
	case obs.Meta.Incarnation == known.Meta.Incarnation && isUp(obs.Status) && obs.Meta != known.Meta:
		known.Meta = obs.Meta
		return []Change{{Kind: Changed, At: now, Member: known.Member, Previous: known.Status}}
	}
	return nil
}

// updateStatus adopts an observed status, unless it is a delayed one of an earlier incarnation.
func (v *View) updateStatus(now time.Duration, known *entry, obs Observation) []Change {
	delayed := obs.Meta.Incarnation < known.Meta.Incarnation && obs.Status != Alive
	if obs.Status == known.Status || delayed {
		return nil
	}
	previous := known.Status
	known.Status, known.StatusSince = obs.Status, now
	if obs.Status == Suspect {
		known.Suspected++
	}
	if isUp(previous) != isUp(obs.Status) {
		known.flaps = append(v.withinFlapWindow(now, known.flaps), now)
		known.Flaps = len(known.flaps)
	}
	return []Change{{Kind: Changed, At: now, Member: known.Member, Previous: previous}}
}

// isUp reports whether a member with a status counts as running: alive or suspect.
func isUp(s Status) bool { return s == Alive || s == Suspect }

// withinFlapWindow removes, in place, the times that are before the flap window that ends now.
func (v *View) withinFlapWindow(now time.Duration, times []time.Duration) []time.Duration {
	expired := 0
	for expired < len(times) && now-times[expired] >= v.settings.FlapWindow {
		expired++
	}
	return append(times[:0], times[expired:]...)
}

// goneAfter returns how long a member has to be down before it counts as gone: Settings.GoneAfter, plus the
// same time again for each flap within the window beyond the first, so that a flapping member is not
// replaced again and again.
func (v *View) goneAfter(member *entry) time.Duration {
	return v.settings.GoneAfter * time.Duration(max(1, len(member.flaps)))
}

// Tick applies the passage of time: members that have been down for long enough become gone, and members
// that have left or are gone for long enough are forgotten, except this member itself. It returns the
// changes, sorted by name.
func (v *View) Tick(now time.Duration) []Change {
	var changes []Change
	for _, name := range v.sortedNames() {
		changes = append(changes, v.tickMember(now, v.entries[name])...)
	}
	return changes
}

// tickMember applies the passage of time to one member.
func (v *View) tickMember(now time.Duration, member *entry) []Change {
	var changes []Change
	member.flaps = v.withinFlapWindow(now, member.flaps)
	member.Flaps = len(member.flaps)
	unchangedFor := now - member.StatusSince
	if !isUp(member.Status) && !member.Gone && unchangedFor >= v.goneAfter(member) {
		member.Gone = true
		changes = append(changes, Change{Kind: BecameGone, At: now, Member: member.Member})
	}
	mayForget := (member.Status == Left || member.Gone) && member.Name != v.self
	if mayForget && unchangedFor >= v.settings.ForgetAfter {
		delete(v.entries, member.Name)
		changes = append(changes, Change{Kind: Forgotten, At: now, Member: member.Member})
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

// Snapshot returns all members, sorted by name.
func (v *View) Snapshot() []Member {
	members := make([]Member, 0, len(v.entries))
	for _, name := range v.sortedNames() {
		members = append(members, v.entries[name].Member)
	}
	return members
}

// Get returns the member with a name; false if it is not in the table.
func (v *View) Get(name string) (Member, bool) {
	known, ok := v.entries[name]
	if !ok {
		return Member{}, false
	}
	return known.Member, true
}

// RecentlyDead returns the dead members that are not forgotten yet. The caller should try to rejoin them,
// so that the two sides of a healed partition find each other (like Serf's reconnect).
func (v *View) RecentlyDead() []Member {
	var dead []Member
	for _, name := range v.sortedNames() {
		if member := v.entries[name].Member; member.Status == Dead {
			dead = append(dead, member)
		}
	}
	return dead
}
