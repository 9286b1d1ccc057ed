package dataplane

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// poolOf returns a pool of so many connections, and two servers that let them be.
func poolOf(t *testing.T, most int) (*pool, want, want) {
	p := newPool(&counters{}, most, func(string) bool { return true })
	a := want{server: newServer(t, "a", "s", "", ok("")).Server, idle: time.Minute}
	b := want{server: newServer(t, "b", "s", "", ok("")).Server, idle: time.Minute}
	return p, a, b
}

func taken(c *qt.C, p *pool, w want) *connection {
	c.Helper()
	conn, err := p.take(context.Background(), w)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return conn
}

func TestPoolGivesTheLastUsedFirst(t *testing.T) {
	c := qt.New(t)
	p, a, _ := poolOf(t, 9)
	first, second := taken(c, p, a), taken(c, p, a)
	p.keep(second, time.Minute)
	p.keep(first, time.Minute)
	c.Assert(taken(c, p, a), qt.Equals, first)
	c.Assert(taken(c, p, a), qt.Equals, second)
	c.Assert(taken(c, p, a).reused, qt.IsFalse)
}

func TestPoolLeavesOlderConnectionsToThoseWhoMayUseThem(t *testing.T) {
	c := qt.New(t)
	p, a, _ := poolOf(t, 9)
	old := taken(c, p, a)
	p.keep(old, time.Minute)
	old.since = old.since.Add(-10 * time.Second)
	young := a
	young.idle = time.Second
	c.Assert(taken(c, p, young), qt.Not(qt.Equals), old)
	c.Assert(taken(c, p, a), qt.Equals, old)
}

func TestPoolDropsWhatHasExpired(t *testing.T) {
	c := qt.New(t)
	p, a, _ := poolOf(t, 9)
	a.most = 2
	for range 2 {
		taken(c, p, a)
	}
	_, err := p.take(context.Background(), a)
	c.Assert(err, qt.Equals, errNoPlace)

	p, a, _ = poolOf(t, 9)
	a.most = 2
	first, second := taken(c, p, a), taken(c, p, a)
	p.keep(first, time.Minute)
	p.keep(second, time.Minute)
	first.expires, second.expires = time.Now(), time.Now()
	c.Assert(taken(c, p, a).reused, qt.IsFalse) // a place is made for it
}

func TestPoolAtItsEndTakesIdleOnesOfOthers(t *testing.T) {
	c := qt.New(t)
	p, a, b := poolOf(t, 2)
	idle, busy := taken(c, p, a), taken(c, p, a)
	_, err := p.take(context.Background(), b)
	c.Assert(err, qt.Equals, errNoPlace)
	p.keep(idle, time.Minute)
	other := taken(c, p, b)
	c.Assert(other.server, qt.Equals, "b")
	c.Assert(idle.look(), qt.Equals, ended)
	p.drop(busy)
	p.drop(other)
	c.Assert(p.open, qt.Equals, 0)
	c.Assert(p.peers, qt.HasLen, 0)
}
