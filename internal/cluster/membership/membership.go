package membership

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Status is what the gossip layer says of a member.
type Status uint8

// The statuses, as in SWIM.
const (
	Alive Status = iota
	Suspect
	Dead
	Left // it announced that it leaves
)

var statusNames = [...]string{"alive", "suspect", "dead", "left"}

func (s Status) String() string { return statusNames[s] }

// Phase is what a member says of itself in its metadata.
type Phase uint8

// The phases, in the order of a shutdown.
const (
	Serving Phase = iota
	Draining
	Leaving
)

var phaseNames = [...]string{"serving", "draining", "leaving"}

func (p Phase) String() string { return phaseNames[p] }

// ParsePhase returns the phase of a name.
func ParsePhase(s string) (Phase, error) {
	if i := slices.Index(phaseNames[:], s); i >= 0 {
		return Phase(i), nil
	}
	return 0, fmt.Errorf("%q is no phase; there are serving, draining and leaving", s)
}

// Meta is a member's metadata.
type Meta struct {
	// Incarnation rises with every start of the process under its name: the start's wall time in milliseconds
	// since 1970. It distinguishes a restart from a member that was up all along.
	Incarnation uint64
	Version     string // of the program
	Hall        string // failure domain
	Phase       Phase
	// LedgerAddress is the host:port of the member's replicas and ReplicaID their ID; "" and 0 if it has
	// none.
	LedgerAddress string
	ReplicaID     uint64
}

// Observation is one thing that the gossip layer says of a member.
type Observation struct {
	Name    string
	Address string // host:port of its gossip
	Status  Status
	Meta    Meta
}

// Settings bound the view. All durations are monotonic.
type Settings struct {
	GoneAfter   time.Duration // dead or left without interruption for it: gone; > 0
	FlapWindow  time.Duration // deaths, leaves and returns within it count as flaps; > 0
	ForgetAfter time.Duration // left or gone for it: dropped from the table; >= GoneAfter
	MaxMembers  int           // names in the table, this member included; > 0
}

// Check returns an error that names the setting where one is wrong.
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
	Address string // host:port of its gossip
	Meta    Meta
	Status  Status
	// Gone is true once others may replace the member: dead or left for long enough, see Settings. A member that
	// restarts is back before.
	Gone        bool
	StatusSince time.Duration // when Status last changed
	// Flaps counts deaths, leaves and returns within the flap window. A suspicion that its member refutes is no
	// flap: its cause may as well be the suspecting member as the suspected one.
	Flaps     int
	Suspected int // times that the member became suspect
}

// ChangeKind is what changed.
type ChangeKind uint8

// The kinds of changes.
const (
	Joined     ChangeKind = iota
	Changed               // status or metadata
	Restarted             // a new incarnation
	BecameGone            // others may replace it
	Returned              // up again after it was gone
	Forgotten             // dropped from the table
	Conflict              // another process claimed the name, and was rejected
	Rejected              // the table was full
)

var kindNames = [...]string{"joined", "changed", "restarted", "gone", "returned", "forgotten", "conflict",
	"refused"}

func (k ChangeKind) String() string { return kindNames[k] }

// Change is one change of the view, or a rejected claim to a name.
type Change struct {
	Kind     ChangeKind
	At       time.Duration
	Member   Member // after the change
	Previous Status // before it, with Changed
}

type entry struct {
	Member
	flaps []time.Duration // times of flaps within the window, the oldest first
}

// View is the fleet as this member sees it. Calls must not run at once.
type View struct {
	settings Settings
	self     string
	entries  map[string]*entry
}

// NewView returns the empty view of the member named self. Errors: wrong settings.
func NewView(settings Settings, self string) (*View, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &View{settings: settings, self: self, entries: map[string]*entry{}}, nil
}

// Observe applies an observation that the gossip layer made at a time, and returns the changes.
func (v *View) Observe(now time.Duration, obs Observation) []Change {
	e, known := v.entries[obs.Name]
	if !known {
		return v.observeNew(now, obs)
	}
	newer := obs.Meta.Incarnation > e.Meta.Incarnation
	restarted := newer || v.clockWentBack(now, e, obs)
	if e.Status == Left && !restarted {
		return nil // a leave is final for its incarnation: late gossip of it alive changes nothing
	}
	if isUp(e.Status) && isUp(obs.Status) && obs.Address != e.Address && !newer {
		// Two processes claim the name and neither is newer: the known one stays.
		claimant := Member{Name: obs.Name, Address: obs.Address, Meta: obs.Meta}
		return []Change{{Kind: Conflict, At: now, Member: claimant}}
	}
	changes := updateMeta(now, e, obs, restarted)
	changes = append(changes, v.updateStatus(now, e, obs)...)
	if e.Gone && isUp(e.Status) {
		e.Gone = false
		changes = append(changes, Change{Kind: Returned, At: now, Member: e.Member})
	}
	return changes
}

// observeNew takes an observation of a member that is not in the table. One that is down already is not
// added.
func (v *View) observeNew(now time.Duration, obs Observation) []Change {
	if !isUp(obs.Status) {
		return nil
	}
	if len(v.entries) >= v.settings.MaxMembers {
		return []Change{{Kind: Rejected, At: now, Member: Member{Name: obs.Name, Address: obs.Address}}}
	}
	e := &entry{Member: Member{Name: obs.Name, Address: obs.Address, Meta: obs.Meta,
		Status: obs.Status, StatusSince: now}}
	v.entries[obs.Name] = e
	return []Change{{Kind: Joined, At: now, Member: e.Member}}
}

// clockWentBack reports whether a member that was down for GoneAfter is alive under another incarnation,
// though its clock may say that it started before: gossip of an ended incarnation does not last that long.
func (v *View) clockWentBack(now time.Duration, e *entry, obs Observation) bool {
	return !isUp(e.Status) && obs.Status == Alive && now-e.StatusSince >= v.settings.GoneAfter &&
		obs.Meta.Incarnation != e.Meta.Incarnation
}

// updateMeta takes over the metadata of a restarted member, or new metadata of the known incarnation.
func updateMeta(now time.Duration, e *entry, obs Observation, restarted bool) []Change {
	switch {
	case restarted:
		e.Meta, e.Address = obs.Meta, obs.Address
		return []Change{{Kind: Restarted, At: now, Member: e.Member}}
	case obs.Meta.Incarnation == e.Meta.Incarnation && isUp(obs.Status) && obs.Meta != e.Meta:
		e.Meta = obs.Meta
		return []Change{{Kind: Changed, At: now, Member: e.Member, Previous: e.Status}}
	}
	return nil
}

// updateStatus takes over a status, unless it is a late one of an earlier incarnation.
func (v *View) updateStatus(now time.Duration, e *entry, obs Observation) []Change {
	late := obs.Meta.Incarnation < e.Meta.Incarnation && obs.Status != Alive
	if obs.Status == e.Status || late {
		return nil
	}
	previous := e.Status
	e.Status, e.StatusSince = obs.Status, now
	if obs.Status == Suspect {
		e.Suspected++
	}
	if isUp(previous) != isUp(obs.Status) {
		e.flaps = append(v.withinFlapWindow(now, e.flaps), now)
		e.Flaps = len(e.flaps)
	}
	return []Change{{Kind: Changed, At: now, Member: e.Member, Previous: previous}}
}

// isUp reports whether the process is there by a status: alive or suspect.
func isUp(s Status) bool { return s == Alive || s == Suspect }

// withinFlapWindow drops the times before the flap window that ends now, in place.
func (v *View) withinFlapWindow(now time.Duration, times []time.Duration) []time.Duration {
	expired := 0
	for expired < len(times) && now-times[expired] >= v.settings.FlapWindow {
		expired++
	}
	return append(times[:0], times[expired:]...)
}

// goneAfter is how long a member must be down before it counts as gone: GoneAfter, and once more for each
// flap beyond the first within the window, so that one that comes and goes is not replaced over and over.
func (v *View) goneAfter(e *entry) time.Duration {
	return v.settings.GoneAfter * time.Duration(max(1, len(e.flaps)))
}

// Tick lets time pass: members that were down for long enough become gone, those left or gone for long enough
// are forgotten.
func (v *View) Tick(now time.Duration) []Change {
	var changes []Change
	for _, name := range v.sortedNames() {
		e := v.entries[name]
		e.flaps = v.withinFlapWindow(now, e.flaps)
		e.Flaps = len(e.flaps)
		if !isUp(e.Status) && !e.Gone && now-e.StatusSince >= v.goneAfter(e) {
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

// Snapshot returns all members, by name.
func (v *View) Snapshot() []Member {
	out := make([]Member, 0, len(v.entries))
	for _, name := range v.sortedNames() {
		out = append(out, v.entries[name].Member)
	}
	return out
}

// Get returns the member of a name; false if it is not in the table.
func (v *View) Get(name string) (Member, bool) {
	e, ok := v.entries[name]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// RecentlyDead returns the dead members that are not forgotten: those to attempt to join again, so that the
// sides of a healed partition find each other (as serf's reconnect does).
func (v *View) RecentlyDead() []Member {
	var out []Member
	for _, name := range v.sortedNames() {
		if e := v.entries[name]; e.Status == Dead {
			out = append(out, e.Member)
		}
	}
	return out
}
