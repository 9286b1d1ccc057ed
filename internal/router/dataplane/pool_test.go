package dataplane

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newTestPool returns a pool of up to maxOpen connections, and specs for connections to two servers that keep
// their connections open.
func newTestPool(t *testing.T, maxOpen int) (*pool, connectionSpec, connectionSpec) {
	t.Helper()
	pool := newPool(&counters{}, nil, maxOpen, func(string) bool { return true })
	a := connectionSpec{server: newFakeServer(t, "a", "s", "", respondOK("")).Server, maxIdle: time.Minute}
	b := connectionSpec{server: newFakeServer(t, "b", "s", "", respondOK("")).Server, maxIdle: time.Minute}
	return pool, a, b
}

func getConnection(c *qt.C, pool *pool, spec connectionSpec) *connection {
	c.Helper()
	conn, err := pool.get(context.Background(), spec)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return conn
}

func TestPoolReturnsMostRecentlyUsedConnection(t *testing.T) {
	c := qt.New(t)
	pool, a, _ := newTestPool(t, 9)
	first, second := getConnection(c, pool, a), getConnection(c, pool, a)
	pool.put(second, time.Minute)
	pool.put(first, time.Minute)
	c.Assert(getConnection(c, pool, a), qt.Equals, first)
	c.Assert(getConnection(c, pool, a), qt.Equals, second)
	c.Assert(getConnection(c, pool, a).reused, qt.IsFalse)
}

func TestPoolKeepsOldConnectionsForCallsThatPermitThem(t *testing.T) {
	c := qt.New(t)
	pool, a, _ := newTestPool(t, 9)
	old := getConnection(c, pool, a)
	pool.put(old, time.Minute)
	old.idleSince = old.idleSince.Add(-10 * time.Second)
	shortIdle := a
	shortIdle.maxIdle = time.Second
	c.Assert(getConnection(c, pool, shortIdle), qt.Not(qt.Equals), old)
	c.Assert(getConnection(c, pool, a), qt.Equals, old)
}

func TestPoolDiscardsExpiredConnections(t *testing.T) {
	c := qt.New(t)
	pool, a, _ := newTestPool(t, 9)
	a.maxPerServer = 2
	for range 2 {
		getConnection(c, pool, a)
	}
	_, err := pool.get(context.Background(), a)
	c.Assert(err, qt.Equals, errConnectionLimit)

	pool, a, _ = newTestPool(t, 9)
	a.maxPerServer = 2
	first, second := getConnection(c, pool, a), getConnection(c, pool, a)
	pool.put(first, time.Minute)
	pool.put(second, time.Minute)
	pool.mu.Lock() // a sweep may read the fields concurrently
	first.expiresAt, second.expiresAt = time.Now(), time.Now()
	pool.mu.Unlock()
	c.Assert(getConnection(c, pool, a).reused, qt.IsFalse) // an expired one was closed to make room
}

func TestFullPoolClosesIdleConnectionOfAnotherServer(t *testing.T) {
	c := qt.New(t)
	pool, a, b := newTestPool(t, 2)
	idle, busy := getConnection(c, pool, a), getConnection(c, pool, a)
	_, err := pool.get(context.Background(), b)
	c.Assert(err, qt.Equals, errConnectionLimit)
	pool.put(idle, time.Minute)
	other := getConnection(c, pool, b)
	c.Assert(other.server, qt.Equals, "b")
	c.Assert(idle.readState(), qt.Equals, readClosed)
	pool.discard(busy)
	pool.discard(other)
	c.Assert(pool.open, qt.Equals, 0)
	c.Assert(pool.servers, qt.HasLen, 0)
}
