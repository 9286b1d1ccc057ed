package lease

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testSettings = Settings{TTL: 2 * time.Second, Drift: 0.05, ElectionTimeout: time.Second}

func TestSettings(t *testing.T) {
	for says, s := range map[string]Settings{
		"election": {TTL: time.Second, Drift: 0.05, ElectionTimeout: time.Second},
		"drift":    {TTL: 2 * time.Second, Drift: 0.5},
		"range":    {TTL: 2 * time.Second, Drift: -1},
	} {
		if err := s.Check(); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%+v: %v, not %q", s, err, says)
		}
	}
	if _, err := NewCandidate(testSettings, "", "x"); err == nil {
		t.Error("a member without a name")
	}
}

func TestTable(t *testing.T) {
	a1 := Grant{Holder: "a", Token: 5}
	for name, c := range map[string]struct {
		is   Grant
		cmd  Command
		at   uint64
		want Grant
		done bool
	}{
		"the first takes":            {Grant{}, Command{Op: Acquire, Member: "a"}, 5, a1, true},
		"the second saw nothing yet": {a1, Command{Op: Acquire, Member: "b"}, 6, a1, false},
		"another takes over": {a1, Command{Op: Acquire, Member: "b", Expected: a1}, 9, Grant{Holder: "b", Token: 9},
			true},
		"a renewal keeps the token": {a1, Command{Op: Renew, Member: "a", Expected: a1}, 7,
			Grant{Holder: "a", Token: 5, Renewed: 1}, true},
		"a renewal by another": {a1, Command{Op: Renew, Member: "b", Expected: a1}, 7, a1, false},
		"a release": {a1, Command{Op: Release, Member: "a", Expected: a1}, 7, Grant{Token: 5, Renewed: 1},
			true},
		"a release by another": {a1, Command{Op: Release, Member: "b", Expected: a1}, 7, a1, false},
		"no member":            {a1, Command{Op: Acquire, Expected: a1}, 7, a1, false},
		"no such thing to do":  {a1, Command{Op: 9, Member: "a", Expected: a1}, 7, a1, false},
		"an index of the past": {a1, Command{Op: Acquire, Member: "b", Expected: a1}, 5, a1, false},
	} {
		tab := NewTable()
		tab.Restore(map[string]Grant{"c": c.is})
		c.cmd.Role = "c"
		if r := tab.Apply(c.at, c.cmd); r.Applied != c.done || r.Grant != c.want || tab.Get("c") != c.want {
			t.Errorf("%s: %+v", name, r)
		}
	}
}

// member returns a's side with a grant of its own, sent at 0 and answered at answered.
func holder(t *testing.T, answered time.Duration) *Candidate {
	t.Helper()
	m, err := NewCandidate(testSettings, "a", "c")
	if err != nil {
		t.Fatal(err)
	}
	m.Observe(0, Grant{})
	if c, ok := m.NextProposal(0); !ok || c.Op != Acquire {
		t.Fatalf("%+v %v", c, ok)
	}
	m.HandleResult(answered, Result{Applied: true, Grant: Grant{Holder: "a", Token: 5}})
	return m
}

func TestHolder(t *testing.T) {
	m := holder(t, 500*time.Millisecond)
	if !m.Owns(1999*time.Millisecond) || m.Owns(2*time.Second) {
		t.Error("the lease does not count from its sending")
	}
	if _, ok := m.NextProposal(600 * time.Millisecond); ok {
		t.Error("renewed before a third of the lease")
	}
	c, ok := m.NextProposal(700 * time.Millisecond)
	if !ok || c.Op != Renew {
		t.Fatalf("%+v %v", c, ok)
	}
	if _, ok := m.NextProposal(800 * time.Millisecond); ok {
		t.Error("two commands under way")
	}
	m.HandleNoResult()
	if m.Owns(2 * time.Second) {
		t.Error("a lost renewal prolongs the lease")
	}
	c, _ = m.NextProposal(time.Second)
	m.HandleResult(1500*time.Millisecond, Result{Applied: true, Grant: Grant{Holder: "a", Token: 5, Renewed: 1}})
	if got := m.Remaining(1500 * time.Millisecond); c.Op != Renew || got != 1500*time.Millisecond {
		t.Errorf("left %v after %+v", got, c)
	}
	m.Observe(1600*time.Millisecond, Grant{Holder: "b", Token: 9})
	if m.Owns(1700*time.Millisecond) || m.Token() != 9 {
		t.Error("it acts though another holds the lease")
	}
	m = holder(t, 0)
	if c, ok := m.Resign(); !ok || c.Op != Release || m.Owns(1) {
		t.Errorf("%+v %v", c, ok)
	}
	if _, ok := m.Resign(); ok {
		t.Error("given back twice")
	}
	if late := holder(t, 3*time.Second); late.Owns(3 * time.Second) {
		t.Error("a grant whose answer came after its end is acted on")
	}
	other, _ := NewCandidate(testSettings, "b", "c")
	other.Observe(0, Grant{Holder: "a", Token: 5})
	if _, ok := other.NextProposal(2100 * time.Millisecond); ok {
		t.Error("taken over within the drift")
	}
	if c, ok := other.NextProposal(2300 * time.Millisecond); !ok || c.Op != Acquire {
		t.Error("never taken over")
	}
	again, _ := NewCandidate(testSettings, "a", "c") // the same name, started again
	again.Observe(0, Grant{Holder: "a", Token: 5})
	if again.Owns(1) {
		t.Error("an earlier life's grant is acted on")
	}
}

func TestFence(t *testing.T) {
	var f Fence
	for i, c := range []struct {
		token uint64
		ok    bool
	}{{0, false}, {5, true}, {5, true}, {4, false}, {9, true}, {5, false}} {
		if err := f.Admit(c.token); (err == nil) != c.ok {
			t.Errorf("%d: token %d: %v", i, c.token, err)
		}
	}
}

// The model: members with clocks of their own rates, a log that takes commands late, twice or not at all,
// copies of it that lag, partitions, pauses of a member between looking at its lease and acting, and a
// receiver with a fence. rapid draws the knobs and a seed; the days they make are played in steps of 25 ms.
type clusterModel struct {
	t                *rapid.T
	rng              *rand.Rand
	now              time.Duration // true time
	rates            []float64
	members          []*Candidate
	pausedUntil      []time.Duration // a member stands still until then
	partitionedUntil []time.Duration // a member is cut off from the log until then
	table            *Table
	index            uint64
	log              []Grant // the grant after each entry, with when it was written
	committedAt      []time.Duration
	observedEntries  []int
	replicationLag   []time.Duration
	inFlight         []proposalInFlight
	replies          []resultInFlight
	effects          []effect
	fence            Fence
	faults           faultRates

	pauses, rejected, staleAdmitted, acquired int
}

type faultRates struct {
	// chances: of a message, of a second copy, of either trouble a second
	loss, duplicate, pause, partition float64
	delay                             time.Duration
}

type proposalInFlight struct {
	from  int
	cmd   Command
	at    time.Duration // when it reaches the log
	reply bool          // an answer comes back
}

type resultInFlight struct {
	from int
	r    Result
	at   time.Duration
}

type effect struct {
	token uint64
	at    time.Duration
}

const modelStep = 25 * time.Millisecond

func (m *clusterModel) localClock(i int) time.Duration {
	return time.Duration(float64(m.now) * m.rates[i])
}

func (m *clusterModel) upTo(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

func newModel(t *rapid.T) *clusterModel {
	m := &clusterModel{t: t, table: NewTable(), rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		faults: faultRates{loss: rapid.Float64Range(0, 0.4).Draw(t, "loss"), duplicate: 0.1,
			pause: rapid.Float64Range(0.05, 0.4).Draw(t, "pauses"), partition: rapid.Float64Range(0, 0.2).Draw(t,
				"cuts"),
			delay: time.Duration(rapid.IntRange(1, 1500).Draw(t, "delay")) * time.Millisecond}}
	for i := range rapid.IntRange(2, 5).Draw(t, "members") {
		rate := 1 - testSettings.Drift + 2*testSettings.Drift*m.rng.Float64()
		if i < 2 { // the slowest clock there may be beside the fastest
			rate = 1 - testSettings.Drift + 2*testSettings.Drift*float64(i)
		}
		mem, err := NewCandidate(testSettings, string(rune('a'+i)), "c")
		if err != nil {
			t.Fatal(err)
		}
		mem.Observe(0, Grant{})
		m.rates = append(m.rates, rate)
		m.members = append(m.members, mem)
		m.observedEntries, m.replicationLag = append(m.observedEntries, 0), append(m.replicationLag,
			m.upTo(200*time.Millisecond))
		m.pausedUntil, m.partitionedUntil = append(m.pausedUntil, 0), append(m.partitionedUntil, 0)
	}
	return m
}

// stepMember is one member's: it is unlucky, or learns, proposes, and begins a side effect.
func (m *clusterModel) stepMember(i int) {
	if m.rng.Float64() < m.faults.pause*modelStep.Seconds() {
		if m.members[i].Owns(m.localClock(i)) {
			m.pauses++
			// It had looked at its lease and was about to act: the effect goes out when it wakes.
			m.effects = append(m.effects, effect{m.members[i].Token(), m.now + m.upTo(8*time.Second)})
		}
		m.pausedUntil[i] = m.now + m.upTo(8*time.Second)
	}
	if m.rng.Float64() < m.faults.partition*modelStep.Seconds() {
		m.partitionedUntil[i] = m.now + m.upTo(8*time.Second)
	}
	if m.now < m.pausedUntil[i] {
		return
	}
	mem := m.members[i]
	if m.now >= m.partitionedUntil[i] {
		for m.observedEntries[i] < len(m.log) && m.committedAt[m.observedEntries[i]]+m.replicationLag[i] <= m.now {
			mem.Observe(m.localClock(i), m.log[m.observedEntries[i]])
			m.observedEntries[i]++
		}
	}
	if c, ok := mem.NextProposal(m.localClock(i)); ok {
		if m.now < m.partitionedUntil[i] || m.rng.Float64() < m.faults.loss {
			mem.HandleNoResult()
		} else {
			f := proposalInFlight{i, c, m.now + m.upTo(m.faults.delay), m.rng.Float64() >= m.faults.loss}
			m.inFlight = append(m.inFlight, f)
			if m.rng.Float64() < m.faults.duplicate {
				f.at, f.reply = f.at+m.upTo(5*time.Second), false
				m.inFlight = append(m.inFlight, f)
			}
			if !f.reply {
				mem.HandleNoResult()
			}
		}
	}
	if mem.Owns(m.localClock(i)) {
		m.effects = append(m.effects, effect{mem.Token(), m.now + m.upTo(m.faults.delay)})
		if m.rng.Float64() < 0.002 {
			if c, ok := mem.Resign(); ok {
				m.inFlight = append(m.inFlight, proposalInFlight{i, c, m.now + m.upTo(m.faults.delay), false})
			}
		}
	}
}

// deliver has the log take what reaches it now, and the receiver what reaches that.
func (m *clusterModel) deliver() {
	later := m.inFlight[:0]
	for _, f := range m.inFlight {
		if f.at > m.now {
			later = append(later, f)
			continue
		}
		m.index += uint64(1 + m.rng.IntN(3))
		before := m.table.Get("c")
		r := m.table.Apply(m.index, f.cmd)
		if r.Grant.Token < before.Token {
			m.t.Fatalf("the token fell from %d to %d", before.Token, r.Grant.Token)
		}
		if r.Applied && f.cmd.Op == Acquire {
			m.acquired++
		}
		m.log, m.committedAt = append(m.log, r.Grant), append(m.committedAt, m.now)
		if f.reply {
			m.replies = append(m.replies, resultInFlight{f.from, r, m.now + m.upTo(m.faults.delay)})
		}
	}
	m.inFlight = later
	waiting := m.replies[:0]
	for _, a := range m.replies {
		if a.at > m.now || m.now < m.pausedUntil[a.from] {
			waiting = append(waiting, a) // a paused member finds it when it wakes
		} else {
			m.members[a.from].HandleResult(m.localClock(a.from), a.r)
		}
	}
	m.replies = waiting
	left := m.effects[:0]
	for _, e := range m.effects {
		if e.at > m.now {
			left = append(left, e)
			continue
		}
		highest := m.fence.Highest
		if m.fence.Admit(e.token) != nil {
			m.rejected++
		} else if e.token < highest {
			m.staleAdmitted++
		}
	}
	m.effects = left
}

// Over any order of grants, renewals, pauses, drifts, partitions, lost, late and repeated messages, two
// members never act at once, tokens only rise, and the receiver accepts nothing that a newer token has
// overtaken.
func TestNeverTwoOwners(t *testing.T) {
	pauses, refused, stale, taken := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for m.now = 0; m.now < 2*time.Minute; m.now += modelStep {
			m.deliver()
			acting := 0
			for i := range m.members {
				m.stepMember(i)
				if m.members[i].Owns(m.localClock(i)) {
					acting++
				}
			}
			if acting > 1 {
				t.Fatalf("%d members act at %v", acting, m.now)
			}
		}
		pauses, refused, stale, taken = pauses+m.pauses, refused+m.rejected, stale+m.staleAdmitted, taken+m.acquired
	})
	t.Logf("%d grants, %d owners paused about to act, %d side effects refused by their token, %d stale accepted",
		taken, pauses, refused, stale)
	if stale > 0 || pauses < 1000 || refused == 0 || taken < 500 {
		t.Error("a stale owner's side effect was accepted, or too little happened to tell")
	}
}
