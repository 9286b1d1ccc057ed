package dataplane

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// poolOf returns a pool of so many connections, and two servers that let them be.
func poolOf(t *testing.T, most int) (*pool, connectionSpec, connectionSpec) {
	t.Helper()
	p := newPool(&counters{}, most, func(string) bool { return true })
	a := connectionSpec{server: newServer(t, "a", "s", "", ok("")).Server, maxIdle: time.Minute}
	b := connectionSpec{server: newServer(t, "b", "s", "", ok("")).Server, maxIdle: time.Minute}
	return p, a, b
}

func taken(c *qt.C, p *pool, w connectionSpec) *connection {
	c.Helper()
	conn, err := p.get(context.Background(), w)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return conn
}

func TestPoolGivesTheLastUsedFirst(t *testing.T) {
	c := qt.New(t)
	p, a, _ := poolOf(t, 9)
	first, second := taken(c, p, a), taken(c, p, a)
	p.put(second, time.Minute)
	p.put(first, time.Minute)
	c.Assert(taken(c, p, a), qt.Equals, first)
	c.Assert(taken(c, p, a), qt.Equals, second)
	c.Assert(taken(c, p, a).reused, qt.IsFalse)
}

func TestPoolLeavesOlderConnectionsToThoseWhoMayUseThem(t *testing.T) {
	c := qt.New(t)
	p, a, _ := poolOf(t, 9)
	old := taken(c, p, a)
	p.put(old, time.Minute)
	old.idleSince = old.idleSince.Add(-10 * time.Second)
	young := a
	young.maxIdle = time.Second
	c.Assert(taken(c, p, young), qt.Not(qt.Equals), old)
	c.Assert(taken(c, p, a), qt.Equals, old)
}

func TestPoolDropsWhatHasExpired(t *testing.T) {
	c := qt.New(t)
	p, a, _ := poolOf(t, 9)
	a.maxPerServer = 2
	for range 2 {
		taken(c, p, a)
	}
	_, err := p.get(context.Background(), a)
	c.Assert(err, qt.Equals, errNoConnectionFree)

	p, a, _ = poolOf(t, 9)
	a.maxPerServer = 2
	first, second := taken(c, p, a), taken(c, p, a)
	p.put(first, time.Minute)
	p.put(second, time.Minute)
	first.expiresAt, second.expiresAt = time.Now(), time.Now()
	c.Assert(taken(c, p, a).reused, qt.IsFalse) // a place is made for it
}

func TestPoolAtItsEndTakesIdleOnesOfOthers(t *testing.T) {
	c := qt.New(t)
	p, a, b := poolOf(t, 2)
	idle, busy := taken(c, p, a), taken(c, p, a)
	_, err := p.get(context.Background(), b)
	c.Assert(err, qt.Equals, errNoConnectionFree)
	p.put(idle, time.Minute)
	other := taken(c, p, b)
	c.Assert(other.server, qt.Equals, "b")
	c.Assert(idle.readState(), qt.Equals, readClosed)
	p.discard(busy)
	p.discard(other)
	c.Assert(p.open, qt.Equals, 0)
	c.Assert(p.servers, qt.HasLen, 0)
}
