package clusterrig

import (
	"errors"
	"net/http"
	"os"
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

// steadyOwner changes ShortLeaseTOML for tests that count the calls on discovery: a member that is slow, on a
// busy machine, neither loses the lease nor asks discovery itself before it has the owner's list.
var steadyOwner = strings.NewReplacer(`lease = "600ms"`, `lease = "3s"`, `list_max_age = "2s"`,
	`list_max_age = "10s"`)

// startOwners starts members with the singleton roles and waits until one owns them.
func startOwners(t *testing.T, options Options, ledger string, other ...*strings.Replacer) *Rig {
	t.Helper()
	options.Zones, options.Sink = 3, true
	options.ExtraTOML += strings.Replace(ShortLeaseTOML, "[ledger]\n", "[ledger]\n"+ledger, 1)
	for _, r := range other {
		options.ExtraTOML = r.Replace(options.ExtraTOML)
	}
	rig := start(t, options)
	waitGroupFormed(t, rig)
	owner, err := rig.WaitOwner(testContext(t), 15*time.Second)
	must(t, err)
	t.Logf("%s owns the roles with token %d", owner.Name, owner.Token)
	return rig
}

// checkExported checks the sink against the answers that clients got and against the ledger.
func checkExported(t *testing.T, rig *Rig, clients *Clients) {
	t.Helper()
	must(t, rig.WaitExported(testContext(t), clients, 20*time.Second))
	sum := clients.TotalAnswers()
	_, refused, _ := rig.Sink.Audit()
	t.Logf("%d answers, all in the sink, in %d entries of %d calls, %d of them refused; discovery refused %d",
		sum, len(rig.Sink.Entries()), len(rig.Sink.Calls()), refused, rig.Discovery.OwnerCalls().Stale)
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

// awaitOwnership waits until a member other than some owns the roles.
func awaitOwnership(t *testing.T, rig *Rig, limit time.Duration, not ...*Member) Ownership {
	t.Helper()
	owner, err := rig.WaitOwner(testContext(t), limit, not...)
	must(t, err)
	return owner
}

// waitOwner waits until a member other than some owns the roles, and returns it with its token.
func waitOwner(t *testing.T, rig *Rig, limit time.Duration, not ...*Member) (*Member, uint64) {
	t.Helper()
	owner := awaitOwnership(t, rig, limit, not...)
	return owner.Member, owner.Token
}

// The owner exports the ledger while clients come, and asks discovery for all. The sink's sums are the
// answers that clients got.
func TestOwnerExportsAllAnswers(t *testing.T) {
	t.Parallel()
	rig := startOwners(t, Options{Members: 5}, "", steadyOwner)
	must(t, rig.waitReady(testContext(t), patience)) // the owner has asked discovery, and all have its list
	before := rig.Discovery.Calls()
	clients := withClients(t, rig.Members, 6, func() {
		time.Sleep(time.Second)
		name, err := rig.Zones.Add(time.Now())
		must(t, err)
		for started := time.Now(); rig.Zones.Counts()[name].Requests == 0; time.Sleep(pollInterval) {
			if time.Since(started) > 10*time.Second {
				t.Fatal("a new zone server is in discovery's list and got nothing")
			}
		}
	})
	checkExported(t, rig, clients)
	if asked := rig.Discovery.Calls(); asked > before || before > 3 {
		t.Errorf("five members asked discovery %d times until there was an owner, and %d times after", before,
			asked-before)
	}
	if d := rig.Discovery.OwnerCalls(); d.Accepted == 0 {
		t.Errorf("no call on discovery carried a token: %+v", d)
	}
	text := command(t, "owner", "status", "--door", rig.Members[0].Admin)
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
	rig := startOwners(t, Options{Members: 5, Relay: true}, "")
	clients := withClients(t, nonReplicas(rig, replicas(t, rig)), 4, func() {
		rounds := 6
		if underRace {
			rounds = 2
		}
		report, err := rig.FaultOwners(testContext(t), ShortLease, rounds, rounds/2)
		must(t, err)
		t.Logf("%+v", report)
		if report.Refused < report.Pauses+report.Partitions {
			t.Errorf("%d calls of late owners were refused", report.Refused)
		}
		if report.Worst > takeoverLimit {
			t.Errorf("a new owner took %v, %v at most is wanted", report.Worst, takeoverLimit)
		}
	})
	checkExported(t, rig, clients)
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
			rig := startOwners(t, Options{Members: 5, Relay: true}, "", keys)
			clients := withClients(t, nonReplicas(rig, replicas(t, rig)), 4, func() {
				report, err := rig.FaultOwners(testContext(t), 300*time.Millisecond, 25, 0)
				must(t, err)
				t.Logf("%+v", report)
				if report.Refused < report.Pauses {
					t.Errorf("%d calls of late owners were refused", report.Refused)
				}
			})
			checkExported(t, rig, clients)
		})
	}
}

// An owner whose lease ends before a call of it is held takes no fault, and the round says so.
func TestOwnerThatLostItsLeaseTakesNoFault(t *testing.T) {
	t.Parallel()
	rig := startOwners(t, Options{Members: 5}, "")
	former, err := rig.WaitOwner(testContext(t), ownerTimeout)
	must(t, err)
	must(t, rig.Pause(former.Member))
	_, err = rig.WaitOwner(testContext(t), ownerTimeout, former.Member)
	must(t, err)
	must(t, rig.Resume(former.Member))
	must(t, rig.waitStepDown(testContext(t), former))
	if err := blockCalls(testContext(t), former); !errors.Is(err, errOwnerBeforeFault) {
		t.Errorf("the fault of %s, which owns nothing: %v", former.Name, err)
	}
	if _, err := os.Stat(callFaults(former.Member)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the file of the fault: %v", err)
	}
}

// Case 3: kill -9 of the owner in the middle of an export, then of its entire hall, half of the processes, at
// once. The next owner finishes the period.
func TestOwnerKilledDuringExport(t *testing.T) {
	t.Parallel()
	// Halls a, b, a, c in turn: half of the members stand in a, and each hall has one replica.
	rig := startOwners(t, Options{Members: 8, Halls: []string{"a", "b", "a", "c"}}, "")
	var targets []*Member
	replicated := replicas(t, rig)
	for _, member := range without(rig.Members, replicated...) {
		if member.Hall != "a" {
			targets = append(targets, member)
		}
	}
	clients := withClients(t, targets, 4, func() {
		for _, hall := range []bool{false, true} {
			member, token := waitOwner(t, rig, 10*time.Second)
			// Until the owner stands in the hall that is to fall, and is none that clients talk to: on a slow
			// machine one of those may have come to hold a replica.
			for attempts := 0; hall && member.Hall != "a" || slices.Contains(targets, member); attempts++ {
				if attempts == 20 {
					t.Fatal("no member that may be killed ever owned the roles")
				}
				must(t, rig.Term(member, nil))
				must(t, rig.Spawn(testContext(t), member, Unchanged))
				member, token = waitOwner(t, rig, 10*time.Second)
			}
			waitExporting(t, rig, member)
			victims := []*Member{member}
			if hall {
				victims = inHall(rig, "a")
			}
			rig.Kill(victims...)
			started := time.Now()
			next := awaitOwnership(t, rig, 10*time.Second)
			took := next.takeoverTime(started)
			t.Logf("%s and %d more killed; %s owns the roles after %v, and %v in which this process stalled",
				member.Name, len(victims)-1, next.Name, took, next.Stalled)
			if next.Token <= token {
				t.Errorf("token %d follows %d", next.Token, token)
			}
			if took > takeoverLimit {
				t.Errorf("a new owner took %v, %v at most is wanted", took, takeoverLimit)
			}
			rig.Sink.SetFault(proxystandin.SinkFault{})
			for _, v := range rig.Members {
				if v.State() == Killed {
					must(t, rig.Spawn(testContext(t), v, Unchanged))
				}
			}
		}
	})
	checkExported(t, rig, clients)
}

// inHall returns the running members of a hall.
func inHall(rig *Rig, hall string) []*Member {
	var out []*Member
	for _, member := range rig.Members {
		if member.Hall == hall && member.State() == Up {
			out = append(out, member)
		}
	}
	return out
}

// waitExporting delays the sink's answers and waits until it has stored an entry whose owner has no answer
// yet.
func waitExporting(t *testing.T, rig *Rig, member *Member) {
	t.Helper()
	rig.Sink.SetFault(proxystandin.SinkFault{Delay: 300 * time.Millisecond})
	stored := len(rig.Sink.Entries())
	for started := time.Now(); len(rig.Sink.Entries()) == stored; time.Sleep(time.Millisecond) {
		if time.Since(started) > 10*time.Second {
			p, err := OwnerPage(member)
			t.Fatalf("%s sends nothing: %+v (%v)", member.Name, p, err)
		}
	}
}

// Case 4: the group's leader changes in the middle of a lease, twice, and the owner is killed twice in a row.
func TestOwnerSurvivesLeaderChanges(t *testing.T) {
	t.Parallel()
	rig := startOwners(t, Options{Members: 5}, "replicas = 5\nexpect = 5\n")
	clients := withClients(t, rig.Members[:1], 4, func() {
		for range 2 {
			leading := leader(t, rig)
			if leading == rig.Members[0] {
				continue // clients talk to it
			}
			rig.Kill(leading)
			_, token := waitOwner(t, rig, 10*time.Second)
			must(t, rig.Spawn(testContext(t), leading, Unchanged))
			t.Logf("the leader %s was killed, the token is %d", leading.Name, token)
		}
		last := uint64(0)
		for range 2 {
			member, token := waitOwner(t, rig, 10*time.Second)
			if token < last {
				t.Errorf("token %d after %d", token, last)
			}
			last = token
			if member == rig.Members[0] {
				must(t, rig.Pause(member)) // clients talk to it: what it has in memory must not go
				waitOwner(t, rig, 10*time.Second, member)
				must(t, rig.Resume(member))
				continue
			}
			rig.Kill(member)
			waitOwner(t, rig, 10*time.Second, member)
			must(t, rig.Spawn(testContext(t), member, Unchanged))
		}
	})
	checkExported(t, rig, clients)
}

// Case 5: every member is restarted in turn, then all are killed at once and started again. No period is
// exported twice or missed, and discovery sees no burst of calls.
func TestExportIsExactThroughRestarts(t *testing.T) {
	t.Parallel()
	rig := startOwners(t, Options{Members: 5}, "", steadyOwner)
	asked := rig.Discovery.Calls()
	clients := NewClients()
	stop := clients.Start(testContext(t), rig.Members, 4)
	defer stop()
	for _, member := range rig.Members {
		must(t, rig.Term(member, nil))
		must(t, rig.Spawn(testContext(t), member, Unchanged))
		waitOwner(t, rig, 10*time.Second)
	}
	stop()
	t.Logf("restarted in turn, discovery was asked %d times more", rig.Discovery.Calls()-asked)
	waitCommitted(t, rig, clients, 15*time.Second)
	checkExported(t, rig, clients)
	asked = rig.Discovery.Calls()
	rig.Kill(rig.Members...)
	must(t, rig.SpawnAll(testContext(t), rig.Members))
	member, _ := waitOwner(t, rig, 15*time.Second)
	more := withClients(t, rig.Members, 4, func() { time.Sleep(time.Second) })
	clients.Merge(more)
	checkExported(t, rig, clients)
	t.Logf("killed at once and started, %s owns the roles; discovery was asked %d times more", member.Name,
		rig.Discovery.Calls()-asked)
	if waves := rig.Discovery.Calls() - asked; waves > 2 {
		t.Errorf("five members that start at once asked discovery %d times", waves)
	}
}

// Bad input: a sink that answers slowly, with errors, resets and garbage. The export stalls, visibly, and
// goes on once the sink is healthy; nothing is stored twice.
func TestExportRecoversFromSinkFaults(t *testing.T) {
	t.Parallel()
	rig := startOwners(t, Options{Members: 3}, "")
	clients := withClients(t, rig.Members, 4, func() {
		for what, fault := range map[string]proxystandin.SinkFault{
			"503":          {Status: 503},
			"400":          {Status: 400},
			"too slow":     {Delay: time.Second},
			"a reset":      {Reset: true},
			"garbage":      {Garbage: true},
			"another 200":  {Status: 204},
			"a lie of 409": {Status: 409},
		} {
			refused, _ := exportState(rig)
			rig.Sink.SetFault(fault)
			waitExportState(t, rig, what, func(now int64, problem string) bool {
				return problem != "" || now > refused && fault.Status == 409
			})
			rig.Sink.SetFault(proxystandin.SinkFault{})
			waitExportState(t, rig, "well again", func(_ int64, problem string) bool { return problem == "" })
		}
	})
	checkExported(t, rig, clients)
	for what, test := range map[string]struct {
		token string
		want  int
	}{"no token": {"", 400}, "negative": {"-4", 400}, "no number": {"x", 400}, "zero": {"0", 400},
		"old": {"1", 409}} {
		for _, call := range []struct{ method, url string }{
			{"POST", "http://" + rig.Sink.Address() + "/entries"},
			{"GET", "http://" + rig.Discovery.Address() + "/registry/instances"},
		} {
			request, _ := http.NewRequest(call.method, call.url, strings.NewReader("[]"))
			request.Header.Set("X-Fencing-Token", test.token)
			response, err := http.DefaultClient.Do(request)
			must(t, err)
			response.Body.Close()
			if call.method == "GET" && test.token == "" {
				test.want = 200 // anybody may ask discovery without one
			}
			if response.StatusCode != test.want {
				t.Errorf("%s: %s answered %d, not %d", what, call.url, response.StatusCode, test.want)
			}
		}
	}
}

// exportState returns how many calls were refused for their token, over all members, and the problem that
// stalls the owner's export, if any.
func exportState(rig *Rig) (refused int64, problem string) {
	problem = "nobody owns the roles"
	for _, member := range rig.Running() {
		p, err := OwnerPage(member)
		if err != nil || len(p.Roles) == 0 {
			continue
		}
		refused += p.Stats.RejectedCalls
		if p.Owns {
			problem = p.Roles[0].Problem
		}
	}
	return refused, problem
}

// waitExportState waits until holds accepts what exportState returns.
func waitExportState(t *testing.T, rig *Rig, what string, holds func(refused int64, problem string) bool) {
	t.Helper()
	started := time.Now()
	for {
		refused, problem := exportState(rig)
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
