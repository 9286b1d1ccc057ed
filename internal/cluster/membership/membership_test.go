package membership

import (
	"testing"
	"time"
)

var testSettings = Settings{GoneAfter: 10 * time.Second, FlapWindow: time.Minute, ForgetAfter: time.Hour,
	MaxMembers: 3}

const sec = time.Second

// step is one observation at a time, or a tick where observation is nil.
type step struct {
	at          time.Duration
	observation *Observation
}

func observed(name string, status Status, incarnation uint64) *Observation {
	return &Observation{Name: name, Address: name + ":1", Status: status, Meta: Meta{Incarnation: incarnation}}
}

func play(t *testing.T, steps []step) (*View, []ChangeKind) {
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
		{"one suspicion is not gone", []step{{0, observed("a", Alive, 1)}, {sec, observed("a", Suspect, 1)},
			{30 * sec, nil}}, []ChangeKind{Joined, Changed}, Suspect, false},
		{"dead long enough is gone", []step{{0, observed("a", Alive, 1)}, {sec, observed("a", Dead, 1)},
			{10 * sec, nil}, {11 * sec, nil}}, []ChangeKind{Joined, Changed, BecameGone}, Dead, true},
		{"a flap doubles the wait", []step{{0, observed("a", Alive, 1)}, {sec, observed("a", Dead, 1)},
			{2 * sec, observed("a", Alive, 1)}, {3 * sec, observed("a", Dead, 1)}, {15 * sec, nil}},
			[]ChangeKind{Joined, Changed, Changed, Changed}, Dead, false},
		{"a refuted suspicion is no flap", []step{{0, observed("a", Alive, 1)}, {sec, observed("a", Suspect, 1)},
			{2 * sec, observed("a", Alive, 1)}, {3 * sec, observed("a", Suspect, 1)},
			{4 * sec, observed("a", Dead, 1)},
			{14 * sec, nil}}, []ChangeKind{Joined, Changed, Changed, Changed, Changed, BecameGone}, Dead, true},
		{"flaps age out", []step{{0, observed("a", Alive, 1)}, {sec, observed("a", Dead, 1)},
			{2 * sec, observed("a", Alive, 1)}, {3 * sec, observed("a", Dead, 1)}, {90 * sec, nil}},
			[]ChangeKind{Joined, Changed, Changed, Changed, BecameGone}, Dead, true},
		{"back after gone", []step{{0, observed("a", Alive, 1)}, {sec, observed("a", Dead, 1)}, {20 * sec, nil},
			{21 * sec, observed("a", Alive, 1)}},
			[]ChangeKind{Joined, Changed, BecameGone, Changed, Returned}, Alive, false},
		{"a restart is reported", []step{{0, observed("a", Alive, 1)}, {sec, observed("a", Dead, 1)},
			{2 * sec, observed("a", Alive, 2)}}, []ChangeKind{Joined, Changed, Restarted, Changed}, Alive, false},
		{"a leave is final", []step{{0, observed("a", Alive, 1)}, {sec, observed("a", Left, 1)},
			{2 * sec, observed("a", Alive, 1)}}, []ChangeKind{Joined, Changed}, Left, false},
		{"a restart after a leave", []step{{0, observed("a", Alive, 1)}, {sec, observed("a", Left, 1)},
			{2 * sec, observed("a", Alive, 2)}}, []ChangeKind{Joined, Changed, Restarted, Changed}, Alive, false},
		{"left for long is gone", []step{{0, observed("a", Alive, 1)}, {sec, observed("a", Left, 1)},
			{11 * sec, nil}},
			[]ChangeKind{Joined, Changed, BecameGone}, Left, true},
		{"a dead member never seen is not added", []step{{0, observed("a", Dead, 1)}}, nil, 0, false},
	} {
		v, kinds := play(t, c.steps)
		if !equal(kinds, c.want) {
			t.Errorf("%s: changes %v, want %v", c.name, kinds, c.want)
		}
		m, ok := v.Get("a")
		if c.want == nil {
			if ok {
				t.Errorf("%s: has %+v", c.name, m)
			}
			continue
		}
		if m.Status != c.end || m.Gone != c.gone {
			t.Errorf("%s: ends %v gone %v, want %v gone %v", c.name, m.Status, m.Gone, c.end, c.gone)
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
	v, _ := play(t, nil)
	v.Observe(0, *observed("a", Alive, 5))
	other := *observed("a", Alive, 5)
	other.Address = "elsewhere:1"
	if changes := v.Observe(sec, other); len(changes) != 1 || changes[0].Kind != Conflict {
		t.Fatalf("a second process of the name gives %v", changes)
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
	v, _ := play(t, nil)
	for _, name := range []string{"a", "b", "c"} {
		v.Observe(0, *observed(name, Alive, 1))
	}
	if changes := v.Observe(0, *observed("d", Alive, 1)); len(changes) != 1 || changes[0].Kind != Rejected {
		t.Errorf("a fourth name in a table of three gives %v", changes)
	}
	v.Observe(sec, *observed("a", Left, 1))
	v.Tick(sec + testSettings.ForgetAfter)
	if _, ok := v.Get("a"); ok || len(v.Snapshot()) != 2 {
		t.Errorf("a member that left long ago is not forgotten: %+v", v.Snapshot())
	}
	if changes := v.Observe(2*testSettings.ForgetAfter, *observed("d", Alive, 1)); len(changes) != 1 ||
		changes[0].Kind != Joined {
		t.Errorf("the free row is not taken: %v", changes)
	}
}

func TestUnsoundSettingsAreRejected(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no gone_after":   func(s *Settings) { s.GoneAfter = 0 },
		"no flap window":  func(s *Settings) { s.FlapWindow = -1 },
		"forget too soon": func(s *Settings) { s.ForgetAfter = s.GoneAfter - 1 },
		"no members":      func(s *Settings) { s.MaxMembers = 0 },
	} {
		bad := testSettings
		spoil(&bad)
		if _, err := NewView(bad, "self"); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
