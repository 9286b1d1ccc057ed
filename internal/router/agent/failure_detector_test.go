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

// slowLog is a log whose writes take so long that other goroutines run meanwhile.
type slowLog struct{}

func (slowLog) Write(line []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return len(line), nil
}

// TestProbesEndWhileTheDetectorFindsAStall has probes end, each on a goroutine of its own, while the
// detector finds and logs stalls, and begins its timeouts anew. The race detector is the check: both use the
// time since when this process takes calls.
func TestProbesEndWhileTheDetectorFindsAStall(t *testing.T) {
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

// TestOrdersExpireAfterTheSwitch: an order is given up once it has been under way for longer than its server
// needs, by the service's own time for a change of role.
func TestOrdersExpireAfterTheSwitch(t *testing.T) {
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
		underWay := func() (servers []string) {
			agent.failures.markTimedOut(agent.now(), false)
			agent.state.read(func(d *directory.Directory) {
				for _, order := range d.Orders() {
					servers = append(servers, directory.OrderTarget(order.ID))
				}
			})
			return servers
		}
		time.Sleep(minOrderExpiry)
		c.Check(underWay(), qt.DeepEquals, []string{"quick", "slow", "unknown"})
		time.Sleep(time.Second)
		c.Check(underWay(), qt.DeepEquals, []string{"slow"})
		time.Sleep(beforeSwitch + 30*time.Second)
		c.Check(underWay(), qt.HasLen, 0)
	})
}

// TestServersHaveTimeToFindAnotherProxyAfterAStall: a server whose heartbeats this process did not
// acknowledge while it stalled calls other proxies, which may stall too. It is not lost while it looks for
// one.
func TestServersHaveTimeToFindAnotherProxyAfterAStall(t *testing.T) {
	const beforeLoss = 1900 * time.Millisecond // maxMissedHeartbeats of one second
	for _, test := range []struct {
		name   string
		stall  time.Duration
		lostAt time.Duration // after the last heartbeat
	}{
		{"no stall", 0, beforeLoss},
		{"too short for a heartbeat to go elsewhere", divertingStall - time.Millisecond,
			beforeLoss + divertingStall - time.Millisecond},
		{"long", divertingStall, unwatchedHeartbeats*time.Second + divertingStall},
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
