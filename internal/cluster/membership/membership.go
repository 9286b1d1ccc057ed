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

// String returns the name of the status as pages and logs have it.
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

// String returns the name of the phase, under which members gossip it.
func (p Phase) String() string { return phaseNames[p] }

// ParsePhase returns the phase of a name, as String has it.
func ParsePhase(name string) (Phase, error) {
	if i := slices.Index(phaseNames[:], name); i >= 0 {
		return Phase(i), nil
	}
	return 0, fmt.Errorf("%q is no phase; there are serving, draining and leaving", name)
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

// Settings bound the view. All durations are monotonic. The defaults are those of the client proxy's
// settings.
type Settings struct {
	// GoneAfter is how long a member is dead or left, without interruption, until it counts as gone and others
	// may replace it; 30 s by default. Each flap within FlapWindow, beyond the first, adds it once more. Above
	// zero.
	GoneAfter time.Duration
	// FlapWindow is how long a death, a leave or a return counts as a flap; 1 m by default. Above zero.
	FlapWindow time.Duration
	// ForgetAfter is how long a member is dead or left until it is dropped from the table, once it left or is
	// gone; 10 m by default. At least GoneAfter.
	ForgetAfter time.Duration
	// MaxMembers bounds the names in the table, this member's included; 4096 by default. Further names are
	// rejected. Above zero.
	MaxMembers int
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

// String returns the name of the kind as logs have it.
func (k ChangeKind) String() string { return kindNames[k] }

// Change is one change of the view, or a rejected claim to a name.
type Change struct {
	Kind     ChangeKind
	At       time.Duration
	Member   Member // after the change
	Previous Status // before it, with Changed
}

// entry is a member of the table. Member.Flaps is the length of flaps as of the last change or tick.
type entry struct {
	Member
	flaps []time.Duration // times of flaps within the window, the oldest first
}

// View is the fleet as this member sees it. It is not safe for concurrent use. The times that it is given
// must not fall.
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
	known, ok := v.entries[obs.Name]
	if !ok {
		return v.observeNew(now, obs)
	}
	newer := obs.Meta.Incarnation > known.Meta.Incarnation
	restarted := newer || v.clockWentBack(now, known, obs)
	if known.Status == Left && !restarted {
		return nil // a leave is final for its incarnation: late gossip of it alive changes nothing
	}
	if isUp(known.Status) && isUp(obs.Status) && obs.Address != known.Address && !newer {
		// Two processes claim the name and neither is newer: the known one stays.
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

// observeNew takes an observation of a member that is not in the table. One that is down already is not
// added.
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

// clockWentBack reports whether a member that was down for GoneAfter is alive under another incarnation,
// though its clock may say that it started before: gossip of an ended incarnation does not last that long.
func (v *View) clockWentBack(now time.Duration, known *entry, obs Observation) bool {
	downForLong := !isUp(known.Status) && now-known.StatusSince >= v.settings.GoneAfter
	return downForLong && obs.Status == Alive && obs.Meta.Incarnation != known.Meta.Incarnation
}

// updateMeta takes over the metadata of a restarted member, or new metadata of the known incarnation.
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

// updateStatus takes over a status, unless it is a late one of an earlier incarnation.
func (v *View) updateStatus(now time.Duration, known *entry, obs Observation) []Change {
	late := obs.Meta.Incarnation < known.Meta.Incarnation && obs.Status != Alive
	if obs.Status == known.Status || late {
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
func (v *View) goneAfter(member *entry) time.Duration {
	return v.settings.GoneAfter * time.Duration(max(1, len(member.flaps)))
}

// Tick lets time pass: members that were down for long enough become gone, those left or gone for long enough
// are forgotten, but for this member itself. It returns the changes, by name.
func (v *View) Tick(now time.Duration) []Change {
	var changes []Change
	for _, name := range v.sortedNames() {
		changes = append(changes, v.tickMember(now, v.entries[name])...)
	}
	return changes
}

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

// Snapshot returns all members, by name.
func (v *View) Snapshot() []Member {
	members := make([]Member, 0, len(v.entries))
	for _, name := range v.sortedNames() {
		members = append(members, v.entries[name].Member)
	}
	return members
}

// Get returns the member of a name; false if it is not in the table.
func (v *View) Get(name string) (Member, bool) {
	known, ok := v.entries[name]
	if !ok {
		return Member{}, false
	}
	return known.Member, true
}

// RecentlyDead returns the dead members that are not forgotten: those to attempt to join again, so that the
// sides of a healed partition find each other (as serf's reconnect does).
func (v *View) RecentlyDead() []Member {
	var dead []Member
	for _, name := range v.sortedNames() {
		if member := v.entries[name].Member; member.Status == Dead {
			dead = append(dead, member)
		}
	}
	return dead
}
