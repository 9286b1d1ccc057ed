package routertrial

import (
	"context"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlclient"
	"cresshub/internal/testbed/routerstandin"
)

// The whole path: the processes find each other and the servers, a configuration is adopted, and clients of
// all kinds are served; prompts are read by one server and their answers made by another.
func TestWholePathServes(t *testing.T) {
	r := newRig(t)
	r.serve(100)
	total := r.finish()
	r.Assert(total.Served(), qt.Equals, total.Asked)
	reads, runs := 0, 0
	for _, server := range r.ServerTallies() {
		reads += server.Prefills
		runs += server.Runs
	}
	r.Assert(reads > 0, qt.IsTrue)
	r.Assert(runs, qt.Equals, total.Asked)
}

func skipIfShort(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("only the smallest trial is played with -short")
	}
}

// A change is in force at every proxy within the bound; one that is refused never is.
func TestChangeIsInForceEverywhere(t *testing.T) {
	skipIfShort(t)
	r := newRig(t)
	r.calm()
	r.Assert(r.Probe(r.ctx, removedKind), qt.DeepEquals, map[int]int{200: 6})
	r.Assert(r.Probe(r.ctx, addedKind), qt.DeepEquals, map[int]int{404: 6})
	r.Assert(r.ChangeConfig(r.ctx), qt.IsNil)
	r.Assert(r.Probe(r.ctx, removedKind), qt.DeepEquals, map[int]int{404: 6})
	r.Assert(r.Probe(r.ctx, addedKind), qt.DeepEquals, map[int]int{200: 6})
	r.Assert(r.put("1", `{"edition":9,"routes":[],"depots_list":[]}`), qt.Equals, 412)
	r.Assert(r.put("3", `{"edition":9,"routes":[{"town":"h","street_prefix":"/","timeout_ms":1,"depot":"none"}],
		"depots_list":[]}`), qt.Equals, 400)
	r.Assert(r.put("3", `{"edition":9`), qt.Equals, 400)
	r.finish()
}

// put sends a configuration to the last machine as it is and returns the status.
func (r *rig) put(ifMatch, document string) int {
	ctx, cancel := context.WithTimeout(r.ctx, 5*time.Second)
	defer cancel()
	answer, err := controlclient.Do(ctx, r.Machines[len(r.Machines)-1].Control, controlclient.Call{Method: "PUT",
		Target: "/api/config", Header: http1.Header{{Name: "If-Match", Value: ifMatch}}, Body: []byte(document)})
	r.Assert(err, qt.IsNil)
	return answer.Status
}

// Of two operators that build on the same version one wins.
func TestOneOfTwoOperatorsWins(t *testing.T) {
	skipIfShort(t)
	r := newRig(t)
	one, other := nextConfiguration(firstConfiguration()), nextConfiguration(firstConfiguration())
	other.Version++
	other.Routes[0].TimeoutMs += 500
	second := routerstandin.NewOperator(r.controls, r.Observations)
	second.BuildOn(firstConfiguration())
	r.serve(20)
	results := make(chan error, 2)
	go func() { results <- r.Operator.Put(r.ctx, one) }()
	go func() { results <- second.Patch(r.ctx, other) }()
	var rejected *routerstandin.RejectedError
	first, last := <-results, <-results
	r.Assert((first == nil) != (last == nil), qt.IsTrue, qt.Commentf("%v and %v", first, last))
	if first == nil {
		first = last
	}
	r.Assert(first, qt.ErrorAs, &rejected)
	r.Assert(rejected.Status, qt.Equals, 412)
	r.finish()
}

// A machine that keeps the configuration is killed: the configuration can still be changed, the machine comes
// back with the newest one, and the rules are kept throughout.
func TestKilledMachineComesBack(t *testing.T) {
	skipIfShort(t)
	r := newRig(t)
	killed := r.WithDisk(true)[0] // the founder, and the head of the chain at first
	killed.Kill()
	r.Assert(r.Operator.Change(r.ctx, nextConfiguration(r.Operator.Current())), qt.IsNil)
	r.serve(60)
	r.Assert(r.restartMachine(r.ctx, killed), qt.IsNil)
	r.Assert(r.AwaitServers(r.ctx), qt.IsNil)
	r.calm()
	r.Assert(r.Probe(r.ctx, addedKind), qt.DeepEquals, map[int]int{200: 6})
	r.serve(30)
	r.finish()
}

// A machine that lost its disk takes part again: once it has caught up, another may be lost.
func TestWipedMachineComesBack(t *testing.T) {
	skipIfShort(t)
	r := newRig(t)
	wiped, next := r.WithDisk(true)[1], r.WithDisk(true)[2]
	r.Assert(r.killMachine(r.ctx, wiped, true), qt.IsNil)
	r.Assert(routerstandin.Sleep(r.ctx, catchUp), qt.IsTrue)
	next.Kill()
	r.Assert(next.Wipe(), qt.IsNil)
	r.Assert(r.Operator.Change(r.ctx, nextConfiguration(r.Operator.Current())), qt.IsNil)
	r.Assert(r.restartMachine(r.ctx, next), qt.IsNil)
	r.serve(30)
	r.finish()
}

// A process that gets SIGTERM answers what it has read, whether its machine has a disk or not.
func TestTerminatedProxyLosesNothing(t *testing.T) {
	skipIfShort(t)
	r := newRig(t)
	r.calm()
	for _, machine := range []*Machine{r.WithDisk(false)[1], r.WithDisk(true)[2]} {
		machine.Terminate(r.ctx)
		r.Assert(r.restartMachine(r.ctx, machine), qt.IsNil)
	}
	total := r.finish()
	r.Assert(total.Failed, qt.Equals, 0)
	r.Assert(total.Rejected, qt.Equals, 0)
}

// A process that gets SIGHUP, with other settings or the same, answers what it reads.
func TestReloadLosesNothing(t *testing.T) {
	skipIfShort(t)
	r := newRig(t)
	r.calm()
	for i, machine := range r.Machines {
		if i%2 == 0 {
			r.seedMachines = r.WithDisk(i%4 == 0)
			r.Assert(machine.writeSettings(false), qt.IsNil)
		}
		machine.Reload()
		r.serve(10)
	}
	total := r.finish()
	r.Assert(total.Failed, qt.Equals, 0)
	r.Assert(total.Rejected, qt.Equals, 0)
}

// Nothing reaches a server that leaves once the bound has passed, and nothing is lost by its departure.
func TestDrainingServersGetNoMoreRequests(t *testing.T) {
	skipIfShort(t)
	r := newRig(t)
	r.calm()
	r.Assert(r.drainServers(r.ctx), qt.IsNil)
	r.Assert(r.AwaitServers(r.ctx), qt.IsNil)
	total := r.finish()
	r.Assert(total.Served(), qt.Equals, total.Asked)
}

// After the loss of all processes the fleet serves again, by the configuration that was acknowledged.
func TestAllKilledComeBack(t *testing.T) {
	skipIfShort(t)
	r := newRig(t)
	r.Assert(r.Operator.Change(r.ctx, nextConfiguration(r.Operator.Current())), qt.IsNil)
	r.Assert(r.killAll(r.ctx), qt.IsNil)
	r.serve(60)
	r.calm()
	statuses := r.Probe(r.ctx, addedKind)
	r.Assert(maps.Equal(statuses, map[int]int{200: 6}), qt.IsTrue, qt.Commentf("%v", statuses))
	r.finish()
}

// The same where the settings files have come to name machines without a disk only: these find the view, the
// configuration and each other, and no server that reports to them is lost.
func TestAllKilledComeBackToOtherSeeds(t *testing.T) {
	skipIfShort(t)
	r := newRig(t)
	r.Assert(r.Operator.Change(r.ctx, nextConfiguration(r.Operator.Current())), qt.IsNil)
	r.Assert(r.InjectFault(r.ctx, FaultTurnover), qt.IsNil)
	r.Assert(r.AwaitServers(r.ctx), qt.IsNil)
	r.serve(200) // longer than it takes until a server without a watcher is held to be lost
	r.Assert(r.AwaitServers(r.ctx), qt.IsNil)
	r.calm()
	statuses := r.Probe(r.ctx, addedKind)
	r.Assert(maps.Equal(statuses, map[int]int{200: 6}), qt.IsTrue, qt.Commentf("%v", statuses))
	r.finish()
}

// Servers that die are replaced by others at their addresses, and what must run once runs once.
func TestCrashedServersAreReplaced(t *testing.T) {
	skipIfShort(t)
	r := newRig(t)
	r.Assert(r.crashServers(r.ctx), qt.IsNil)
	r.Assert(r.AwaitServers(r.ctx), qt.IsNil)
	r.serve(60)
	r.finish()
}
