package chain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

const (
	// cutSeeds is how many seeds each kind of cut gets without cutSeedsVariable in the environment.
	cutSeeds         = 2
	cutSeedsVariable = "CHAIN_CUT_SEEDS"
	// cutTime is how long a machine is cut off. Calls that begin cutSettle after its begin have to be
	// answered by the others, those that begin so long after its end by all; none takes longer than cutCall.
	cutTime   = 20 * time.Second
	cutSettle = 1500 * time.Millisecond
	cutCall   = 2 * time.Second
	// cutViews is how many views one cut may cost, its end included.
	cutViews = 6
)

// cutKind says which messages of a machine are lost.
type cutKind struct {
	name    string
	in, out bool
	// membersOnly leaves the links to other machines alone.
	membersOnly bool
	// company is cut off together with the machine.
	company bool
}

// cutKinds are all ways in which a machine is cut off.
var cutKinds = []cutKind{
	{name: "nothing comes in", in: true},
	{name: "nothing goes out", out: true},
	{name: "both ways", in: true, out: true},
	{name: "from the members only", in: true, out: true, membersOnly: true},
	{name: "from the members only, nothing comes in", in: true, membersOnly: true},
	{name: "together with another machine", in: true, out: true, company: true},
}

// TestCutOffFor20Seconds cuts each replica off in each way, with a candidate to take its place and without,
// while clients read and write at every machine. The others go on soon and answer each call; what the machine
// answers is linearizable, and it serves soon after the cut has ended.
func TestCutOffFor20Seconds(t *testing.T) {
	seeds := fromEnvironment(cutSeedsVariable, cutSeeds)
	for _, kind := range cutKinds {
		for replica := range 3 {
			for _, candidates := range []int{0, 1} {
				for seed := range seeds {
					name := fmt.Sprint(kind.name, ", replica ", replica, ", ", candidates, " candidates, seed ", seed)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						w := newCutWorld(int64(seed), candidates)
						w.play(kind, replica)
						result := w.linearizable()
						if w.failure != "" || result != porcupine.Ok {
							trace := w.trace[max(0, len(w.trace)-simTraceLines):]
							t.Fatalf("%s, history %s\n%s", w.failure, result, strings.Join(trace, "\n"))
						}
					})
				}
			}
		}
	}
}

// cutWorld is a world with a client at each machine.
type cutWorld struct {
	*simWorld
	// mustAnswer are the addresses whose clients must get answers now.
	mustAnswer map[string]bool
	// unanswered and answers count calls at the machine that is cut off.
	cut     string
	answers map[Outcome]int
}

// newCutWorld founds a world of three members, candidates and a machine without a disk.
func newCutWorld(seed int64, candidates int) *cutWorld {
	w := &cutWorld{simWorld: newWorld(seed), mustAnswer: map[string]bool{}, answers: map[Outcome]int{}}
	foundWorldWith(w.simWorld, candidates)
	for id, address := range w.addresses {
		client := &simClient{world: w.simWorld, id: id, at: address, until: time.Hour}
		client.answered = func(outcome Outcome) { w.answer(address, outcome) }
		client.next()
	}
	return w
}

// answer checks an outcome that a client got.
func (w *cutWorld) answer(address string, outcome Outcome) {
	if address == w.cut {
		w.answers[outcome]++
	}
	if outcome == Unavailable && w.mustAnswer[address] {
		w.fail("a call at %s gets no answer", address)
	}
}

// play cuts a replica off and heals the cut.
func (w *cutWorld) play(kind cutKind, replica int) {
	view := w.machines["10.0.0.9"].node.View()
	member, _ := view.member(view.Chain[replica])
	w.cut = member.Address
	side := map[string]bool{w.cut: true}
	if kind.company {
		side["10.0.0.9"] = true
	}
	w.run(time.Second)
	for _, address := range w.addresses {
		_, isMember := view.memberAt(address)
		if side[address] || kind.membersOnly && !isMember {
			continue
		}
		for inside := range side {
			w.link(address, inside).cut = kind.in
			w.link(inside, address).cut = kind.out
		}
	}
	w.note("%s is cut off: %s", w.cut, kind.name)
	w.run(cutSettle + cutCall)
	for _, address := range w.addresses {
		w.mustAnswer[address] = !side[address]
	}
	w.run(cutTime - cutSettle - cutCall)
	w.note("the cut ends")
	clear(w.mustAnswer)
	(&nemesis{world: w.simWorld}).healLinks(nil)
	w.run(cutSettle + cutCall)
	for _, address := range w.addresses {
		w.mustAnswer[address] = true
	}
	w.run(cutSettle)
	if epoch := w.machines["10.0.0.9"].node.View().Epoch; epoch > view.Epoch+cutViews {
		w.fail("%d views for one cut", epoch-view.Epoch)
	}
}

// memberAt finds the member at an address.
func (v View) memberAt(address string) (Member, bool) {
	for _, member := range v.Members {
		if member.Address == address {
			return member, true
		}
	}
	return Member{}, false
}
