package clusterrig

import (
	"context"
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"cresshub/internal/testbed/proxystandin"
)

// takeover is how long a new owner may take here, where a dozen fleets share the machine. The number wanted,
// a lease and a second, is measured by `cresshub rig owner` on a quiet one.
const takeover = TestLease + 3*time.Second

// startOwners starts members with chores and waits until one owns them.
func startOwners(t *testing.T, o Options, ledger string, other ...*strings.Replacer) *Rig {
	t.Helper()
	o.Zones, o.Sink = 3, true
	o.ExtraTOML += strings.Replace(TestOwnerTOML, "[ledger]\n", "[ledger]\n"+ledger, 1)
	for _, r := range other {
		o.ExtraTOML = r.Replace(o.ExtraTOML)
	}
	r := start(t, o)
	formed(t, r)
	m, token, err := r.WaitOwner(ctx(t), 15*time.Second)
	must(t, err)
	t.Logf("%s owns the chores with token %d", m.Name, token)
	return r
}

// exported holds the sink to the answers that clients got and to the ledger.
func exported(t *testing.T, r *Rig, l *Clients) {
	t.Helper()
	must(t, r.WaitExported(ctx(t), l, 20*time.Second))
	_, sum := l.Answers()
	_, refused, _ := r.Sink.Audit()
	t.Logf("%d answers, all in the sink, in %d entries of %d calls, %d of them refused; discovery refused %d",
		sum, len(r.Sink.Entries()), len(r.Sink.Calls()), refused, r.Discovery.OwnerCalls().Stale)
}

// command runs the program and returns what it prints.
func command(t *testing.T, args ...string) string {
	t.Helper()
	out, err := exec.Command(binary, args...).CombinedOutput()
	if err != nil {
		t.Errorf("%v: %v\n%s", args, err, out)
	}
	return string(out)
}

func ownerOf(t *testing.T, r *Rig, limit time.Duration, not ...*Member) (*Member, uint64) {
	t.Helper()
	m, token, err := r.WaitOwner(ctx(t), limit, not...)
	must(t, err)
	return m, token
}

// The owner exports the ledger while clients come, and asks discovery for all. The sink's sums are the
// answers that clients got.
func TestOwnerExports(t *testing.T) {
	t.Parallel()
	r := startOwners(t, Options{Members: 5}, "")
	before := r.Discovery.Calls()
	l := during(t, r.Members, 6, func() {
		time.Sleep(time.Second)
		name, err := r.Zones.Add(time.Now())
		must(t, err)
		for begun := time.Now(); r.Zones.Counts()[name].Requests == 0; time.Sleep(pollInterval) {
			if time.Since(begun) > 10*time.Second {
				t.Fatal("a new zone server is in discovery's list and got nothing")
			}
		}
	})
	exported(t, r, l)
	if asked := r.Discovery.Calls(); asked > before || before > 3 {
		t.Errorf("five members asked discovery %d times until there was an owner, and %d times after", before,
			asked-before)
	}
	if d := r.Discovery.OwnerCalls(); d.Accepted == 0 {
		t.Errorf("no call on discovery carried a token: %+v", d)
	}
	text := command(t, "owner", "status", "--door", r.Members[0].Admin)
	for _, want := range []string{"OWNER", "export", "list", "the list here comes from"} {
		if !strings.Contains(text, want) {
			t.Errorf("the status says nothing of %q:\n%s", want, text)
		}
	}
}

// Cases 1 and 2: an owner is paused for three leases and woken, or cut off from the group and not from the
// sinks. Another owns the chores within a lease and a second; whatever the old one does is refused, it
// notices, and it acts no more.
func TestOwnerWakesLate(t *testing.T) {
	t.Parallel()
	r := startOwners(t, Options{Members: 5, Relay: true}, "")
	l := during(t, spare(r, replicas(t, r)), 4, func() {
		rounds := 6
		if underRace {
			rounds = 2
		}
		rep, err := r.FaultOwners(ctx(t), TestLease, rounds, rounds/2)
		must(t, err)
		t.Logf("%+v", rep)
		if rep.Refused < rep.Pauses+rep.Partitions {
			t.Errorf("%d calls of late owners were refused", rep.Refused)
		}
		if rep.Worst > takeover {
			t.Errorf("a new owner took %v, %v at most is wanted", rep.Worst, takeover)
		}
	})
	exported(t, r, l)
}

// Fifty owners that wake late, in two fleets of shorter leases: nothing of theirs is taken.
func TestOwnerWakesLateOften(t *testing.T) {
	t.Parallel()
	if underRace {
		t.Skip("takes a minute and adds nothing for the race detector")
	}
	for range 2 {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			keys := strings.NewReplacer(`lease = "600ms"`, `lease = "300ms"`, `election = "300ms"`,
				`election = "150ms"`, `heartbeat = "40ms"`, `heartbeat = "20ms"`)
			r := startOwners(t, Options{Members: 5, Relay: true}, "", keys)
			l := during(t, spare(r, replicas(t, r)), 4, func() {
				rep, err := r.FaultOwners(ctx(t), 300*time.Millisecond, 25, 0)
				must(t, err)
				t.Logf("%+v", rep)
				if rep.Refused < rep.Pauses {
					t.Errorf("%d calls of late owners were refused", rep.Refused)
				}
			})
			exported(t, r, l)
		})
	}
}

// Case 3: kill -9 of the owner in the middle of an export, then of its whole hall, half of the processes, at
// once. The next owner finishes the period.
func TestOwnerKilledWhileItSends(t *testing.T) {
	t.Parallel()
	// Halls a, b, a, c in turn: half of the members stand in a, and each hall has one replica.
	r := startOwners(t, Options{Members: 8, Halls: []string{"a", "b", "a", "c"}}, "")
	var talked []*Member
	held := replicas(t, r)
	for _, m := range without(r.Members, held...) {
		if m.Hall != "a" {
			talked = append(talked, m)
		}
	}
	l := during(t, talked, 4, func() {
		for _, hall := range []bool{false, true} {
			m, token := ownerOf(t, r, 10*time.Second)
			// Until the owner stands in the hall that is to fall, and is none that clients talk to: on a slow
			// machine one of those may have come to hold a replica.
			for tries := 0; hall && m.Hall != "a" || slices.Contains(talked, m); tries++ {
				if tries == 20 {
					t.Fatal("no member that may be killed ever owned the chores")
				}
				must(t, r.Term(m, nil))
				must(t, r.Restart(ctx(t), m, false, false))
				m, token = ownerOf(t, r, 10*time.Second)
			}
			sending(t, r, m)
			victims := []*Member{m}
			if hall {
				victims = inHall(r, "a")
			}
			r.Kill(victims...)
			begun := time.Now()
			next, higher := ownerOf(t, r, 10*time.Second)
			took := time.Since(begun)
			t.Logf("%s and %d more killed; %s owns the chores after %v", m.Name, len(victims)-1, next.Name, took)
			if higher <= token {
				t.Errorf("token %d follows %d", higher, token)
			}
			if took > takeover {
				t.Errorf("a new owner took %v, %v at most is wanted", took, takeover)
			}
			r.Sink.SetFault(proxystandin.SinkFault{})
			for _, v := range r.Members {
				if v.State() == Killed {
					must(t, r.Restart(ctx(t), v, false, false))
				}
			}
		}
	})
	exported(t, r, l)
}

func inHall(r *Rig, hall string) []*Member {
	var out []*Member
	for _, m := range r.Members {
		if m.Hall == hall && m.State() == Up {
			out = append(out, m)
		}
	}
	return out
}

// sending has the sink answer slowly and waits until it has stored something of an export that its owner has
// not heard of yet.
func sending(t *testing.T, r *Rig, m *Member) {
	t.Helper()
	r.Sink.SetFault(proxystandin.SinkFault{Delay: 300 * time.Millisecond})
	stored := len(r.Sink.Entries())
	for begun := time.Now(); len(r.Sink.Entries()) == stored; time.Sleep(time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			p, err := OwnerPage(m)
			t.Fatalf("%s sends nothing: %+v (%v)", m.Name, p, err)
		}
	}
}

// Case 4: the group's leader changes in the middle of a lease, twice, and the owner is killed twice in a row.
func TestOwnerAndLeaderChange(t *testing.T) {
	t.Parallel()
	r := startOwners(t, Options{Members: 5}, "replicas = 5\nexpect = 5\n")
	l := during(t, r.Members[:1], 4, func() {
		for range 2 {
			lead := leader(t, r)
			if lead == r.Members[0] {
				continue // clients talk to it
			}
			r.Kill(lead)
			_, token := ownerOf(t, r, 10*time.Second)
			must(t, r.Restart(ctx(t), lead, false, false))
			t.Logf("the leader %s was killed, the token is %d", lead.Name, token)
		}
		last := uint64(0)
		for range 2 {
			m, token := ownerOf(t, r, 10*time.Second)
			if token < last {
				t.Errorf("token %d after %d", token, last)
			}
			last = token
			if m == r.Members[0] {
				must(t, r.Pause(m)) // clients talk to it: what it has in memory must not go
				ownerOf(t, r, 10*time.Second, m)
				must(t, r.Resume(m))
				continue
			}
			r.Kill(m)
			ownerOf(t, r, 10*time.Second, m)
			must(t, r.Restart(ctx(t), m, false, false))
		}
	})
	exported(t, r, l)
}

// Case 5: every member is restarted in turn, then all are killed at once and started again. No period is
// exported twice or missed, and discovery sees no wave of calls.
func TestOwnerThroughRestarts(t *testing.T) {
	t.Parallel()
	r := startOwners(t, Options{Members: 5}, "")
	asked := r.Discovery.Calls()
	c, stop := context.WithCancel(ctx(t))
	l := NewClients()
	done := make(chan struct{})
	go func() { defer close(done); l.Run(c, r.Members, 4) }()
	for _, m := range r.Members {
		must(t, r.Term(m, nil))
		must(t, r.Restart(ctx(t), m, false, false))
		ownerOf(t, r, 10*time.Second)
	}
	stop()
	<-done
	t.Logf("restarted in turn, discovery was asked %d times more", r.Discovery.Calls()-asked)
	settled(t, r, l, 15*time.Second)
	exported(t, r, l)
	asked = r.Discovery.Calls()
	r.Kill(r.Members...)
	must(t, r.SpawnAll(ctx(t), r.Members))
	m, _ := ownerOf(t, r, 15*time.Second)
	more := during(t, r.Members, 4, func() { time.Sleep(time.Second) })
	l.Merge(more)
	exported(t, r, l)
	t.Logf("killed at once and started, %s owns the chores; discovery was asked %d times more", m.Name,
		r.Discovery.Calls()-asked)
	if waves := r.Discovery.Calls() - asked; waves > 2 {
		t.Errorf("five members that start at once asked discovery %d times", waves)
	}
}

// Bad input: a sink that answers slowly, with errors, resets and garbage. The export stands, plainly, and
// goes on once the sink is well; nothing is stored twice.
func TestOwnerAndBadSink(t *testing.T) {
	t.Parallel()
	r := startOwners(t, Options{Members: 3}, "")
	l := during(t, r.Members, 4, func() {
		for what, trouble := range map[string]proxystandin.SinkFault{
			"503":          {Status: 503},
			"400":          {Status: 400},
			"too slow":     {Delay: time.Second},
			"a reset":      {Reset: true},
			"garbage":      {Garbage: true},
			"another 200":  {Status: 204},
			"a lie of 409": {Status: 409},
		} {
			refused, _ := exporting(r)
			r.Sink.SetFault(trouble)
			untilExport(t, r, what, func(now int64, problem string) bool {
				return problem != "" || now > refused && trouble.Status == 409
			})
			r.Sink.SetFault(proxystandin.SinkFault{})
			untilExport(t, r, "well again", func(_ int64, problem string) bool { return problem == "" })
		}
	})
	exported(t, r, l)
	for what, c := range map[string]struct {
		token string
		want  int
	}{"no token": {"", 400}, "negative": {"-4", 400}, "no number": {"x", 400}, "zero": {"0", 400},
		"old": {"1", 409}} {
		for _, call := range []struct{ method, url string }{
			{"POST", "http://" + r.Sink.Address() + "/entries"},
			{"GET", "http://" + r.Discovery.Address() + "/registry/instances"},
		} {
			q, _ := http.NewRequest(call.method, call.url, strings.NewReader("[]"))
			q.Header.Set("X-Fencing-Token", c.token)
			a, err := http.DefaultClient.Do(q)
			must(t, err)
			a.Body.Close()
			if call.method == "GET" && c.token == "" {
				c.want = 200 // anybody may ask discovery without one
			}
			if a.StatusCode != c.want {
				t.Errorf("%s: %s answered %d, not %d", what, call.url, a.StatusCode, c.want)
			}
		}
	}
}

// exporting is how many calls were refused for their token, over all members, and what the owner's export
// stands for, if it stands.
func exporting(r *Rig) (refused int64, problem string) {
	problem = "nobody owns the chores"
	for _, m := range r.Running() {
		p, err := OwnerPage(m)
		if err != nil || len(p.Roles) == 0 {
			continue
		}
		refused += p.Stats.Rejected
		if p.Owns {
			problem = p.Roles[0].Problem
		}
	}
	return refused, problem
}

func untilExport(t *testing.T, r *Rig, what string, holds func(refused int64, problem string) bool) {
	t.Helper()
	begun := time.Now()
	for {
		refused, problem := exporting(r)
		if holds(refused, problem) {
			t.Logf("%s after %v: %s", what, time.Since(begun), problem)
			return
		}
		if time.Since(begun) > 10*time.Second {
			t.Fatalf("%s: never seen; %d refused, %q", what, refused, problem)
		}
		time.Sleep(pollInterval)
	}
}
