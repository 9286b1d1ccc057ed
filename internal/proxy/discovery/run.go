package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"time"

	"cresshub/internal/proxy/logging"
)

const (
	// maxQuickReopens is how many watches are reopened soon and without Follow after one that timed out.
	maxQuickReopens = 2
	// The delay before retry n, from 1 on, is spread around retryBase<<n; n counts up to maxRetryShift.
	retryBase     = 200 * time.Millisecond
	maxRetryShift = 4
)

// Run opens watches as it is asked to, until ctx ends; it is called once. changed is called after each list.
func (c *Client) Run(ctx context.Context, sink Sink, changed func()) {
	c.sink, c.changed = sink, changed
	retry := time.NewTimer(time.Hour) // handleEnd sets it; when it fires otherwise nothing is due
	defer retry.Stop()
	c.begin(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.followRequests:
			if c.mayOpen() && !c.unsynced {
				c.open(ctx, false)
			}
		case address := <-c.addressChanges:
			c.move(ctx, address)
		case f := <-c.feedChanges:
			c.applyFeed(ctx, f)
		case raw := <-c.replacements:
			c.replace(raw)
		case <-retry.C:
			if c.mayOpen() && (c.unsynced || c.quickReopens > 0 || c.followsAlways()) {
				c.open(ctx, c.unsynced)
			}
		case w := <-c.syncedWatches:
			c.markSynced(w)
		case w := <-c.endedWatches:
			if delay := c.handleEnd(w); delay > 0 {
				retry.Reset(delay)
			}
		}
	}
}

// begin applies a feed that was set before the start, and opens the first watch where none waits for Follow.
func (c *Client) begin(ctx context.Context) {
	select {
	case f := <-c.feedChanges:
		c.applyFeed(ctx, f)
	default:
	}
	if c.followsAlways() && c.mayOpen() {
		c.unsynced = true // the list from before the start may be old, and the registry's has taken effect
		c.open(ctx, true)
	}
}

// followsAlways reports whether watches are opened without Follow.
func (c *Client) followsAlways() bool { return c.limits.Load().MaxReopenDelay > 0 }

// mayOpen reports whether the registry is to be asked and no watch is open.
func (c *Client) mayOpen() bool { return c.current == nil && !c.feed.ReplaceOnly }

// open opens a watch at the present address.
func (c *Client) open(ctx context.Context, fullList bool) {
	c.current = c.startWatch(ctx, c.address, fullList)
}

// move turns to another address at once. The watch at the present one stays open until the new one has
// delivered the full list, so that no change is missed between them.
func (c *Client) move(ctx context.Context, address string) {
	if address == c.address {
		return
	}
	c.log.Info("discovery: moved", "from", c.address, "to", address)
	if c.unsynced {
		c.stopWatch(c.current)
	} else {
		c.previous = c.current
	}
	c.address, c.unsynced, c.retries = address, true, 0
	c.current = nil
	if c.mayOpen() {
		c.open(ctx, true)
	}
}

// applyFeed changes where lists come from: it stops the open watches, and what they still deliver is ignored.
func (c *Client) applyFeed(ctx context.Context, f Feed) {
	if f == c.feed {
		return
	}
	c.feed = f
	c.stopWatch(c.current)
	c.stopWatch(c.previous)
	c.current, c.previous = nil, nil
	c.ignoreWatchesBefore(c.watchCount + 1)
	if c.mayOpen() {
		c.open(ctx, c.unsynced)
	}
}

// replace applies a list that came by Replace.
func (c *Client) replace(raw []byte) {
	if err := c.deliver(nil, raw); err != nil {
		c.log.Error("discovery: replacement list rejected, the present one stays", logging.Err, err)
	}
}

// markSynced ends a move: the watch at the new address has delivered the full list.
func (c *Client) markSynced(w *watch) {
	if w != c.current {
		return
	}
	c.unsynced, c.retries = false, 0
	c.stopWatch(c.previous)
	c.previous = nil
}

// handleEnd handles the end of a watch and returns the delay before the next one is opened without Follow, 0
// if none is. One is opened after a move, after a time-out, and where watches don't wait for Follow: in these
// cases nobody would call it, and the changes that the registry has meanwhile bind.
func (c *Client) handleEnd(w *watch) time.Duration {
	w.cancel()
	if w == c.previous {
		c.previous = nil
	}
	if w != c.current { // stopped on purpose, or superseded
		return 0
	}
	c.current = nil
	c.stats.ListsFailed.Inc()
	c.log.Warn("discovery: watch ended", logging.Address, w.address, logging.Err, w.err)
	if w.delivered {
		c.retries, c.quickReopens = 0, 0
	}
	if errors.Is(w.err, errIndexFell) {
		c.unsynced = true
	}
	if delay := c.quickReopenDelay(w.err); delay > 0 {
		return delay
	}
	if c.unsynced || c.followsAlways() {
		return c.retryDelay()
	}
	select { // a Follow from while the watch was open is a no-op
	case <-c.followRequests:
	default:
	}
	c.sink.ListFailed()
	return 0
}

// quickReopenDelay is the delay before a watch is reopened after a time-out, 0 if it is not reopened for
// that reason. What a silent watch missed may bind before the next Follow, so a call after it that fails is
// repeated once. Calls that get no connection, as from a partitioned zone, don't count, for they cost the
// registry nothing.
func (c *Client) quickReopenDelay(err error) time.Duration {
	timedOut := errors.Is(err, errWatchTimeout) || errors.Is(err, os.ErrDeadlineExceeded)
	if c.quickReopens == 0 && !timedOut {
		return 0
	}
	if c.quickReopens == 0 || !errors.Is(err, errDialTimeout) {
		c.quickReopens++
	}
	if c.quickReopens > maxQuickReopens {
		c.quickReopens = 0
		return 0
	}
	spread := rand.Float64() * float64(c.limits.Load().TimeoutReopenDelay())
	return time.Nanosecond + time.Duration(spread) // never 0
}

// retryDelay is the delay before a failed call is made again: exponential backoff with jitter, because all
// client proxies learn of a move at the same moment.
func (c *Client) retryDelay() time.Duration {
	c.retries++
	delay := retryBase << min(c.retries, maxRetryShift)
	if c.followsAlways() {
		delay = min(delay, c.limits.Load().MaxReopenDelay*2/3)
	}
	return time.Duration((0.5 + rand.Float64()) * float64(delay))
}
