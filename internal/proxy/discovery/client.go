// Package discovery follows the list of zone servers that a registry publishes and resolves server ids to
// names and addresses.
//
// A Client has one goroutine, Run, which owns what is being followed, and one for each watch: a call that the
// registry keeps open and on which it sends changes, as Consul's watches do. A watch continues from the index
// of the list, or begins with a full list where that index means nothing: after a move to another address, or
// where the registry's index fell. Run alone opens and closes watches; Follow, ChangeAddress, Replace and Feed only
// leave it a request and return at once. All exported methods but Run may be called from any goroutine, and
// the list (table) has a lock of its own.
//
// A drain takes effect from the moment the registry has it, whether or not a watch has delivered it. So a
// watch that is silent for too long counts as lost, and what it may have missed is asked for soon, with
// random delays, so that client proxies don't ask all at once.
package discovery

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cresshub/internal/proxy/descriptors"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/proxy/stats"
)

// Limits bound watches; they may change while one is open.
type Limits struct {
	// WatchTimeout is how long a watch may be silent. The registry sends something every 2 s; silence means that
	// changes may have been lost.
	WatchTimeout time.Duration
	// MaxListBytes bounds one document.
	MaxListBytes int
	// MaxReopenDelay is set where changes bind as soon as the registry has them: watches are then opened without
	// Follow, and this is the longest delay before one that ended is opened again. 0 where Follow asks for them.
	MaxReopenDelay time.Duration
}

// TimeoutReopenDelay is the longest delay before a watch that timed out is opened again: all watches may time
// out at once, and what they miss takes effect soon.
func (l *Limits) TimeoutReopenDelay() time.Duration {
	if l.MaxReopenDelay > 0 {
		return min(l.WatchTimeout/4, l.MaxReopenDelay*2/3)
	}
	return l.WatchTimeout / 4
}

// Sink receives the list. Run and the watches call it, one at a time for UpdateList.
type Sink interface {
	UpdateList(full bool, list []dispatch.Server)
	// ListFailed says that the watch ended and no other is opened before Follow.
	ListFailed()
}

// Names are the names of zones and kinds in the settings, in their order.
type Names struct{ Zones, Kinds []string }

// Feed says where lists come from. With the zero Feed it is the registry.
type Feed struct {
	ReplaceOnly bool   // lists come by Replace alone, and the registry is not called
	Token       uint64 // fencing token that calls to the registry carry, 0 for none
}

// Client follows discovery, at one address at a time.
type Client struct {
	table

	connect         func(ctx context.Context, address string) (net.Conn, error)
	limits          atomic.Pointer[Limits]
	sink            Sink
	changed         func() // called after each list that was applied
	budget          *descriptors.Budget
	stats           *stats.Set
	log             *slog.Logger
	onTokenRejected func(token uint64, why string)
	startTime       time.Time    // lastReceived counts from here, by the monotonic clock
	lastReceived    atomic.Int64 // when a watch last received something, in ns since startTime; 0 for never
	deliverMu       sync.Mutex   // keeps documents in the same order in the table and at the sink

	// What Run is asked to do. Of several requests of a kind only the last counts.
	followRequests chan struct{}
	addressChanges chan string
	replacements   chan []byte
	feedChanges    chan Feed
	syncedWatches  chan *watch // delivered the full list that they were opened for
	endedWatches   chan *watch

	// What Run alone uses.
	feed         Feed
	address      string
	current      *watch // nil while there is none
	previous     *watch // at the address before; it stays open until current is synced
	unsynced     bool   // no full list from address yet
	watchCount   int64  // watches opened
	quickReopens int    // watches reopened without Follow since one timed out, within TimeoutReopenDelay each
	retries      int    // failed calls since the move, or since a watch last delivered something
}

// New returns a Client that knows no server. dial bounds the time for a connection.
func New(address string, dial time.Duration, limits Limits, names Names, budget *descriptors.Budget,
	counters *stats.Set, log *slog.Logger) *Client {
	c := &Client{
		table:   newTable(address, Names{slices.Clone(names.Zones), slices.Clone(names.Kinds)}),
		address: address, budget: budget, stats: counters, log: log,
		connect: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{Timeout: dial, KeepAlive: -1}).DialContext(ctx, "tcp", address)
		},
		startTime: time.Now(), onTokenRejected: func(uint64, string) {},
		followRequests: make(chan struct{}, 1), addressChanges: make(chan string, 1),
		replacements: make(chan []byte, 1), feedChanges: make(chan Feed, 1),
		syncedWatches: make(chan *watch), endedWatches: make(chan *watch),
	}
	c.SetLimits(limits)
	return c
}

// SetLimits changes the limits, also of an open watch.
func (c *Client) SetLimits(l Limits) { c.limits.Store(&l) }

// OnTokenRejected sets what is called where the registry rejects a call for its fencing token. It must be
// called before Run.
func (c *Client) OnTokenRejected(reject func(token uint64, why string)) { c.onTokenRejected = reject }

// Follow asks for changes from now on; it returns at once. While a watch is open it is a no-op.
func (c *Client) Follow() {
	select {
	case c.followRequests <- struct{}{}:
	default:
	}
}

// ChangeAddress follows discovery at another address from now on; it returns at once.
func (c *Client) ChangeAddress(address string) { replaceLast(c.addressChanges, address) }

// Replace applies a full list from another source, in discovery's form; it returns at once.
func (c *Client) Replace(raw []byte) { replaceLast(c.replacements, raw) }

// Feed changes where lists come from; it returns at once. Calls that are under way with another token, or
// where none is wanted, are cancelled.
func (c *Client) Feed(f Feed) { replaceLast(c.feedChanges, f) }

// replaceLast puts a request into a channel with room for one, in place of a request that was not received
// yet.
func replaceLast[T any](requests chan T, last T) {
	select {
	case <-requests:
	default:
	}
	requests <- last
}

// LastSeen is when a watch last received something, zero if none ever did.
func (c *Client) LastSeen() time.Time {
	if at := c.lastReceived.Load(); at != 0 {
		return c.startTime.Add(time.Duration(at))
	}
	return time.Time{}
}

// markReceived records that a watch has received something now.
func (c *Client) markReceived() { c.lastReceived.Store(max(1, int64(time.Since(c.startTime)))) }
