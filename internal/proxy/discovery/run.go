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
	// maxQuickReopens is how many calls are made soon and without Follow after a watch has timed out. Calls
	// whose dial times out are not counted.
	maxQuickReopens = 2
	// The delay before retry n, counted from 1, is random around retryBase<<min(n, maxRetryShift).
	retryBase     = 200 * time.Millisecond
	maxRetryShift = 4
)

// Run opens and closes watches as requested, until ctx ends. It is called once. onListApplied is called after
// each document that was applied.
func (c *Client) Run(ctx context.Context, sink Sink, onListApplied func()) {
	c.sink, c.onListApplied = sink, onListApplied
	retry := time.NewTimer(time.Hour) // set by handleEnd; the initial hour has no meaning
	defer retry.Stop()
	c.startFollowing(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.followRequests:
			if c.canOpenWatch() && !c.needsFullList {
				c.openWatch(ctx, false)
			}
		case address := <-c.addressChanges:
			c.changeAddress(ctx, address)
		case f := <-c.feedChanges:
			c.applyFeed(ctx, f)
		case raw := <-c.replacements:
			c.replace(raw)
		case <-retry.C:
			if c.canOpenWatch() && (c.needsFullList || c.quickReopens > 0 || c.followsAutomatically()) {
				c.openWatch(ctx, c.needsFullList)
			}
		case w := <-c.syncedWatches:
			c.handleFullList(w)
		case w := <-c.endedWatches:
			if delay := c.handleEnd(w); delay > 0 {
				retry.Reset(delay)
			}
		}
	}
}

// startFollowing applies a feed that was set before Run, and opens the first watch if watches are opened
// without Follow.
func (c *Client) startFollowing(ctx context.Context) {
	select {
	case f := <-c.feedChanges:
		c.applyFeed(ctx, f)
	default:
	}
	if c.followsAutomatically() && c.canOpenWatch() {
		c.needsFullList = true // the restored list may be old, while the registry's has taken effect
		c.openWatch(ctx, true)
	}
}

// followsAutomatically reports whether watches are opened without Follow.
func (c *Client) followsAutomatically() bool { return c.limits.Load().MaxReopenDelay > 0 }

// canOpenWatch reports whether lists come from the registry and no watch is open.
func (c *Client) canOpenWatch() bool { return c.current == nil && !c.feed.ReplaceOnly }

// openWatch opens a watch at the current address.
func (c *Client) openWatch(ctx context.Context, fullList bool) {
	c.current = c.startWatch(ctx, c.address, fullList)
}

// changeAddress opens a watch at another address at once. The watch at the previous address stays open until
// the new one has delivered the full list, so that no change is missed in between.
func (c *Client) changeAddress(ctx context.Context, address string) {
	if address == c.address {
		return
	}
	c.log.Info("discovery: moved", "from", c.address, "to", address)
	if c.needsFullList {
		c.stopWatch(c.current)
	} else {
		c.previous = c.current
	}
	c.address, c.needsFullList, c.retries = address, true, 0
	c.current = nil
	if c.canOpenWatch() {
		c.openWatch(ctx, true)
	}
}

// applyFeed changes where lists come from. It stops the open watches; documents that they still deliver are
// ignored.
func (c *Client) applyFeed(ctx context.Context, f Feed) {
	if f == c.feed {
		return
	}
	c.feed = f
	c.stopWatch(c.current)
	c.stopWatch(c.previous)
	c.current, c.previous = nil, nil
	c.ignoreWatchesBefore(c.watchCount + 1)
	if c.canOpenWatch() {
		c.openWatch(ctx, c.needsFullList)
	}
}

// replace applies a list that was passed to Replace.
func (c *Client) replace(raw []byte) {
	if err := c.deliver(nil, raw); err != nil {
		c.log.Error("discovery: replacement list rejected, the present one stays", logging.Err, err)
	}
}

// handleFullList handles a watch that has delivered its full list. After a change of address it stops the
// watch at the previous address.
func (c *Client) handleFullList(w *watch) {
	if w != c.current {
		return
	}
	c.needsFullList, c.retries = false, 0
	c.stopWatch(c.previous)
	c.previous = nil
}

// handleEnd handles the end of a watch. It returns the delay before the next one is opened without Follow, or
// 0 if it is not. It is opened without Follow if the full list is still needed, after a timeout, and if
// followsAutomatically: in these cases nobody would call Follow, and changes take effect although no watch
// delivers them.
func (c *Client) handleEnd(w *watch) time.Duration {
	w.cancel()
	if w == c.previous {
		c.previous = nil
	}
	if w != c.current { // stopped by Run, or superseded
		return 0
	}
	c.current = nil
	c.stats.ListsFailed.Inc()
	c.log.Warn("discovery: watch ended", logging.Address, w.address, logging.Err, w.err)
	if w.delivered {
		c.retries, c.quickReopens = 0, 0
	}
	if errors.Is(w.err, errIndexDecreased) {
		c.needsFullList = true
	}
	if delay := c.quickReopenDelay(w.err); delay > 0 {
		return delay
	}
	if c.needsFullList || c.followsAutomatically() {
		return c.retryDelay()
	}
	select { // discards a Follow that was called while the watch was open
	case <-c.followRequests:
	default:
	}
	c.sink.ListFailed()
	return 0
}

// quickReopenDelay returns the delay before a watch is reopened after a timeout, or 0 if it is not reopened
// for that reason. Changes that were missed may take effect before the next Follow, so if the first call
// after the timeout fails it is retried once. Calls whose dial times out, as during a partition, don't
// count, because they cost the registry nothing.
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

// retryDelay returns the delay before a failed call is retried: exponential backoff with jitter, because all
// client proxies learn of a change of address at the same moment.
func (c *Client) retryDelay() time.Duration {
	c.retries++
	delay := retryBase << min(c.retries, maxRetryShift)
	if c.followsAutomatically() {
		delay = min(delay, c.limits.Load().MaxReopenDelay*2/3)
	}
	return time.Duration((0.5 + rand.Float64()) * float64(delay))
}
