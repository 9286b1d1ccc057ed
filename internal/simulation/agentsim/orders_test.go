package agentsim

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/simulation/simnet"
)

// orderFaults are the faults of the lease holder that assigns stages; each lasts for some seconds.
var orderFaults = []struct {
	name   string
	strike func(f *Fleet, holder *Machine)
}{
	{"kill", func(_ *Fleet, holder *Machine) { restart(holder, false) }},
	{"wipe", func(_ *Fleet, holder *Machine) { restart(holder, true) }},
	{"terminate", func(_ *Fleet, holder *Machine) {
		<-holder.Terminate()
		holder.Start(false)
	}},
	{"isolated from members", func(f *Fleet, holder *Machine) {
		f.partitionFor(8*time.Second, holder, otherMembers(f, holder))
	}},
	{"isolated from machines", func(f *Fleet,
		holder *Machine) {
		f.partitionFor(8*time.Second, holder, f.Except(holder))
	}},
	{"short partitions", func(f *Fleet, holder *Machine) {
		for range 3 {
			f.partitionFor(1200*time.Millisecond, holder, otherMembers(f, holder))
			time.Sleep(900 * time.Millisecond)
		}
	}},
	{"all machines", func(f *Fleet, _ *Machine) {
		f.PowerOffAll(f.Machines)
		time.Sleep(downTime)
		f.StartTogether(f.Machines, false)
	}},
}

func restart(m *Machine, wipe bool) {
	m.PowerOff()
	if wipe {
		m.Wipe()
	}
	time.Sleep(downTime)
	m.Start(false)
}

// partitionFor isolates a machine from others for a while. Servers reach it all the time.
func (f *Fleet) partitionFor(duration time.Duration, m *Machine, others []*Machine) {
	f.Partition(IPs(m), IPs(others...), simnet.Blackhole)
	time.Sleep(duration)
	f.Heal()
}

// TestOneLeaseHolderAssignsStages injects faults of the lease holder, time and again, while servers need
// orders: orders to one server never come from two machines under one fencing token, never under a lower
// token after a higher one, and never from two machines within the lease.
func TestOneLeaseHolderAssignsStages(t *testing.T) {
	for _, fault := range orderFaults {
		for _, fenced := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/fenced=%t", fault.name, fenced), func(t *testing.T) {
				t.Parallel()
				options := Options{Servers: 9, Seed: 5, Stages: true, Fenced: fenced}
				inFleet(t, options, func(f *Fleet) {
					stop := f.disturbStages()
					for range 5 {
						time.Sleep(5 * time.Second)
						fault.strike(f, f.leaseHolder())
						time.Sleep(5 * time.Second)
					}
					close(stop)
					qt.Check(f.TB, strings.Join(f.checkOrders(), "\n"), qt.Equals, "")
					qt.Check(f.TB, f.orderCount() > 20, qt.IsTrue, qt.Commentf("%d orders", f.orderCount()))
				})
			})
		}
	}
}

// disturbStages has servers read again that were not ordered to write lately, until the channel closes, so
// that orders are needed all the time.
func (f *Fleet) disturbStages() chan struct{} {
	stop := make(chan struct{})
	f.background.Go(func() {
		for turn := 0; ; turn++ {
			if s := f.Servers[turn%len(f.Servers)]; !s.Ordered(orderedTime) {
				s.SetStage(prefillStage)
			}
			select {
			case <-stop:
				return
			case <-f.done:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	})
	return stop
}

// leaseHolder returns the machine that gave the last order, the first machine before there was any.
func (f *Fleet) leaseHolder() *Machine {
	holder, last := f.Machines[0], time.Duration(0)
	for _, s := range f.Servers {
		orders := s.Orders()
		if len(orders) == 0 || orders[len(orders)-1].At < last {
			continue
		}
		last = orders[len(orders)-1].At
		for _, m := range f.Machines {
			if m.IP == orders[len(orders)-1].From {
				holder = m
			}
		}
	}
	return holder
}

func (f *Fleet) orderCount() int {
	count := 0
	for _, s := range f.Servers {
		count += len(s.Orders())
	}
	return count
}

// checkOrders returns the violations of the rule that one machine at a time gives orders, a line each. The
// lease is checked over all servers, though the rule is about each.
func (f *Fleet) checkOrders() []string {
	var violations []string
	var all []Order
	for _, s := range f.Servers {
		violations = append(violations, checkFences(s)...)
		all = append(all, s.Orders()...)
	}
	slices.SortFunc(all, func(a, b Order) int { return cmp.Compare(a.At, b.At) })
	for i, order := range all[min(1, len(all)):] {
		if before := all[i]; order.From != before.From && order.At-before.At < Bounds().Lease {
			violations = append(violations, fmt.Sprintf("%+v within the lease of %+v", order, before))
		}
	}
	return violations
}

// checkFences checks the fencing tokens of the orders to one server.
func checkFences(s *Server) []string {
	var violations []string
	senders := map[uint64]string{}
	highest := uint64(0)
	for _, order := range s.Orders() {
		if order.Expect != s.ID {
			violations = append(violations,
				fmt.Sprintf("%s: %+v may reach another server at its address", s.ID, order))
		}
		if earlier, ok := senders[order.Fence]; ok && earlier != order.From {
			violations = append(violations, fmt.Sprintf("%s: %+v under a fence of %s", s.ID, order, earlier))
		}
		if order.Fence < highest {
			violations = append(violations, fmt.Sprintf("%s: %+v after fence %d", s.ID, order, highest))
		}
		senders[order.Fence] = order.From
		highest = max(highest, order.Fence)
	}
	return violations
}

// TestFencesAfterTheLossOfAllDisks starts a fleet anew, with epochs that begin at 1, between servers that
// remember higher fences: the lease holder stops or gets above them, and sends few orders in vain.
func TestFencesAfterTheLossOfAllDisks(t *testing.T) {
	inFleet(t, Options{Servers: 9, Seed: 6, Stages: true, Fenced: true}, func(f *Fleet) {
		stop := f.disturbStages()
		for range 4 {
			restart(f.leaseHolder(), false)
			time.Sleep(6 * time.Second)
		}
		f.PowerOffAll(f.Machines)
		for _, m := range f.WithDisk(true) {
			m.Wipe()
		}
		time.Sleep(downTime)
		f.StartTogether(f.Machines, true)
		operator := f.AddOperator(&History{operators: 1})
		qt.Assert(f.TB, operator.PutUntil(f.Machines, Change{0, 1, 0}, 10*time.Second, 0), qt.Equals, 200)
		began := f.Now()
		absences := f.WatchAbsences(Everywhere)
		absences.Tolerated = time.Second
		time.Sleep(30 * time.Second)
		close(stop)
		missing, total := absences.Stop()
		qt.Check(f.TB, missing, qt.Equals, "", qt.Commentf("%v in all", total))
		refused, taken := 0, 0
		for _, s := range f.Servers {
			for _, order := range s.Orders() {
				switch {
				case order.At < began:
				case order.Status == 412:
					refused++
				case order.Status == 202:
					taken++
				}
			}
		}
		f.TB.Logf("%d orders rejected, %d accepted in 30 s", refused, taken)
		qt.Check(f.TB, refused <= len(f.Servers)/2, qt.IsTrue, qt.Commentf("%d orders were refused", refused))
		qt.Check(f.TB, f.orderCount() > 0, qt.IsTrue)
	})
}

// orderedTime is how long after an order a server may be out of service: it switches its stage, and reports
// that with its next heartbeat.
const orderedTime = stageSwitch + 2*HeartbeatInterval

// TestUnsentOrdersHaveNoEffect isolates the lease holder from the other members while servers need orders.
// What it planned and could not send takes no server out of service, neither during the partition nor after
// it.
func TestUnsentOrdersHaveNoEffect(t *testing.T) {
	inFleet(t, Options{Servers: 9, Seed: 7, Stages: true, Fenced: true}, func(f *Fleet) {
		time.Sleep(10 * time.Second)
		holder := f.leaseHolder()
		absences := f.WatchAbsences(func(_ *Machine, s *Server) bool { return !s.Ordered(orderedTime) })
		absences.Tolerated = time.Second
		stop := f.disturbStages()
		f.partitionFor(25*time.Second, holder, otherMembers(f, holder))
		close(stop)
		time.Sleep(15 * time.Second)
		missing, total := absences.Stop()
		qt.Check(f.TB, missing, qt.Equals, "", qt.Commentf("%v in all", total))
	})
}
