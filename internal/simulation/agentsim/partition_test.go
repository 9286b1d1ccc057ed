package agentsim

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/simulation/simnet"
)

const (
	partitionTime = 20 * time.Second
	// agreeTime is the time from the end of a fault within which all machines agree again.
	agreeTime = 5 * time.Second
	// changeInterval is between two changes of the operator on the side of the majority.
	changeInterval = 400 * time.Millisecond
)

// partitionCase is a way to isolate a machine that is a member of the chain.
type partitionCase struct {
	name  string
	fault simnet.Fault
	out   bool // what the machine sends is lost
	in    bool // what others send to it is lost
	// far are the machines that it is isolated from.
	far func(f *Fleet, member *Machine) []*Machine
	// withOthers isolates followers, an operator and servers together with the machine.
	withOthers bool
}

// otherMembers returns the machines with a disk but for one.
func otherMembers(f *Fleet, member *Machine) []*Machine {
	return slices.DeleteFunc(slices.Clone(f.WithDisk(true)), func(m *Machine) bool { return m == member })
}

func otherMachines(f *Fleet, member *Machine) []*Machine { return f.Except(member) }

var partitionCases = []partitionCase{
	{name: "from members", out: true, in: true, fault: simnet.Blackhole, far: otherMembers},
	{name: "from machines", out: true, in: true, fault: simnet.Blackhole, far: otherMachines},
	{name: "refused", out: true, in: true, fault: simnet.Refuse, far: otherMachines},
	{name: "reset", out: true, in: true, fault: simnet.Reset, far: otherMachines},
	{name: "outward", out: true, fault: simnet.Blackhole, far: otherMachines},
	{name: "inward", in: true, fault: simnet.Blackhole, far: otherMachines},
	{name: "outward to members", out: true, fault: simnet.Blackhole, far: otherMembers},
	{name: "inward from members", in: true, fault: simnet.Blackhole, far: otherMembers},
	{name: "with others", out: true, in: true, fault: simnet.Blackhole, far: otherMachines, withOthers: true},
}

// TestMemberPartitioned isolates each member of the chain in turn, its head and its tail among them: changes
// go on, no serving server is lost, and the history is linearizable.
func TestMemberPartitioned(t *testing.T) {
	for _, test := range partitionCases {
		for member := range 3 {
			t.Run(fmt.Sprintf("%s/%d", test.name, member), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { test.run(t, member) })
			})
		}
	}
}

// partitionTrial is a partition under way.
type partitionTrial struct {
	f        *Fleet
	isolated *Machine
	near     []*Machine // the isolated machine, and those with it
	// nearServers are isolated with them.
	nearServers []string
	far         []*Machine // all others
	history     History
	farSide     *Operator
	nearSide    *Operator
	calls       sync.WaitGroup
	current     Change // the newest that was sent
}

func (test *partitionCase) run(t *testing.T, number int) {
	t.Helper()
	f := New(t, Options{Disks: 3, Others: 7, Servers: 12, Seed: int64(number)})
	trial := &partitionTrial{f: f, isolated: f.Machines[number]}
	trial.near = []*Machine{trial.isolated}
	trial.farSide, trial.nearSide = f.AddOperator(&trial.history), f.AddOperator(&trial.history)
	trial.current = Change{0, 1, 0}
	qt.Assert(t, trial.farSide.PutUntil(f.Machines, trial.current, 4*time.Second, 0), qt.Equals, 200)
	time.Sleep(time.Second)
	test.begin(trial)
	since := f.Now()
	absences := f.WatchAbsences(Everywhere)
	farAbsences := f.WatchAbsences(trial.bothFar)
	for count := 0; f.Now()-since < partitionTime; count++ {
		trial.step(since)
		if count%5 == 4 && count/5 < len(f.Servers)/3 {
			trial.drain(f.Servers[1+3*(count/5)])
		}
	}
	trial.calls.Wait()
	if test.withOthers { // servers that are reachable again first have to report
		trial.checkAbsences(absences)
	}
	f.Heal()
	f.Await("all agree after the partition", agreeTime, f.Converged)
	if test.withOthers {
		absences = f.WatchAbsences(Everywhere)
	}
	for _, m := range f.Machines {
		version, status := trial.farSide.Get(m)
		qt.Check(t, status, qt.Equals, 200)
		qt.Check(t, version, qt.Equals, trial.current.Version)
	}
	time.Sleep(10 * time.Second)
	f.CheckNoneLost(since)
	trial.checkAbsences(absences)
	trial.checkAbsences(farAbsences)
	qt.Check(t, f.Converged(), qt.Equals, "")
	qt.Check(t, strings.Join(trial.history.Check(), "\n"), qt.Equals, "")
}

// begin begins the partition.
func (test *partitionCase) begin(trial *partitionTrial) {
	f := trial.f
	near, far := IPs(trial.isolated), IPs(test.far(f, trial.isolated)...)
	if test.withOthers {
		trial.near = append(trial.near, f.WithDisk(false)[:2]...)
		near = append(IPs(trial.near...), trial.nearSide.IP)
		far = append(IPs(f.Except(trial.near...)...), trial.farSide.IP)
		for i, s := range f.Servers {
			if i%4 == 0 {
				near = append(near, s.IP)
				trial.nearServers = append(trial.nearServers, s.ID)
			} else {
				far = append(far, s.IP)
			}
		}
	}
	trial.far = f.Except(trial.near...)
	f.Logf("partition %v, %v from %v", test.name, near, far)
	if test.out {
		f.Network.SetFault(near, far, test.fault)
	}
	if test.in {
		f.Network.SetFault(far, near, test.fault)
	}
}

// step makes a change on the side of the majority while the operator on the other side sends the same change
// and the one before, and reads; now and then a server drains.
func (trial *partitionTrial) step(since time.Duration) {
	f := trial.f
	earlier := trial.current
	next := Change{earlier.Version, earlier.Version + 1, 0}
	trial.calls.Go(func() {
		near := trial.nearSide.shuffled(trial.near)[0]
		trial.nearSide.Get(near)
		trial.nearSide.Put(near, earlier)
		trial.nearSide.Put(near, next)
		trial.nearSide.Get(near)
	})
	began := f.Now()
	status := trial.farSide.PutUntil(trial.far, next, 2*Bounds().Ack, 0)
	if took := f.Now() - began; status != 200 || took > Bounds().Ack {
		f.TB.Errorf("%v after the partition began, a change got %d after %v", began-since, status, took)
	}
	trial.current = next
	trial.farSide.Get(trial.farSide.shuffled(trial.far)[0])
	time.Sleep(changeInterval)
}

// drain has a server drain that reaches the far side: once that is acknowledged, all machines there stop
// sending to it in time.
func (trial *partitionTrial) drain(s *Server) {
	f := trial.f
	if !f.Network.Reaches(s.IP, trial.far[0].IP) {
		return
	}
	if !s.Drain(trial.farSide.shuffled(trial.far)[0].Control()) {
		f.TB.Errorf("at %v the drain of %s was not acknowledged", f.Now(), s.ID)
	}
	f.Await("all on the far side know of the drain of "+s.ID, Bounds().Drain, func() string {
		for _, m := range trial.far {
			if m.Node().Servers().ByID(s.ID) != nil {
				return m.Name + " does not"
			}
		}
		return ""
	})
}

// checkAbsences ends a watch and checks that it observed no absence.
func (trial *partitionTrial) checkAbsences(absences *Absences) {
	missing, total := absences.Stop()
	qt.Check(trial.f.TB, missing, qt.Equals, "", qt.Commentf("%v in all", total))
}

// bothFar reports whether neither a machine nor a server is isolated.
func (trial *partitionTrial) bothFar(m *Machine, s *Server) bool {
	return !slices.Contains(trial.near, m) && !slices.Contains(trial.nearServers, s.ID)
}
