package agent

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/fleetconfig"
)

// slowLog is a log writer that blocks for a millisecond, so that other goroutines run meanwhile.
type slowLog struct{}

func (slowLog) Write(line []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return len(line), nil
}

// TestProbesDoNotRaceWithTheDetector guards against a data race on observingSince: a probe reads it on a
// goroutine of its own while the detector logs a stall and restarts its timeouts. Only the race detector
// finds the fault.
func TestProbesDoNotRaceWithTheDetector(t *testing.T) {
	agent := newTestAgent(t)
	agent.log = zerolog.New(slowLog{})
	agent.state.merge(agent.now(), []directory.Record{{Kind: directory.KindServer, ID: "a", Sequence: 1,
		State: directory.Ready, Service: "s", Watcher: "gone"}})
	var record *directory.Record
	agent.state.read(func(d *directory.Directory) { record = d.Get("a") })
	done := make(chan struct{})
	var probes sync.WaitGroup
	probes.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				agent.failures.markUnwatchedLost(record, "test")
			}
		}
	})
	for range 20 {
		agent.clock.InjectStall(time.Now(), 2*minLoggedStall)
		agent.recordStall(2 * minLoggedStall)
		agent.failures.markTimedOut(agent.now(), true)
		agent.failures.check()
	}
	close(done)
	probes.Wait()
}

// TestOrdersExpireAfterTheRoleSwitchTime: an order expires once it has been in force for longer than its
// server needs to change its role, which is a setting of the service (RoleSwitchTime).
func TestOrdersExpireAfterTheRoleSwitchTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		runClock(t, agent)
		services := map[string]*fleetconfig.Service{
			"quick": {Engine: &fleetconfig.Engine{RoleSwitchTime: time.Second}},
			"slow":  {Engine: &fleetconfig.Engine{RoleSwitchTime: 30 * time.Second}},
		}
		agent.state.applyConfig(&fleetconfig.Config{Version: 1, Services: services})
		for _, service := range []string{"quick", "slow", "unknown"} {
			agent.state.merge(agent.now(), []directory.Record{{Kind: directory.KindOrder,
				ID: directory.OrderID(service), Sequence: 1, State: directory.Ready, Service: service}})
		}
		inForce := func() (servers []string) {
			agent.failures.markTimedOut(agent.now(), false)
			agent.state.read(func(d *directory.Directory) {
				for _, order := range d.Orders() {
					servers = append(servers, directory.OrderTarget(order.ID))
				}
			})
			return servers
		}
		time.Sleep(minOrderLifetime)
		c.Check(inForce(), qt.DeepEquals, []string{"quick", "slow", "unknown"})
		time.Sleep(time.Second)
		c.Check(inForce(), qt.DeepEquals, []string{"slow"})
		time.Sleep(roleSwitchDrainTimeout + 30*time.Second)
		c.Check(inForce(), qt.HasLen, 0)
	})
}

// TestServersGetTimeToFailOverAfterAStall: a server whose heartbeats this process did not acknowledge during
// a stall fails over to other proxies, which may stall too. It must not be marked lost before it has had the
// time to find one.
func TestServersGetTimeToFailOverAfterAStall(t *testing.T) {
	const serverTimeout = 1900 * time.Millisecond // maxMissedHeartbeats at an interval of one second
	for _, test := range []struct {
		name   string
		stall  time.Duration
		lostAt time.Duration // after the last heartbeat
	}{
		{"no stall", 0, serverTimeout},
		{"a stall too short for servers to fail over", minFailoverStall - time.Millisecond,
			serverTimeout + minFailoverStall - time.Millisecond},
		{"long", minFailoverStall, unwatchedHeartbeats*time.Second + minFailoverStall},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			agent := newTestAgent(t)
			runClock(t, agent)
			agent.settings.HeartbeatInterval = time.Second
			agent.state.merge(agent.now(), []directory.Record{{Kind: directory.KindServer, ID: "a", Sequence: 1,
				State: directory.Ready, Service: "s", Watcher: agent.id}})
			agent.lastSeen.record("a", agent.now())
			isLost := func() (lost bool) {
				agent.failures.markTimedOut(agent.now(), false)
				agent.state.read(func(d *directory.Directory) { lost = d.Get("a").State == directory.Lost })
				return lost
			}
			time.Sleep(test.stall)
			agent.clock.InjectStall(time.Now(), test.stall)
			time.Sleep(test.lostAt - test.stall - time.Millisecond)
			c.Check(isLost(), qt.IsFalse, qt.Commentf("%s", test.name))
			time.Sleep(time.Millisecond)
			c.Check(isLost(), qt.IsTrue, qt.Commentf("%s", test.name))
		})
	}
}
