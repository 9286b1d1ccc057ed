package lease

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var set = Settings{Lease: 2 * time.Second, Drift: 0.05, Election: time.Second}

func TestSettings(t *testing.T) {
	for says, s := range map[string]Settings{
		"election": {Lease: time.Second, Drift: 0.05, Election: time.Second},
		"drift":    {Lease: 2 * time.Second, Drift: 0.5},
		"range":    {Lease: 2 * time.Second, Drift: -1},
	} {
		if err := s.Check(); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%+v: %v, not %q", s, err, says)
		}
	}
	if _, err := NewMember(set, "", "x"); err == nil {
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
		"the first takes":            {Grant{}, Command{Op: Take, Member: "a"}, 5, a1, true},
		"the second saw nothing yet": {a1, Command{Op: Take, Member: "b"}, 6, a1, false},
		"another takes over": {a1, Command{Op: Take, Member: "b", Seen: a1}, 9, Grant{Holder: "b", Token: 9},
			true},
		"a renewal keeps the token": {a1, Command{Op: Renew, Member: "a", Seen: a1}, 7,
			Grant{Holder: "a", Token: 5, Renewed: 1}, true},
		"a renewal by another": {a1, Command{Op: Renew, Member: "b", Seen: a1}, 7, a1, false},
		"a release": {a1, Command{Op: Release, Member: "a", Seen: a1}, 7, Grant{Token: 5, Renewed: 1},
			true},
		"a release by another": {a1, Command{Op: Release, Member: "b", Seen: a1}, 7, a1, false},
		"no member":            {a1, Command{Op: Take, Seen: a1}, 7, a1, false},
		"no such thing to do":  {a1, Command{Op: 9, Member: "a", Seen: a1}, 7, a1, false},
		"an index of the past": {a1, Command{Op: Take, Member: "b", Seen: a1}, 5, a1, false},
	} {
		tab := NewTable()
		tab.Restore(map[string]Grant{"c": c.is})
		c.cmd.Chore = "c"
		if r := tab.Apply(c.at, c.cmd); r.Done != c.done || r.Grant != c.want || tab.Get("c") != c.want {
			t.Errorf("%s: %+v", name, r)
		}
	}
}

// member returns a's side with a grant of its own, sent at 0 and answered at answered.
func holder(t *testing.T, answered time.Duration) *Member {
	t.Helper()
	m, err := NewMember(set, "a", "c")
	if err != nil {
		t.Fatal(err)
	}
	m.Learn(0, Grant{})
	if c, ok := m.Next(0); !ok || c.Op != Take {
		t.Fatalf("%+v %v", c, ok)
	}
	m.Answered(answered, Result{Done: true, Grant: Grant{Holder: "a", Token: 5}})
	return m
}

func TestHolder(t *testing.T) {
	m := holder(t, 500*time.Millisecond)
	if !m.Acts(1999*time.Millisecond) || m.Acts(2*time.Second) {
		t.Error("the lease does not count from its sending")
	}
	if _, ok := m.Next(600 * time.Millisecond); ok {
		t.Error("renewed before a third of the lease")
	}
	c, ok := m.Next(700 * time.Millisecond)
	if !ok || c.Op != Renew {
		t.Fatalf("%+v %v", c, ok)
	}
	if _, ok := m.Next(800 * time.Millisecond); ok {
		t.Error("two commands under way")
	}
	m.Lost()
	if m.Acts(2 * time.Second) {
		t.Error("a lost renewal prolongs the lease")
	}
	c, _ = m.Next(time.Second)
	m.Answered(1500*time.Millisecond, Result{Done: true, Grant: Grant{Holder: "a", Token: 5, Renewed: 1}})
	if got := m.Left(1500 * time.Millisecond); c.Op != Renew || got != 1500*time.Millisecond {
		t.Errorf("left %v after %+v", got, c)
	}
	m.Learn(1600*time.Millisecond, Grant{Holder: "b", Token: 9})
	if m.Acts(1700*time.Millisecond) || m.Token() != 9 {
		t.Error("it acts though another holds the lease")
	}
	m = holder(t, 0)
	if c, ok := m.GiveBack(); !ok || c.Op != Release || m.Acts(1) {
		t.Errorf("%+v %v", c, ok)
	}
	if _, ok := m.GiveBack(); ok {
		t.Error("given back twice")
	}
	if late := holder(t, 3*time.Second); late.Acts(3 * time.Second) {
		t.Error("a grant whose answer came after its end is acted on")
	}
	other, _ := NewMember(set, "b", "c")
	other.Learn(0, Grant{Holder: "a", Token: 5})
	if _, ok := other.Next(2100 * time.Millisecond); ok {
		t.Error("taken over within the drift")
	}
	if c, ok := other.Next(2300 * time.Millisecond); !ok || c.Op != Take {
		t.Error("never taken over")
	}
	again, _ := NewMember(set, "a", "c") // the same name, started again
	again.Learn(0, Grant{Holder: "a", Token: 5})
	if again.Acts(1) {
		t.Error("an earlier life's grant is acted on")
	}
}

func TestFence(t *testing.T) {
	var f Fence
	for i, c := range []struct {
		token uint64
		ok    bool
	}{{0, false}, {5, true}, {5, true}, {4, false}, {9, true}, {5, false}} {
		if err := f.Pass(c.token); (err == nil) != c.ok {
			t.Errorf("%d: token %d: %v", i, c.token, err)
		}
	}
}

// The model: members with clocks of their own rates, a log that takes commands late, twice or not at all,
// copies of it that lag, partitions, pauses of a member between looking at its lease and acting, and a
// receiver with a fence. rapid draws the knobs and a seed; the days they make are played in steps of 25 ms.
type model struct {
	t       *rapid.T
	rnd     *rand.Rand
	now     time.Duration // true time
	rates   []float64
	members []*Member
	paused  []time.Duration // a member stands still until then
	cut     []time.Duration // a member is cut off from the log until then
	table   *Table
	index   uint64
	log     []Grant // the grant after each entry, with when it was written
	written []time.Duration
	copies  []int
	lag     []time.Duration
	flying  []flight
	replies []answered
	effects []effect
	fence   Fence
	knobs   knobs

	pauses, refused, stale, taken int
}

type knobs struct {
	loss, twice, pause, part float64 // chances: of a message, of a second copy, of either trouble a second
	delay                    time.Duration
}

type flight struct {
	from  int
	cmd   Command
	at    time.Duration // when it reaches the log
	reply bool          // an answer comes back
}

type answered struct {
	from int
	r    Result
	at   time.Duration
}

type effect struct {
	token uint64
	at    time.Duration
}

const modelStep = 25 * time.Millisecond

func (m *model) local(i int) time.Duration { return time.Duration(float64(m.now) * m.rates[i]) }

func (m *model) within(d time.Duration) time.Duration {
	return time.Duration(m.rnd.Int64N(int64(d) + 1))
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, table: NewTable(), rnd: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		knobs: knobs{loss: rapid.Float64Range(0, 0.4).Draw(t, "loss"), twice: 0.1,
			pause: rapid.Float64Range(0.05, 0.4).Draw(t, "pauses"), part: rapid.Float64Range(0, 0.2).Draw(t, "cuts"),
			delay: time.Duration(rapid.IntRange(1, 1500).Draw(t, "delay")) * time.Millisecond}}
	for i := range rapid.IntRange(2, 5).Draw(t, "members") {
		rate := 1 - set.Drift + 2*set.Drift*m.rnd.Float64()
		if i < 2 { // the slowest clock there may be beside the fastest
			rate = 1 - set.Drift + 2*set.Drift*float64(i)
		}
		mem, err := NewMember(set, string(rune('a'+i)), "c")
		if err != nil {
			t.Fatal(err)
		}
		mem.Learn(0, Grant{})
		m.rates = append(m.rates, rate)
		m.members = append(m.members, mem)
		m.copies, m.lag = append(m.copies, 0), append(m.lag, m.within(200*time.Millisecond))
		m.paused, m.cut = append(m.paused, 0), append(m.cut, 0)
	}
	return m
}

// turn is one member's: it is unlucky, or learns, proposes, and begins a side effect.
func (m *model) turn(i int) {
	if m.rnd.Float64() < m.knobs.pause*modelStep.Seconds() {
		if m.members[i].Acts(m.local(i)) {
			m.pauses++
			// It had looked at its lease and was about to act: the effect goes out when it wakes.
			m.effects = append(m.effects, effect{m.members[i].Token(), m.now + m.within(8*time.Second)})
		}
		m.paused[i] = m.now + m.within(8*time.Second)
	}
	if m.rnd.Float64() < m.knobs.part*modelStep.Seconds() {
		m.cut[i] = m.now + m.within(8*time.Second)
	}
	if m.now < m.paused[i] {
		return
	}
	mem := m.members[i]
	if m.now >= m.cut[i] {
		for m.copies[i] < len(m.log) && m.written[m.copies[i]]+m.lag[i] <= m.now {
			mem.Learn(m.local(i), m.log[m.copies[i]])
			m.copies[i]++
		}
	}
	if c, ok := mem.Next(m.local(i)); ok {
		if m.now < m.cut[i] || m.rnd.Float64() < m.knobs.loss {
			mem.Lost()
		} else {
			f := flight{i, c, m.now + m.within(m.knobs.delay), m.rnd.Float64() >= m.knobs.loss}
			m.flying = append(m.flying, f)
			if m.rnd.Float64() < m.knobs.twice {
				f.at, f.reply = f.at+m.within(5*time.Second), false
				m.flying = append(m.flying, f)
			}
			if !f.reply {
				mem.Lost()
			}
		}
	}
	if mem.Acts(m.local(i)) {
		m.effects = append(m.effects, effect{mem.Token(), m.now + m.within(m.knobs.delay)})
		if m.rnd.Float64() < 0.002 {
			if c, ok := mem.GiveBack(); ok {
				m.flying = append(m.flying, flight{i, c, m.now + m.within(m.knobs.delay), false})
			}
		}
	}
}

// arrive has the log take what reaches it now, and the receiver what reaches that.
func (m *model) arrive() {
	later := m.flying[:0]
	for _, f := range m.flying {
		if f.at > m.now {
			later = append(later, f)
			continue
		}
		m.index += uint64(1 + m.rnd.IntN(3))
		before := m.table.Get("c")
		r := m.table.Apply(m.index, f.cmd)
		if r.Grant.Token < before.Token {
			m.t.Fatalf("the token fell from %d to %d", before.Token, r.Grant.Token)
		}
		if r.Done && f.cmd.Op == Take {
			m.taken++
		}
		m.log, m.written = append(m.log, r.Grant), append(m.written, m.now)
		if f.reply {
			m.replies = append(m.replies, answered{f.from, r, m.now + m.within(m.knobs.delay)})
		}
	}
	m.flying = later
	waiting := m.replies[:0]
	for _, a := range m.replies {
		if a.at > m.now || m.now < m.paused[a.from] {
			waiting = append(waiting, a) // a paused member finds it when it wakes
		} else {
			m.members[a.from].Answered(m.local(a.from), a.r)
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
		if m.fence.Pass(e.token) != nil {
			m.refused++
		} else if e.token < highest {
			m.stale++
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
			m.arrive()
			acting := 0
			for i := range m.members {
				m.turn(i)
				if m.members[i].Acts(m.local(i)) {
					acting++
				}
			}
			if acting > 1 {
				t.Fatalf("%d members act at %v", acting, m.now)
			}
		}
		pauses, refused, stale, taken = pauses+m.pauses, refused+m.refused, stale+m.stale, taken+m.taken
	})
	t.Logf("%d grants, %d owners paused about to act, %d side effects refused by their token, %d stale accepted",
		taken, pauses, refused, stale)
	if stale > 0 || pauses < 1000 || refused == 0 || taken < 500 {
		t.Error("a stale owner's side effect was accepted, or too little happened to tell")
	}
}
