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

func (c *Client) leave(w *watch) {
	if w != nil {
		w.cancel()
	}
}

// unasked tells whether watches are opened without being asked for.
func (c *Client) unasked() bool { return c.limits.Load().Again > 0 }

var (
	errSilent = errors.New("it said nothing for too long")
	errCut    = errors.New("no connection came up in time")
	errFell   = errors.New("discovery counts anew from below, the list is asked for afresh")
)

// end takes in that a watch is over. A time above 0 is when to try again by ourselves: after a move or a
// silence, and where changes bind unasked, there is nobody to be told by, and what is said meanwhile binds
// whether it was read or not.
func (c *Client) end(w *watch) time.Duration {
	w.cancel()
	if w == c.before {
		c.before = nil
	}
	if w != c.now { // left on purpose, or overtaken
		return 0
	}
	c.now = nil
	c.count.ListsFailed.Add()
	c.log.Warn("watch ended", logging.Address, w.address, logging.Err, w.err)
	limits := c.limits.Load()
	if w.said {
		c.retries, c.again = 0, 0
	}
	if errors.Is(w.err, errFell) {
		c.moving = true
	}
	// What a silent watch misses, be it one that never said a word, binds at a time of its own, whatever the
	// settings let pass before discovery is asked again: one call after it that fails is made again, too. So are
	// all that do not get through, as from a zone that is cut off, for they cost discovery nothing.
	if c.again > 0 || errors.Is(w.err, errSilent) || errors.Is(w.err, os.ErrDeadlineExceeded) {
		if c.again == 0 || w.err != errCut {
			c.again++
		}
		if c.again <= 2 {
			return 1 + time.Duration(rand.Float64()*float64(limits.Reopen()))
		}
		c.again = 0
	}
	if c.moving || c.unasked() {
		c.retries++
		// Every client proxy is told of a move in the same moment, so the tries are spread.
		wait := 200 * time.Millisecond << min(c.retries, 4)
		if c.unasked() {
			wait = min(wait, limits.Again*2/3)
		}
		return time.Duration((0.5 + rand.Float64()) * float64(wait))
	}
	select { // asked again while it stood
	case <-c.asked:
	default:
	}
	c.sink.ListFailed()
	return 0
}

func (c *Client) start(ctx context.Context, address string, afresh bool) *watch {
	c.watches++
	w := &watch{number: c.watches, address: address, afresh: afresh, token: c.feed.Token}
	ctx, w.cancel = context.WithCancel(ctx)
	go func() {
		w.err = c.watch(ctx, w)
		c.pass(ctx, c.ended, w)
	}()
	return w
}

// pass hands a watch to Run, which may have ended.
func (c *Client) pass(ctx context.Context, to chan *watch, w *watch) {
	select {
	case to <- w:
	case <-ctx.Done():
	}
}

func (c *Client) watch(ctx context.Context, w *watch) error {
	if !c.budget.Acquire(descriptors.Servers) {
		return errors.New("no socket left")
	}
	defer c.budget.Release(descriptors.Servers)
	raw, err := c.connect(ctx, w.address)
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		return errCut
	} else if err != nil {
		return err
	}
	defer raw.Close()
	defer context.AfterFunc(ctx, func() { raw.Close() })()
	conn := connbuffer.NewConn(raw)
	if w.afresh {
		// Asked for the changes since 0 a service may send changes, and what left before those would stay.
		body, err := c.ask(conn, w, "")
		if err != nil {
			return err
		}
		list, err := io.ReadAll(io.LimitReader(body, int64(c.limits.Load().MaxList)))
		if err != nil {
			return err
		}
		if err := c.tell(w, list); err != nil {
			return err
		}
		c.pass(ctx, c.told, w)
	}
	c.mu.Lock()
	from := strconv.FormatInt(c.index, 10)
	c.mu.Unlock()
	body, err := c.ask(conn, w, "?watch=1&from="+from)
	if err != nil {
		return err
	}
	said := newValues(body, func() Limits { return *c.limits.Load() },
		func(t time.Time) { conn.SetReadDeadline(t) },
		func() { c.heard.Store(max(1, int64(time.Since(c.begun)))) })
	for {
		list, err := said.next()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = errSilent
		}
		if err == nil {
			err, w.said = c.tell(w, list), true
		}
		if err != nil {
			return err
		}
	}
}

// ask makes one call and returns the body of its answer.
func (c *Client) ask(conn *connbuffer.Conn, w *watch, query string) (io.Reader, error) {
	conn.SetDeadline(time.Now().Add(c.limits.Load().Silence))
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
		c.refused(w.token, "discovery answered 409")
	}
	if err == nil && status != 200 {
		err = fmt.Errorf("discovery answered %d", status)
	}
	return body, err
}

func (c *Client) tell(w *watch, raw []byte) error {
	c.telling.Lock()
	defer c.telling.Unlock()
	whole, list, err := c.take(w, raw)
	if err != nil && err != errFell {
		return err
	}
	c.sink.UpdateList(whole, list)
	c.changed()
	c.count.ListsRead.Add()
	return err
}
