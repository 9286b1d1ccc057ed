package clusterrig

import (
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"cresshub/internal/testbed/proxystandin"
)

// takeoverLimit bounds the time until there is a new owner here, where a dozen rigs share the machine. The
// requirement, a lease and a second, is measured by `cresshub rig owner` on a quiet one.
const takeoverLimit = ShortLease + 3*time.Second

// startOwners starts members with the singleton roles and waits until one owns them.
func startOwners(t *testing.T, o Options, ledger string, other ...*strings.Replacer) *Rig {
	t.Helper()
	o.Zones, o.Sink = 3, true
	o.ExtraTOML += strings.Replace(ShortLeaseTOML, "[ledger]\n", "[ledger]\n"+ledger, 1)
	for _, r := range other {
		o.ExtraTOML = r.Replace(o.ExtraTOML)
	}
	r := start(t, o)
	waitGroupFormed(t, r)
	owner, err := r.WaitOwner(testContext(t), 15*time.Second)
	must(t, err)
	t.Logf("%s owns the roles with token %d", owner.Name, owner.Token)
	return r
}

// checkExported checks the sink against the answers that clients got and against the ledger.
func checkExported(t *testing.T, r *Rig, l *Clients) {
	t.Helper()
	must(t, r.WaitExported(testContext(t), l, 20*time.Second))
	sum := l.TotalAnswers()
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

func waitOwner(t *testing.T, r *Rig, limit time.Duration, not ...*Member) (*Member, uint64) {
	t.Helper()
	owner, err := r.WaitOwner(testContext(t), limit, not...)
	must(t, err)
	return owner.Member, owner.Token
}

// The owner exports the ledger while clients come, and asks discovery for all. The sink's sums are the
// answers that clients got.
func TestOwnerExportsAllAnswers(t *testing.T) {
	t.Parallel()
	r := startOwners(t, Options{Members: 5}, "")
	before := r.Discovery.Calls()
	l := withClients(t, r.Members, 6, func() {
		time.Sleep(time.Second)
		name, err := r.Zones.Add(time.Now())
		must(t, err)
		for started := time.Now(); r.Zones.Counts()[name].Requests == 0; time.Sleep(pollInterval) {
			if time.Since(started) > 10*time.Second {
				t.Fatal("a new zone server is in discovery's list and got nothing")
			}
		}
	})
	checkExported(t, r, l)
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

// Cases 1 and 2: an owner is paused for three leases and resumed, or partitioned from the group and not from
// the sinks. Another owns the roles within a lease and a second; whatever the old one does is refused, it
// notices, and it acts no more.
func TestResumedOwnerIsFenced(t *testing.T) {
	t.Parallel()
	r := startOwners(t, Options{Members: 5, Relay: true}, "")
	l := withClients(t, nonReplicas(r, replicas(t, r)), 4, func() {
		rounds := 6
		if underRace {
			rounds = 2
		}
		rep, err := r.FaultOwners(testContext(t), ShortLease, rounds, rounds/2)
		must(t, err)
		t.Logf("%+v", rep)
		if rep.Refused < rep.Pauses+rep.Partitions {
			t.Errorf("%d calls of late owners were refused", rep.Refused)
		}
		if rep.Worst > takeoverLimit {
			t.Errorf("a new owner took %v, %v at most is wanted", rep.Worst, takeoverLimit)
		}
	})
	checkExported(t, r, l)
}

// Fifty owners that wake late, in two fleets of shorter leases: nothing of theirs is taken.
func TestResumedOwnersAreFencedOften(t *testing.T) {
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
			l := withClients(t, nonReplicas(r, replicas(t, r)), 4, func() {
				rep, err := r.FaultOwners(testContext(t), 300*time.Millisecond, 25, 0)
				must(t, err)
				t.Logf("%+v", rep)
				if rep.Refused < rep.Pauses {
					t.Errorf("%d calls of late owners were refused", rep.Refused)
				}
			})
			checkExported(t, r, l)
		})
	}
}

// Case 3: kill -9 of the owner in the middle of an export, then of its entire hall, half of the processes, at
// once. The next owner finishes the period.
func TestOwnerKilledDuringExport(t *testing.T) {
	t.Parallel()
	// Halls a, b, a, c in turn: half of the members stand in a, and each hall has one replica.
	r := startOwners(t, Options{Members: 8, Halls: []string{"a", "b", "a", "c"}}, "")
	var targets []*Member
	replicated := replicas(t, r)
	for _, m := range without(r.Members, replicated...) {
		if m.Hall != "a" {
			targets = append(targets, m)
		}
	}
	l := withClients(t, targets, 4, func() {
		for _, hall := range []bool{false, true} {
			m, token := waitOwner(t, r, 10*time.Second)
			// Until the owner stands in the hall that is to fall, and is none that clients talk to: on a slow
			// machine one of those may have come to hold a replica.
			for attempts := 0; hall && m.Hall != "a" || slices.Contains(targets, m); attempts++ {
				if attempts == 20 {
					t.Fatal("no member that may be killed ever owned the roles")
				}
				must(t, r.Term(m, nil))
				must(t, r.Spawn(testContext(t), m, Unchanged))
				m, token = waitOwner(t, r, 10*time.Second)
			}
			waitExporting(t, r, m)
			victims := []*Member{m}
			if hall {
				victims = inHall(r, "a")
			}
			r.Kill(victims...)
			started := time.Now()
			next, higher := waitOwner(t, r, 10*time.Second)
			took := time.Since(started)
			t.Logf("%s and %d more killed; %s owns the roles after %v", m.Name, len(victims)-1, next.Name, took)
			if higher <= token {
				t.Errorf("token %d follows %d", higher, token)
			}
			if took > takeoverLimit {
				t.Errorf("a new owner took %v, %v at most is wanted", took, takeoverLimit)
			}
			r.Sink.SetFault(proxystandin.SinkFault{})
			for _, v := range r.Members {
				if v.State() == Killed {
					must(t, r.Spawn(testContext(t), v, Unchanged))
				}
			}
		}
	})
	checkExported(t, r, l)
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

// waitExporting delays the sink's answers and waits until it has stored an entry whose owner has no answer
// yet.
func waitExporting(t *testing.T, r *Rig, m *Member) {
	t.Helper()
	r.Sink.SetFault(proxystandin.SinkFault{Delay: 300 * time.Millisecond})
	stored := len(r.Sink.Entries())
	for started := time.Now(); len(r.Sink.Entries()) == stored; time.Sleep(time.Millisecond) {
		if time.Since(started) > 10*time.Second {
			p, err := OwnerPage(m)
			t.Fatalf("%s sends nothing: %+v (%v)", m.Name, p, err)
		}
	}
}

// Case 4: the group's leader changes in the middle of a lease, twice, and the owner is killed twice in a row.
func TestOwnerSurvivesLeaderChanges(t *testing.T) {
	t.Parallel()
	r := startOwners(t, Options{Members: 5}, "replicas = 5\nexpect = 5\n")
	l := withClients(t, r.Members[:1], 4, func() {
		for range 2 {
			lead := leader(t, r)
			if lead == r.Members[0] {
				continue // clients talk to it
			}
			r.Kill(lead)
			_, token := waitOwner(t, r, 10*time.Second)
			must(t, r.Spawn(testContext(t), lead, Unchanged))
			t.Logf("the leader %s was killed, the token is %d", lead.Name, token)
		}
		last := uint64(0)
		for range 2 {
			m, token := waitOwner(t, r, 10*time.Second)
			if token < last {
				t.Errorf("token %d after %d", token, last)
			}
			last = token
			if m == r.Members[0] {
				must(t, r.Pause(m)) // clients talk to it: what it has in memory must not go
				waitOwner(t, r, 10*time.Second, m)
				must(t, r.Resume(m))
				continue
			}
			r.Kill(m)
			waitOwner(t, r, 10*time.Second, m)
			must(t, r.Spawn(testContext(t), m, Unchanged))
		}
	})
	checkExported(t, r, l)
}

// Case 5: every member is restarted in turn, then all are killed at once and started again. No period is
// exported twice or missed, and discovery sees no burst of calls.
func TestExportIsExactThroughRestarts(t *testing.T) {
	t.Parallel()
	r := startOwners(t, Options{Members: 5}, "")
	asked := r.Discovery.Calls()
	l := NewClients()
	stop := l.Start(testContext(t), r.Members, 4)
	defer stop()
	for _, m := range r.Members {
		must(t, r.Term(m, nil))
		must(t, r.Spawn(testContext(t), m, Unchanged))
		waitOwner(t, r, 10*time.Second)
	}
	stop()
	t.Logf("restarted in turn, discovery was asked %d times more", r.Discovery.Calls()-asked)
	waitCommitted(t, r, l, 15*time.Second)
	checkExported(t, r, l)
	asked = r.Discovery.Calls()
	r.Kill(r.Members...)
	must(t, r.SpawnAll(testContext(t), r.Members))
	m, _ := waitOwner(t, r, 15*time.Second)
	more := withClients(t, r.Members, 4, func() { time.Sleep(time.Second) })
	l.Merge(more)
	checkExported(t, r, l)
	t.Logf("killed at once and started, %s owns the roles; discovery was asked %d times more", m.Name,
		r.Discovery.Calls()-asked)
	if waves := r.Discovery.Calls() - asked; waves > 2 {
		t.Errorf("five members that start at once asked discovery %d times", waves)
	}
}

// Bad input: a sink that answers slowly, with errors, resets and garbage. The export stalls, visibly, and
// goes on once the sink is healthy; nothing is stored twice.
func TestExportRecoversFromSinkFaults(t *testing.T) {
	t.Parallel()
	r := startOwners(t, Options{Members: 3}, "")
	l := withClients(t, r.Members, 4, func() {
		for what, fault := range map[string]proxystandin.SinkFault{
			"503":          {Status: 503},
			"400":          {Status: 400},
			"too slow":     {Delay: time.Second},
			"a reset":      {Reset: true},
			"garbage":      {Garbage: true},
			"another 200":  {Status: 204},
			"a lie of 409": {Status: 409},
		} {
			refused, _ := exportState(r)
			r.Sink.SetFault(fault)
			waitExportState(t, r, what, func(now int64, problem string) bool {
				return problem != "" || now > refused && fault.Status == 409
			})
			r.Sink.SetFault(proxystandin.SinkFault{})
			waitExportState(t, r, "well again", func(_ int64, problem string) bool { return problem == "" })
		}
	})
	checkExported(t, r, l)
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

// exportState returns how many calls were refused for their token, over all members, and the problem that
// stalls the owner's export, if any.
func exportState(r *Rig) (refused int64, problem string) {
	problem = "nobody owns the roles"
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

func waitExportState(t *testing.T, r *Rig, what string, holds func(refused int64, problem string) bool) {
	t.Helper()
	started := time.Now()
	for {
		refused, problem := exportState(r)
		if holds(refused, problem) {
			t.Logf("%s after %v: %s", what, time.Since(started), problem)
			return
		}
		if time.Since(started) > 10*time.Second {
			t.Fatalf("%s: never seen; %d refused, %q", what, refused, problem)
		}
		time.Sleep(pollInterval)
	}
}
