package agentsim

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/simulation/simnet"
)

// inFleet runs a test with a fleet of ten machines, three with a disk, that has a configuration.
func inFleet(t *testing.T, options Options, test func(f *Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		options.Disks, options.Others = 3, 7
		f := New(t, options)
		operator := f.AddOperator(&History{})
		qt.Assert(t, operator.PutUntil(f.Machines, Change{0, 1, 0}, 4*time.Second, 0), qt.Equals, 200)
		f.Await("all know the configuration", 2*time.Second, f.Converged)
		test(f)
	})
}

// nobodyKnows returns "" where no machine sends requests to a server.
func (f *Fleet) nobodyKnows(s *Server) string {
	for _, m := range f.Running() {
		if m.Node().Servers().ByID(s.ID) != nil {
			return m.Name + " knows " + s.ID
		}
	}
	return ""
}

// TestLateHeartbeats: nothing brings a server back that has said that it leaves, at whichever machine a late
// heartbeat arrives; one that was only late does not change anything.
func TestLateHeartbeats(t *testing.T) {
	inFleet(t, Options{Servers: 8, Seed: 1}, func(f *Fleet) {
		drained, deleted, both, stays := f.Servers[0], f.Servers[1], f.Servers[2], f.Servers[3]
		leaving := []*Server{drained, deleted, both}
		late := map[*Server]DelayedHeartbeat{stays: stays.DelayHeartbeat()}
		for _, s := range leaving {
			late[s] = s.DelayHeartbeat()
		}
		qt.Check(f.TB, drained.Drain(), qt.IsTrue)
		qt.Check(f.TB, deleted.Delete(), qt.IsTrue)
		qt.Check(f.TB, both.Drain(), qt.IsTrue)
		time.Sleep(Bounds().Drain)
		qt.Check(f.TB, both.Delete(), qt.IsTrue)
		for _, s := range leaving {
			f.Await("nobody sends to "+s.ID, Bounds().Drain, func() string { return f.nobodyKnows(s) })
		}
		for _, m := range f.Machines {
			for _, s := range leaving {
				s.Deliver(late[s], m)
				qt.Check(f.TB, f.nobodyKnows(s), qt.Equals, "")
			}
			stays.Deliver(late[stays], m)
			time.Sleep(200 * time.Millisecond)
			qt.Check(f.TB, f.Converged(), qt.Equals, "")
		}
		time.Sleep(5 * time.Second)
		qt.Check(f.TB, f.Converged(), qt.Equals, "")
	})
}

// TestAlternatingHeartbeats: a server whose heartbeats each go to another machine is never lost.
func TestAlternatingHeartbeats(t *testing.T) {
	inFleet(t, Options{Servers: 8, Seed: 2}, func(f *Fleet) {
		for _, s := range f.Servers[:3] {
			s.Alternate = true
		}
		since := f.Now()
		absences := f.WatchAbsences(Everywhere)
		time.Sleep(30 * time.Second)
		f.CheckNoneLost(since)
		missing, _ := absences.Stop()
		qt.Check(f.TB, missing, qt.Equals, "")
	})
}

// watcherTrouble is what befalls a machine that servers report to.
var watcherFaults = []struct {
	name   string
	strike func(f *Fleet, m *Machine)
	// tolerated is how long a server may be unknown: it notices that its machine is unresponsive a second after
	// its next heartbeat, and counts as lost after 1.9 heartbeats.
	tolerated time.Duration
}{
	{name: "killed", strike: func(_ *Fleet, m *Machine) { m.Kill() }},
	{name: "without power", strike: func(_ *Fleet, m *Machine) { m.PowerOff() }},
	{name: "terminated", strike: func(_ *Fleet, m *Machine) { m.Terminate() }},
	{name: "cut off", strike: func(f *Fleet, m *Machine) {
		f.Partition(IPs(m), append(IPs(f.Except(m)...), f.serverIPs()...), simnet.Blackhole)
	}},
	{name: "cut off from machines", strike: func(f *Fleet, m *Machine) {
		f.Partition(IPs(m), IPs(f.Except(m)...), simnet.Blackhole)
	}},
	{name: "cut off from servers", strike: func(f *Fleet, m *Machine) {
		f.Partition(IPs(m), f.serverIPs(), simnet.Blackhole)
	}, tolerated: 350 * time.Millisecond},
}

// TestServersStayKnownWhenTheirWatcherFails: the servers that reported to a failed machine are known
// without a gap by all others, as they report elsewhere.
func TestServersStayKnownWhenTheirWatcherFails(t *testing.T) {
	for _, fault := range watcherFaults {
		for _, disk := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/disk=%t", fault.name, disk), func(t *testing.T) {
				t.Parallel()
				inFleet(t, Options{Servers: 20, Seed: 3}, func(f *Fleet) {
					struck := busiest(f, disk)
					since := f.Now()
					elsewhere := f.WatchAbsences(func(m *Machine, _ *Server) bool { return m != struck })
					elsewhere.Tolerated = fault.tolerated
					fault.strike(f, struck)
					time.Sleep(20 * time.Second)
					f.Heal()
					if struck.Runs() {
						f.Await("all agree", agreeTime, f.Converged)
					}
					time.Sleep(5 * time.Second)
					missing, total := elsewhere.Stop()
					qt.Check(f.TB, missing, qt.Equals, "", qt.Commentf("%v in all", total))
					f.CheckNoneLost(since)
				})
			})
		}
	}
}

// busiest returns the machine with or without a disk that most servers report to.
func busiest(f *Fleet, disk bool) *Machine {
	reports := map[string]int{}
	for _, s := range f.Servers {
		reports[s.AckedBy()]++
	}
	var most *Machine
	for _, m := range f.WithDisk(disk) {
		if most == nil || reports[m.Control()] > reports[most.Control()] {
			most = m
		}
	}
	return most
}

// TestThirdOfTheFleetPartitioned isolates a hub together with the machines that follow it, with their servers
// or without: no other machine loses a serving server, also after the partition.
func TestThirdOfTheFleetPartitioned(t *testing.T) {
	for hub := range 3 {
		for _, withServers := range []bool{false, true} {
			t.Run(fmt.Sprintf("hub %d, servers=%t", hub, withServers), func(t *testing.T) {
				t.Parallel()
				inFleet(t, Options{Servers: 30, Seed: int64(hub)}, func(f *Fleet) {
					runThirdCutOff(f, hub, withServers)
				})
			})
		}
	}
}

func runThirdCutOff(f *Fleet, hub int, withServers bool) {
	near := append([]*Machine{f.Machines[hub]}, f.followersOf(f.Machines[hub])...)
	far := f.Except(near...)
	nearIPs, nearServers := IPs(near...), map[*Server]bool{}
	farIPs := IPs(far...)
	for i, s := range f.Servers {
		if nearServers[s] = withServers && i%3 == 0; nearServers[s] {
			nearIPs = append(nearIPs, s.IP)
		} else if withServers {
			farIPs = append(farIPs, s.IP)
		}
	}
	nearMachines := strings.Join(IPs(near...), " ")
	isNear := func(m *Machine) bool { return strings.Contains(nearMachines+" ", m.IP+" ") }
	since := f.Now()
	absences := f.WatchAbsences(func(m *Machine, s *Server) bool { return !isNear(m) && !nearServers[s] })
	f.Partition(nearIPs, farIPs, simnet.Blackhole)
	time.Sleep(20 * time.Second)
	f.Heal()
	f.Await("all agree", agreeTime, f.Converged)
	time.Sleep(5 * time.Second)
	missing, total := absences.Stop()
	qt.Check(f.TB, missing, qt.Equals, "", qt.Commentf("%v in all", total))
	f.CheckNoneLost(since)
}

// followersOf returns the machines that follow a hub's feed.
func (f *Fleet) followersOf(hub *Machine) []*Machine {
	var followers []*Machine
	for _, m := range f.WithDisk(false) {
		if m.Node().FollowedHub() == hub.IP {
			followers = append(followers, m)
		}
	}
	return followers
}

// TestDrainsThroughAnIsolatedMachine has servers call a machine first that is isolated from the others when
// they come, drain or end: others acknowledge that, and all in touch know in time.
func TestDrainsThroughAnIsolatedMachine(t *testing.T) {
	for member := range 3 {
		t.Run(fmt.Sprint(member), func(t *testing.T) {
			t.Parallel()
			inFleet(t, Options{Servers: 12, Seed: int64(member)}, func(f *Fleet) {
				runDepartures(f, f.Machines[member])
			})
		})
	}
}

func runDepartures(f *Fleet, isolated *Machine) {
	for _, s := range f.Servers {
		s.ReportTo(isolated)
	}
	time.Sleep(2 * HeartbeatInterval)
	qt.Assert(f.TB, f.Converged(), qt.Equals, "")
	f.Partition(IPs(isolated), IPs(f.Except(isolated)...), simnet.Blackhole)
	inTouch := f.Except(isolated)
	awaitUnknown := func(s *Server) {
		f.Await("all in touch keep off "+s.ID, Bounds().Drain, func() string {
			for _, m := range inTouch {
				if m.Node().Servers().ByID(s.ID) != nil {
					return m.Name + " does not"
				}
			}
			return ""
		})
	}
	for i, pause := range []time.Duration{0, time.Second, 3 * time.Second, 6 * time.Second} {
		time.Sleep(pause)
		drained, deleted := f.Servers[2*i], f.Servers[2*i+1]
		qt.Check(f.TB, drained.Drain(isolated.Control()), qt.IsTrue)
		awaitUnknown(drained)
		qt.Check(f.TB, deleted.Delete(isolated.Control()), qt.IsTrue)
		awaitUnknown(deleted)
	}
	come := f.AddServer("server-new", isolated.Control())
	f.Await("all in touch know a server that came", 6*time.Second, func() string {
		for _, m := range inTouch {
			if m.Node().Servers().ByID(come.ID) == nil {
				return m.Name + " does not"
			}
		}
		return ""
	})
	f.Heal()
	f.Await("all agree", agreeTime, f.Converged)
}
