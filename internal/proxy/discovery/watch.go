// This file opens, follows and ends the watches of a Client.

package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"time"

	"cresshub/internal/cluster/lease"
	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/proxy/descriptors"
	"cresshub/internal/proxy/logging"
)

func (c *Client) stopWatch(w *watch) {
	if w != nil {
		w.cancel()
	}
}

// followsAlways tells whether watches are opened without being asked for.
func (c *Client) followsAlways() bool { return c.limits.Load().MaxReopenDelay > 0 }

var (
	errWatchTimeout = errors.New("it said nothing for too long")
	errDialTimeout  = errors.New("no connection came up in time")
	errIndexFell    = errors.New("discovery counts anew from below, the list is asked for afresh")
)

// handleEnd takes in that a watch is over. A time above 0 is when to try again by ourselves: after a move or a
// silence, and where changes bind unasked, there is nobody to be told by, and what is said meanwhile binds
// whether it was read or not.
func (c *Client) handleEnd(w *watch) time.Duration {
	w.cancel()
	if w == c.previous {
		c.previous = nil
	}
	if w != c.current { // left on purpose, or overtaken
		return 0
	}
	c.current = nil
	c.stats.ListsFailed.Add()
	c.log.Warn("watch ended", logging.Address, w.address, logging.Err, w.err)
	limits := c.limits.Load()
	if w.delivered {
		c.retries, c.quickReopens = 0, 0
	}
	if errors.Is(w.err, errIndexFell) {
		c.unsynced = true
	}
	// What a silent watch misses, be it one that never said a word, binds at a time of its own, whatever the
	// settings let pass before discovery is asked again: one call after it that fails is made again, too. So are
	// all that do not get through, as from a zone that is cut off, for they cost discovery nothing.
	if c.quickReopens > 0 || errors.Is(w.err, errWatchTimeout) || errors.Is(w.err, os.ErrDeadlineExceeded) {
		if c.quickReopens == 0 || w.err != errDialTimeout {
			c.quickReopens++
		}
		if c.quickReopens <= 2 {
			return 1 + time.Duration(rand.Float64()*float64(limits.TimeoutReopenDelay()))
		}
		c.quickReopens = 0
	}
	if c.unsynced || c.followsAlways() {
		c.retries++
		// Every client proxy is told of a move in the same moment, so the tries are spread.
		wait := 200 * time.Millisecond << min(c.retries, 4)
		if c.followsAlways() {
			wait = min(wait, limits.MaxReopenDelay*2/3)
		}
		return time.Duration((0.5 + rand.Float64()) * float64(wait))
	}
	select { // asked again while it stood
	case <-c.followRequests:
	default:
	}
	c.sink.ListFailed()
	return 0
}

func (c *Client) startWatch(ctx context.Context, address string, fullList bool) *watch {
	c.watchCount++
	w := &watch{number: c.watchCount, address: address, fullList: fullList, token: c.feed.Token}
	ctx, w.cancel = context.WithCancel(ctx)
	go func() {
		w.err = c.runWatch(ctx, w)
		c.notifyRun(ctx, c.endedWatches, w)
	}()
	return w
}

// notifyRun hands a watch to Run, which may have ended.
func (c *Client) notifyRun(ctx context.Context, to chan *watch, w *watch) {
	select {
	case to <- w:
	case <-ctx.Done():
	}
}

func (c *Client) runWatch(ctx context.Context, w *watch) error {
	if !c.budget.Acquire(descriptors.Servers) {
		return errors.New("no socket left")
	}
	defer c.budget.Release(descriptors.Servers)
	netConn, err := c.connect(ctx, w.address)
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		return errDialTimeout
	} else if err != nil {
		return err
	}
	defer netConn.Close()
	defer context.AfterFunc(ctx, func() { netConn.Close() })()
	conn := connbuffer.NewConn(netConn)
	if w.fullList {
		// Asked for the changes since 0 a service may send changes, and what left before those would stay.
		body, err := c.get(conn, w, "")
		if err != nil {
			return err
		}
		list, err := io.ReadAll(io.LimitReader(body, int64(c.limits.Load().MaxListBytes)))
		if err != nil {
			return err
		}
		if err := c.deliver(w, list); err != nil {
			return err
		}
		c.notifyRun(ctx, c.syncedWatches, w)
	}
	c.mu.Lock()
	from := strconv.FormatInt(c.index, 10)
	c.mu.Unlock()
	body, err := c.get(conn, w, "?watch=1&from="+from)
	if err != nil {
		return err
	}
	reader := newValueReader(body, func() Limits { return *c.limits.Load() },
		func(t time.Time) { conn.SetReadDeadline(t) },
		func() { c.lastReceived.Store(max(1, int64(time.Since(c.startTime)))) })
	for {
		list, err := reader.next()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = errWatchTimeout
		}
		if err == nil {
			err, w.delivered = c.deliver(w, list), true
		}
		if err != nil {
			return err
		}
	}
}

// get makes one call and returns the body of its answer.
func (c *Client) get(conn *connbuffer.Conn, w *watch, query string) (io.Reader, error) {
	conn.SetDeadline(time.Now().Add(c.limits.Load().WatchTimeout))
	q := http1.Request{Method: "GET", Target: "/registry/instances" + query,
		Header: http1.Header{{Name: "Host", Value: w.address}}}
	if w.token > 0 {
		q.Header = append(q.Header, http1.Field{Name: lease.TokenHeader, Value: strconv.FormatUint(w.token, 10)})
	}
	if err := q.Write(conn.Out); err != nil {
		return nil, err
	}
	if err := conn.Flush(); err != nil {
		return nil, err
	}
	status, body, err := http1.ReadStream(conn.In)
	if status == 409 && w.token > 0 {
		c.onTokenRejected(w.token, "discovery answered 409")
	}
	if err == nil && status != 200 {
		err = fmt.Errorf("discovery answered %d", status)
	}
	return body, err
}

func (c *Client) deliver(w *watch, raw []byte) error {
	c.deliverMu.Lock()
	defer c.deliverMu.Unlock()
	full, list, err := c.apply(w, raw)
	if err != nil && err != errIndexFell {
		return err
	}
	c.sink.UpdateList(full, list)
	c.changed()
	c.stats.ListsRead.Add()
	return err
}
