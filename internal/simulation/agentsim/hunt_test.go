package agentsim

import (
	"flag"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/simulation/simnet"
)

var (
	huntSeeds = flag.Int64("hunt-seeds", 6, "how many seeds TestHunt plays")
	huntFirst = flag.Int64("hunt-first", 0, "the first of them")
)

const (
	huntRounds = 6
	// maxHuntInterval is the longest time between two faults that count.
	maxHuntInterval = 3 * time.Second
)

// hunt draws faults at random: of one member of the chain at a time, as tolerated, together with any of the
// other machines.
type hunt struct {
	f       *Fleet
	random  *rand.Rand
	history History
	version int64 // of the last change that was sent
}

// TestHunt strikes a fleet at random while an operator changes the configuration: nothing that was
// acknowledged is lost or rejected, changes go on, and all agree soon after each fault.
func TestHunt(t *testing.T) {
	for seed := *huntFirst; seed < *huntFirst+*huntSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runHunt(t, seed) })
		})
	}
}

func runHunt(t *testing.T, seed int64) {
	t.Helper()
	f := New(t, Options{Disks: 3, Others: 5, Servers: 10, Seed: seed})
	h := &hunt{f: f, random: rand.New(rand.NewSource(seed))}
	operator := f.AddOperator(&h.history)
	h.change(operator, false)
	faults := []func(){h.killMember, h.partitionMember, h.restartAll, h.restartAllWithOtherSeeds, h.killOthers}
	for range huntRounds {
		stop := make(chan struct{})
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			h.changeUntil(operator, stop)
		}()
		since := f.Now()
		faults[h.random.Intn(len(faults))]()
		close(stop)
		<-stopped
		f.Await("all agree", agreeTime, f.Converged)
		time.Sleep(Bounds().CatchUp + h.randomUpTo(maxHuntInterval))
		qt.Check(t, f.Converged(), qt.Equals, "", qt.Commentf("fault at %v", since))
	}
	h.change(operator, false)
	for _, m := range f.Running() {
		version, status := operator.Get(m)
		qt.Check(t, status, qt.Equals, 200)
		qt.Check(t, version, qt.Equals, h.version)
	}
	qt.Check(t, strings.Join(h.history.Check(), "\n"), qt.Equals, "")
}

// randomUpTo draws a duration below a bound.
func (h *hunt) randomUpTo(bound time.Duration) time.Duration {
	return time.Duration(h.random.Int63n(int64(bound)))
}

// change sends the next change until it is acknowledged, in time unless a loss of all is to be expected.
func (h *hunt) change(operator *Operator, allDown bool) {
	began := h.f.Now()
	h.version++
	status := operator.PutUntil(h.f.Machines, Change{h.version - 1, h.version, 0}, 20*time.Second, 0.1)
	if took := h.f.Now() - began; status != 200 || !allDown && took > Bounds().Ack+Bounds().Ack/2 {
		h.f.TB.Errorf("at %v a change got %d after %v", began, status, took)
	}
}

func (h *hunt) changeUntil(operator *Operator, stop <-chan struct{}) {
	for {
		h.change(operator, true)
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (h *hunt) member() *Machine { return h.f.Machines[h.random.Intn(3)] }

// others returns some of the machines without a disk.
func (h *hunt) others() []*Machine {
	var some []*Machine
	for _, m := range h.f.WithDisk(false) {
		if h.random.Intn(2) == 0 {
			some = append(some, m)
		}
	}
	return some
}

// killMember ends a member in one way or another and starts it again, at times without what its disk held.
func (h *hunt) killMember() {
	m := h.member()
	switch h.random.Intn(3) {
	case 0:
		m.Kill()
	case 1:
		m.PowerOff()
	case 2:
		<-m.Terminate()
	}
	if h.random.Intn(2) == 0 {
		h.f.Logf("%s loses its disk", m.Name)
		m.Wipe()
	}
	time.Sleep(300*time.Millisecond + h.randomUpTo(10*time.Second))
	m.Start(false)
}

// partitionMember isolates a member, with some others or alone, from all or from members, in one direction or
// both.
func (h *hunt) partitionMember() {
	near := []*Machine{h.member()}
	far := otherMembers(h.f, near[0])
	if h.random.Intn(2) == 0 {
		near = append(near, h.others()...)
		far = h.f.Except(near...)
	}
	fault := simnet.Fault(1 + h.random.Intn(3))
	way := h.random.Intn(3)
	h.f.Logf("%v from %v, fault %d, way %d", IPs(near...), IPs(far...), fault, way)
	if way != 1 {
		h.f.Network.SetFault(IPs(near...), IPs(far...), fault)
	}
	if way != 0 {
		h.f.Network.SetFault(IPs(far...), IPs(near...), fault)
	}
	time.Sleep(300*time.Millisecond + h.randomUpTo(15*time.Second))
	h.f.Heal()
}

// restartAll kills all machines at once, at times with the loss of a disk, and starts them again.
func (h *hunt) restartAll() {
	time.Sleep(h.randomUpTo(time.Second))
	if h.random.Intn(2) == 0 {
		h.f.PowerOffAll(h.f.Machines)
	} else {
		h.f.KillAll(h.f.Machines)
	}
	if h.random.Intn(2) == 0 {
		m := h.member()
		h.f.Logf("%s loses its disk", m.Name)
		m.Wipe()
	}
	time.Sleep(h.randomUpTo(2 * time.Second))
	h.f.StartTogether(h.f.Machines, false)
}

// restartAllWithOtherSeeds is restartAll after the settings files have come to name other seeds.
func (h *hunt) restartAllWithOtherSeeds() {
	h.f.SetSeeds(otherSeeds(h.f)...)
	h.restartAll()
}

// killOthers kills some machines without a disk.
func (h *hunt) killOthers() {
	killed := h.others()
	h.f.PowerOffAll(killed)
	time.Sleep(300*time.Millisecond + h.randomUpTo(5*time.Second))
	h.f.StartTogether(killed, false)
}
