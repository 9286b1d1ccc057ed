package routertrial

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/testbed/routerstandin"
)

// The hunt runs on demand: go test ./internal/testbed/routertrial -run TestHunt -hunt 20 -timeout 1h
var (
	huntTrials = flag.Int("hunt", 0, "trials with troubles drawn at random")
	huntSeed   = flag.Uint64("hunt-seed", 1, "seed of the first of these trials")
)

// lossInterval is how often requests that were not served are counted.
const lossInterval = 250 * time.Millisecond

// huntSteps is how many faults a trial of the hunt has.
const huntSteps = 6

// Faults drawn at random, some at the same time, break no rule.
func TestHunt(t *testing.T) {
	if *huntTrials == 0 {
		t.Skip("give the number of trials with -hunt N")
	}
	for i := range *huntTrials {
		seed := *huntSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			h := &hunt{rig: newRig(t), random: rand.New(rand.NewPCG(seed, 7))}
			h.over.Go(h.recordLosses)
			for range huntSteps {
				h.step()
			}
			r := h.rig
			r.Assert(r.AwaitReady(r.ctx), qt.IsNil)
			r.serve(60)
			r.finish()
			r.Log(strings.Join(r.Events(), "\n"))
			for _, reason := range r.load.Tally().Reasons() {
				r.Logf("%d x %s", reason.Count, reason.Text)
			}
		})
	}
}

// hunt is a trial whose faults are drawn.
type hunt struct {
	*rig
	random *rand.Rand
	lostAt time.Time // when a machine with a disk was lost last, which counts as lost for a while
}

// recordLosses records when requests are not served, so that the fault that cost them is seen.
func (h *hunt) recordLosses() {
	before := routerstandin.KindTally{}
	for routerstandin.Sleep(h.ctx, lossInterval) {
		now := h.load.Tally().Total()
		refused, failed, late := now.Rejected-before.Rejected, now.Failed-before.Failed, now.Late-before.Late
		if refused+failed+late > 0 {
			h.logEvent("    refused %d, failed %d, late %d", refused, failed, late)
		}
		before = now
		select {
		case <-h.sending:
			return
		default:
		}
	}
}

// step injects a fault of machines and waits for its end, and at the same time for some of the steps a fault
// of servers and a change of the configuration.
func (h *hunt) step() {
	changed, faulted := make(chan error, 1), make(chan error, 1)
	sometimes := func(result chan error, play func() error) {
		if h.random.IntN(2) == 0 {
			result <- nil
			return
		}
		go func() { result <- play() }()
	}
	next := nextConfiguration(h.Operator.Current())
	sometimes(changed, func() error { return h.Operator.Change(h.ctx, next) })
	serverFaults := []func(context.Context) error{h.crashServers, h.drainServers}
	serverFault := serverFaults[h.random.IntN(len(serverFaults))]
	sometimes(faulted, func() error { return serverFault(h.ctx) })
	routerstandin.Sleep(h.ctx, time.Duration(h.random.IntN(30))*time.Millisecond)
	h.injectMachineFault(changed)
	h.Assert(<-changed, qt.IsNil)
	h.Assert(<-faulted, qt.IsNil)
}

func (h *hunt) injectMachineFault(changed chan error) {
	switch h.random.IntN(8) {
	case 0:
	case 1:
		h.killMember(false)
	case 2:
		h.killMember(true)
	case 3:
		h.killFollowers()
	case 4:
		h.terminate()
	case 5:
		h.Assert(h.killAll(h.ctx), qt.IsNil)
		h.lostAt = time.Now()
	case 6:
		h.awaitTolerance()
		h.Assert(h.freezeMachines(h.ctx, h.draw(true), h.draw(false)), qt.IsNil)
		h.lostAt = time.Now()
	case 7:
		h.killAllAfterAck(<-changed)
		changed <- nil
	}
}

// draw returns one of the machines with a disk, or of those without.
func (h *hunt) draw(disk bool) *Machine {
	machines := h.WithDisk(disk)
	return machines[h.random.IntN(len(machines))]
}

// awaitTolerance waits until another machine with a disk may be lost.
func (h *hunt) awaitTolerance() { routerstandin.Sleep(h.ctx, catchUp-time.Since(h.lostAt)) }

func (h *hunt) killMember(wipe bool) {
	h.awaitTolerance()
	h.Assert(h.killMachine(h.ctx, h.draw(true), wipe), qt.IsNil)
	h.lostAt = time.Now()
}

func (h *hunt) terminate() {
	m := h.draw(h.random.IntN(2) == 0)
	if m.HasDisk {
		h.awaitTolerance()
	}
	h.logEvent("%s gets SIGTERM", m.Name)
	m.Terminate(h.ctx)
	h.Assert(h.restartMachine(h.ctx, m), qt.IsNil)
	if m.HasDisk {
		h.lostAt = time.Now()
	}
}

// killFollowers kills all machines without a disk at once.
func (h *hunt) killFollowers() {
	for _, m := range h.WithDisk(false) {
		h.logEvent("%s is killed", m.Name)
		m.Kill()
	}
	for _, m := range h.WithDisk(false) {
		h.Assert(h.restartMachine(h.ctx, m), qt.IsNil)
	}
}

// killAllAfterAck kills all processes right after an acknowledgement, and empties one disk besides.
func (h *hunt) killAllAfterAck(err error) {
	h.Assert(err, qt.IsNil)
	h.awaitTolerance()
	next := nextConfiguration(h.Operator.Current())
	h.Assert(h.Operator.Change(h.ctx, next), qt.IsNil)
	lost := h.draw(true)
	h.logEvent("%s loses its disk right after version %d, and all are killed", lost.Name, next.Version)
	for _, m := range h.Machines {
		m.Kill()
	}
	h.Assert(lost.Wipe(), qt.IsNil)
	h.Assert(h.StartMachines(h.ctx, false), qt.IsNil)
	h.Observations.RecordAllRestarted()
	h.Assert(h.AwaitMachines(h.ctx), qt.IsNil)
	h.lostAt = time.Now()
	second := routerstandin.NewOperator(h.controls, h.Observations)
	h.Assert(second.ReadBack(h.ctx), qt.IsNil)
}
