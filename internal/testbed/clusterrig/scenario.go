package clusterrig

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Scenario is a file that the rig plays: members, their settings, and steps in order of time. The tags are
// the schema of the file (package settingsfile): key is what the file calls a field, default what it is
// without the key, and min, max, enum and form bound what the key may be.
type Scenario struct {
	// Name is what the scenario is called in results.
	Name string `key:"name" default:"scenario"`
	// Members is the number of processes, which are named m-0, m-1 and so on.
	Members int `key:"members" default:"7" min:"2" max:"200"`
	// Halls are where the members stand, in turn.
	Halls []string `key:"halls" default:""`
	// Seeds is how many members, counted from the first, the others join by.
	Seeds int `key:"seeds" default:"1" min:"1" max:"200"`
	// Repeat is how often all steps are played, on the same processes.
	Repeat int `key:"repeat" default:"1" min:"1" max:"1000"`
	// MinRepetition is how long each repetition lasts at least, whatever its steps take.
	MinRepetition time.Duration `key:"lasts" default:"0s" min:"0s" max:"24h"`
	// Warmup comes before the first step; updates about the start are still on their way.
	Warmup time.Duration `key:"settle" default:"0s" min:"0s" max:"1h"`
	// SampleInterval is how often all views are sampled for the record.
	SampleInterval time.Duration `key:"sample" default:"100ms" min:"10ms" max:"1m"`
	// HealthyNeverDead makes it a failure that a view has a member dead that no step names.
	HealthyNeverDead bool `key:"healthy_never_dead" default:"false"`

	Fleet FleetSettings `key:"fleet"`
	Steps []Step        `key:"step"`
}

// FleetSettings are the members' keys of [fleet], under the program's own names.
type FleetSettings struct {
	Probe     time.Duration `key:"probe" default:"200ms" min:"10ms" max:"1m"`
	Timeout   time.Duration `key:"probe_timeout" default:"100ms" min:"5ms" max:"30s"`
	Gossip    time.Duration `key:"gossip" default:"100ms" min:"5ms" max:"1m"`
	Suspicion int           `key:"suspicion_mult" default:"4" min:"1" max:"100"`
	Rejoin    time.Duration `key:"rejoin" default:"500ms" min:"100ms" max:"1h"`
	SyncEach  time.Duration `key:"sync_each" default:"500ms" min:"10ms" max:"1h"`
	GoneAfter time.Duration `key:"gone_after" default:"2s" min:"100ms" max:"24h"`
}

// Step is one action, and what is expected of all views after it.
type Step struct {
	// At is when the step begins, after the start of the repetition; it also waits for what the step before it
	// expects.
	At time.Duration `key:"at" default:"0s" min:"0s" max:"24h"`
	// Do is one of the actions.
	Do string `key:"do" form:"name"`
	// Who are the members it is done to: names, ranges as m-0..m-4, or * for all; of a partition one side.
	Who []string `key:"who" default:""`
	// To are the members at the other end of a link.
	To []string `key:"to" default:""`
	// Blocked lets nothing cross a link from Who to To.
	Blocked bool `key:"cut" default:"false"`
	// Both applies the fault of a link to the other direction as well.
	Both bool `key:"both_ways" default:"false"`
	// Drop is the fraction of a link's datagrams that get lost.
	Drop float64 `key:"drop" default:"0" min:"0" max:"1"`
	// Delay is added to the time in transit over a link.
	Delay time.Duration `key:"delay" default:"0s" min:"0s" max:"1m"`
	// Jitter is a further delay over a link, uniform from 0 to this.
	Jitter time.Duration `key:"jitter" default:"0s" min:"0s" max:"1m"`
	// Expect is what the views of all running members must show: Who in a status, or one of the expectations.
	Expect string `key:"expect" default:"none" enum:"none|dead|left|alive|one|sides"`
	// Within is how long after the action they must show it; later is a failure.
	Within time.Duration `key:"within" default:"10s" min:"10ms" max:"1h"`
}

// The values of Step.Do.
const (
	actionKill      = "kill"      // SIGKILL
	actionPause     = "pause"     // SIGSTOP
	actionResume    = "resume"    // SIGCONT
	actionTerm      = "term"      // SIGTERM
	actionDrain     = "drain"     // drains the clients
	actionServe     = "serve"     // ends the drain
	actionRestart   = "restart"   // starts a process that has ended
	actionMove      = "move"      // the same, at another gossip address
	actionWipe      = "wipe"      // the same, with an empty disk
	actionPartition = "partition" // separates Who from all other members
	actionLink      = "link"      // sets the fault of the links from Who to To
	actionHeal      = "heal"      // ends all faults of the network
	actionWait      = "wait"      // nothing
)

var actions = []string{actionKill, actionPause, actionResume, actionTerm, actionDrain, actionServe,
	actionRestart, actionMove, actionWipe, actionPartition, actionLink, actionHeal, actionWait}

// The values of Step.Expect. The first three are statuses that every running member's view must give to Who.
const (
	expectDead  = "dead"
	expectLeft  = "left"
	expectAlive = "alive"
	expectNone  = "none"
	expectOne   = "one"   // every running member has exactly the running ones alive in its view
	expectSides = "sides" // the same for each side of a partition
)

// memberNames returns the names of all members.
func (sc *Scenario) memberNames() []string {
	var names []string
	for i := range sc.Members {
		names = append(names, fmt.Sprintf("m-%d", i))
	}
	return names
}

// expand returns the members that a list of names stands for: * is all, m-3..m-9 a range.
func (sc *Scenario) expand(names []string) []string {
	var expanded []string
	all := sc.memberNames()
	for _, name := range names {
		first, last, isRange := strings.Cut(name, "..")
		from, to := slices.Index(all, first), slices.Index(all, last)
		switch {
		case name == "*":
			return all
		case isRange && from >= 0 && to >= from:
			expanded = append(expanded, all[from:to+1]...)
		default:
			expanded = append(expanded, name)
		}
	}
	return expanded
}

// needsRelay reports whether a step needs the faulty network.
func (sc *Scenario) needsRelay() bool {
	return slices.ContainsFunc(sc.Steps, func(s Step) bool {
		return s.Do == actionPartition || s.Do == actionLink
	})
}

// String describes what a step does.
func (s *Step) String() string {
	who := fmt.Sprint(s.Who)
	if len(s.Who) > 4 {
		who = fmt.Sprintf("%d members", len(s.Who))
	}
	switch {
	case len(s.Who) == 0:
		return s.Do
	case s.Do == actionLink:
		return fmt.Sprintf("link %s to %v", who, s.To)
	}
	return s.Do + " " + who
}
