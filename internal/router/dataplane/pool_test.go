package dataplane

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newTestPool returns a pool of so many connections, and two servers that let them be.
func newTestPool(t *testing.T, most int) (*pool, connectionSpec, connectionSpec) {
	t.Helper()
	p := newPool(&counters{}, most, func(string) bool { return true })
	a := connectionSpec{server: newServer(t, "a", "s", "", ok("")).Server, maxIdle: time.Minute}
	b := connectionSpec{server: newServer(t, "b", "s", "", ok("")).Server, maxIdle: time.Minute}
	return p, a, b
}

func getConnection(c *qt.C, p *pool, w connectionSpec) *connection {
	c.Helper()
	conn, err := p.get(context.Background(), w)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return conn
}

func TestPoolReturnsTheLastUsedFirst(t *testing.T) {
	c := qt.New(t)
	p, a, _ := newTestPool(t, 9)
	first, second := getConnection(c, p, a), getConnection(c, p, a)
	p.put(second, time.Minute)
	p.put(first, time.Minute)
	c.Assert(getConnection(c, p, a), qt.Equals, first)
	c.Assert(getConnection(c, p, a), qt.Equals, second)
	c.Assert(getConnection(c, p, a).reused, qt.IsFalse)
}

func TestPoolKeepsOlderConnectionsForCallsThatMayUseThem(t *testing.T) {
	c := qt.New(t)
	p, a, _ := newTestPool(t, 9)
	old := getConnection(c, p, a)
	p.put(old, time.Minute)
	old.idleSince = old.idleSince.Add(-10 * time.Second)
	young := a
	young.maxIdle = time.Second
	c.Assert(getConnection(c, p, young), qt.Not(qt.Equals), old)
	c.Assert(getConnection(c, p, a), qt.Equals, old)
}

func TestPoolDiscardsExpiredConnections(t *testing.T) {
	c := qt.New(t)
	p, a, _ := newTestPool(t, 9)
	a.maxPerServer = 2
	for range 2 {
		getConnection(c, p, a)
	}
	_, err := p.get(context.Background(), a)
	c.Assert(err, qt.Equals, errNoConnectionFree)

	p, a, _ = newTestPool(t, 9)
	a.maxPerServer = 2
	first, second := getConnection(c, p, a), getConnection(c, p, a)
	p.put(first, time.Minute)
	p.put(second, time.Minute)
	first.expiresAt, second.expiresAt = time.Now(), time.Now()
	c.Assert(getConnection(c, p, a).reused, qt.IsFalse) // a place is made for it
}

func TestFullPoolTakesIdleConnectionsOfOtherServers(t *testing.T) {
	c := qt.New(t)
	p, a, b := newTestPool(t, 2)
	idle, busy := getConnection(c, p, a), getConnection(c, p, a)
	_, err := p.get(context.Background(), b)
	c.Assert(err, qt.Equals, errNoConnectionFree)
	p.put(idle, time.Minute)
	other := getConnection(c, p, b)
	c.Assert(other.server, qt.Equals, "b")
	c.Assert(idle.readState(), qt.Equals, readClosed)
	p.discard(busy)
	p.discard(other)
	c.Assert(p.open, qt.Equals, 0)
	c.Assert(p.servers, qt.HasLen, 0)
}
