package membership

import (
	"testing"
	"time"
)

var testSettings = Settings{GoneAfter: 10 * time.Second, FlapWindow: time.Minute, ForgetAfter: time.Hour,
	MaxMembers: 3}

const sec = time.Second

// step is an observation at a time, or a tick if observation is nil.
type step struct {
	at          time.Duration
	observation *Observation
}

func observed(name string, status Status, incarnation uint64) *Observation {
	return &Observation{Name: name, Address: name + ":1", Status: status, Meta: Meta{Incarnation: incarnation}}
}

// runSteps applies steps to an empty view and returns the view and the kinds of all changes.
func runSteps(t *testing.T, steps []step) (*View, []ChangeKind) {
	t.Helper()
	v, err := NewView(testSettings, "self")
	if err != nil {
		t.Fatal(err)
	}
	var kinds []ChangeKind
	for _, step := range steps {
		var changes []Change
		if step.observation == nil {
			changes = v.Tick(step.at)
		} else {
			changes = v.Observe(step.at, *step.observation)
		}
		for _, change := range changes {
			kinds = append(kinds, change.Kind)
		}
	}
	return v, kinds
}

func TestViewFollowsObservations(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []step
		want  []ChangeKind
		end   Status
		gone  bool
	}{
		{"a suspect member does not become gone",
			[]step{{0, observed("a", Alive, 1)}, {sec, observed("a", Suspect, 1)},
				{30 * sec, nil}}, []ChangeKind{Joined, Changed}, Suspect, false},
		{"a member dead for long enough is gone",
			[]step{{0, observed("a", Alive, 1)}, {sec, observed("a", Dead, 1)},
				{10 * sec, nil}, {11 * sec, nil}}, []ChangeKind{Joined, Changed, BecameGone}, Dead, true},
		{"flaps extend the time until gone", []step{{0, observed("a", Alive, 1)}, {sec, observed("a", Dead, 1)},
			{2 * sec, observed("a", Alive, 1)}, {3 * sec, observed("a", Dead, 1)}, {15 * sec, nil}},
			[]ChangeKind{Joined, Changed, Changed, Changed}, Dead, false},
		{"a refuted suspicion is not a flap", []step{{0, observed("a", Alive, 1)}, {sec, observed("a", Suspect, 1)},
			{2 * sec, observed("a", Alive, 1)}, {3 * sec, observed("a", Suspect, 1)},
			{4 * sec, observed("a", Dead, 1)},
			{14 * sec, nil}}, []ChangeKind{Joined, Changed, Changed, Changed, Changed, BecameGone}, Dead, true},
		{"flaps outside the window do not count",
			[]step{{0, observed("a", Alive, 1)}, {sec, observed("a", Dead, 1)},
				{2 * sec, observed("a", Alive, 1)}, {3 * sec, observed("a", Dead, 1)}, {90 * sec, nil}},
			[]ChangeKind{Joined, Changed, Changed, Changed, BecameGone}, Dead, true},
		{"a gone member returns",
			[]step{{0, observed("a", Alive, 1)}, {sec, observed("a", Dead, 1)}, {20 * sec, nil},
				{21 * sec, observed("a", Alive, 1)}},
			[]ChangeKind{Joined, Changed, BecameGone, Changed, Returned}, Alive, false},
		{"a restart is reported", []step{{0, observed("a", Alive, 1)}, {sec, observed("a", Dead, 1)},
			{2 * sec, observed("a", Alive, 2)}}, []ChangeKind{Joined, Changed, Restarted, Changed}, Alive, false},
		{"a leave is final for its incarnation", []step{{0, observed("a", Alive, 1)}, {sec, observed("a", Left, 1)},
			{2 * sec, observed("a", Alive, 1)}}, []ChangeKind{Joined, Changed}, Left, false},
		{"a restart after a leave", []step{{0, observed("a", Alive, 1)}, {sec, observed("a", Left, 1)},
			{2 * sec, observed("a", Alive, 2)}}, []ChangeKind{Joined, Changed, Restarted, Changed}, Alive, false},
		{"a member that left long ago is gone", []step{{0, observed("a", Alive, 1)}, {sec, observed("a", Left, 1)},
			{11 * sec, nil}},
			[]ChangeKind{Joined, Changed, BecameGone}, Left, true},
		{"an unknown dead member is not added", []step{{0, observed("a", Dead, 1)}}, nil, 0, false},
	} {
		v, kinds := runSteps(t, c.steps)
		if !equal(kinds, c.want) {
			t.Errorf("%s: changes %v, want %v", c.name, kinds, c.want)
		}
		m, ok := v.Get("a")
		if c.want == nil {
			if ok {
				t.Errorf("%s: the table has %+v", c.name, m)
			}
			continue
		}
		if m.Status != c.end || m.Gone != c.gone {
			t.Errorf("%s: status %v, gone %v at the end, want %v, %v", c.name, m.Status, m.Gone, c.end, c.gone)
		}
	}
}

func equal(a, b []ChangeKind) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func TestNameClaimedByTwoProcessesIsAConflict(t *testing.T) {
	v, _ := runSteps(t, nil)
	v.Observe(0, *observed("a", Alive, 5))
	other := *observed("a", Alive, 5)
	other.Address = "elsewhere:1"
	if changes := v.Observe(sec, other); len(changes) != 1 || changes[0].Kind != Conflict {
		t.Fatalf("a second process with the name: changes %v, want a conflict", changes)
	}
	if m, _ := v.Get("a"); m.Address != "a:1" {
		t.Errorf("the second process took the name: %+v", m)
	}
	newer := other
	newer.Meta.Incarnation = 6
	v.Observe(2*sec, newer)
	if m, _ := v.Get("a"); m.Address != "elsewhere:1" {
		t.Errorf("a restart at a new address was not accepted: %+v", m)
	}
}

func TestTableIsBounded(t *testing.T) {
	v, _ := runSteps(t, nil)
	for _, name := range []string{"a", "b", "c"} {
		v.Observe(0, *observed(name, Alive, 1))
	}
	if changes := v.Observe(0, *observed("d", Alive, 1)); len(changes) != 1 || changes[0].Kind != Rejected {
		t.Errorf("a fourth name in a table of three: changes %v, want a rejection", changes)
	}
	v.Observe(sec, *observed("a", Left, 1))
	v.Tick(sec + testSettings.ForgetAfter)
	if _, ok := v.Get("a"); ok || len(v.Snapshot()) != 2 {
		t.Errorf("a member that left long ago is not forgotten: %+v", v.Snapshot())
	}
	if changes := v.Observe(2*testSettings.ForgetAfter, *observed("d", Alive, 1)); len(changes) != 1 ||
		changes[0].Kind != Joined {
		t.Errorf("a new name was not added to the table after another was forgotten: changes %v", changes)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"gone_after is zero":          func(s *Settings) { s.GoneAfter = 0 },
		"flap window is negative":     func(s *Settings) { s.FlapWindow = -1 },
		"forget is before gone_after": func(s *Settings) { s.ForgetAfter = s.GoneAfter - 1 },
		"max members is zero":         func(s *Settings) { s.MaxMembers = 0 },
	} {
		settings := testSettings
		change(&settings)
		if _, err := NewView(settings, "self"); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
