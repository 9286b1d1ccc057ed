// Package discovery follows the list of zone servers that a registry publishes and resolves server ids to
// names and addresses.
//
// A Client has one goroutine, Run, which decides which address is followed, and one for each watch: a call
// that the registry keeps open and on which it sends changes, like Consul's watches. A watch continues from
// the index of the list. It begins with a full list where that index means nothing: after a change of
// address, or after the registry's index has decreased. Only Run opens and closes watches; Follow,
// ChangeAddress, Replace and SetFeed pass it a request and return at once. All exported methods except Run
// may be called from any goroutine; the list (table) has a lock of its own.
//
// A drain takes effect from the moment the registry has it, whether or not a watch has delivered it. So a
// watch on which nothing arrives for too long is closed and reopened soon, to get the changes that it may
// have missed. Random delays keep all client proxies from calling the registry at the same time.
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

// Limits bound watches. SetLimits may change them while a watch is open.
type Limits struct {
	// WatchTimeout is the longest time without a heartbeat or a complete document on a watch. The registry sends
	// something every 2 s, so a timeout means that changes may have been lost.
	WatchTimeout time.Duration
	// MaxListBytes is the maximum size of one document.
	MaxListBytes int
	// MaxReopenDelay is set if changes take effect as soon as the registry has them. Watches are then opened
	// without Follow, and this is the longest delay before one that has ended is reopened. It is 0 if watches
	// are opened only by Follow.
	MaxReopenDelay time.Duration
}

// TimeoutReopenDelay returns the longest delay before a watch that timed out is reopened. There is a delay,
// because the watches of all proxies may time out at once; it is short, because missed changes may take
// effect soon.
func (l *Limits) TimeoutReopenDelay() time.Duration {
	if l.MaxReopenDelay > 0 {
		return min(l.WatchTimeout/4, l.MaxReopenDelay*2/3)
	}
	return l.WatchTimeout / 4
}

// Sink receives the list. The goroutines of Run and of the watches call it; calls of UpdateList don't
// overlap.
type Sink interface {
	// UpdateList passes the servers of a full list, or those that have changed.
	UpdateList(full bool, list []dispatch.Server)
	// ListFailed reports that the watch has ended and that no other is opened before the next Follow.
	ListFailed()
}

// Names are the names of zones and kinds of servers, in the order of the settings.
type Names struct{ Zones, Kinds []string }

// Feed determines where lists come from. With the zero Feed they come from the registry.
type Feed struct {
	ReplaceOnly bool   // lists come only from Replace, and the registry is not called
	Token       uint64 // fencing token sent with calls to the registry; 0 for none
}

// Client follows the registry at one address at a time.
type Client struct {
	table

	connect         func(ctx context.Context, address string) (net.Conn, error)
	limits          atomic.Pointer[Limits]
	sink            Sink
	onListApplied   func() // called after each document that was applied
	budget          *descriptors.Budget
	stats           *stats.Set
	log             *slog.Logger
	onTokenRejected func(token uint64, why string)
	startTime       time.Time    // origin of lastReceived on the monotonic clock
	lastReceived    atomic.Int64 // ns from startTime to the last change or heartbeat; 0 for never
	deliverMu       sync.Mutex   // keeps documents in the same order in the table and at the sink

	// Requests to Run, and the events of watches. Of several unread requests of a kind only the last counts.
	followRequests chan struct{}
	addressChanges chan string
	replacements   chan []byte
	feedChanges    chan Feed
	syncedWatches  chan *watch // watches that have delivered the full list that they were opened for
	endedWatches   chan *watch

	// Used only by Run's goroutine.
	feed          Feed
	address       string
	current       *watch // the watch at address; nil while there is none
	previous      *watch // the watch at the previous address, open until current has delivered the full list
	needsFullList bool   // the full list is needed from address before its changes can be used
	watchCount    int64  // number of watches opened so far
	quickReopens  int    // watches reopened within TimeoutReopenDelay since one timed out
	retries       int    // failed calls since the change of address or since a watch last delivered a document
}

// New returns a Client with an empty list. dialTimeout bounds the time to establish a connection.
func New(address string, dialTimeout time.Duration, limits Limits, names Names, budget *descriptors.Budget,
	counters *stats.Set, log *slog.Logger) *Client {
	c := &Client{
		table:   newTable(address, Names{slices.Clone(names.Zones), slices.Clone(names.Kinds)}),
		address: address, budget: budget, stats: counters, log: log,
		connect: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext(ctx, "tcp", address)
		},
		startTime: time.Now(), onTokenRejected: func(uint64, string) {},
		followRequests: make(chan struct{}, 1), addressChanges: make(chan string, 1),
		replacements: make(chan []byte, 1), feedChanges: make(chan Feed, 1),
		syncedWatches: make(chan *watch), endedWatches: make(chan *watch),
	}
	c.SetLimits(limits)
	return c
}

// SetLimits changes the limits, including those of an open watch.
func (c *Client) SetLimits(l Limits) { c.limits.Store(&l) }

// OnTokenRejected sets the function that is called when the registry rejects a call because of its fencing
// token. It must be called before Run.
func (c *Client) OnTokenRejected(reject func(token uint64, why string)) { c.onTokenRejected = reject }

// Follow requests a watch and returns at once. While a watch is open it is a no-op.
func (c *Client) Follow() {
	select {
	case c.followRequests <- struct{}{}:
	default:
	}
}

// ChangeAddress makes the client follow the registry at another address; it returns at once.
func (c *Client) ChangeAddress(address string) { replaceLast(c.addressChanges, address) }

// Replace applies a full list from another source, in the registry's format; it returns at once.
func (c *Client) Replace(raw []byte) { replaceLast(c.replacements, raw) }

// SetFeed changes where lists come from; it returns at once. Calls in flight that have another token, or that
// are not wanted any more, are cancelled.
func (c *Client) SetFeed(f Feed) { replaceLast(c.feedChanges, f) }

// replaceLast sends a request on a channel of capacity one and discards an earlier request that has not been
// received yet.
func replaceLast[T any](requests chan T, last T) {
	select {
	case <-requests:
	default:
	}
	requests <- last
}

// LastSeen returns when a watch last received a change or a heartbeat, or the zero time if none ever did. A
// full list that a watch requests first does not count.
func (c *Client) LastSeen() time.Time {
	if at := c.lastReceived.Load(); at != 0 {
		return c.startTime.Add(time.Duration(at))
	}
	return time.Time{}
}

// markReceived records that a watch has received a change or a heartbeat now.
func (c *Client) markReceived() { c.lastReceived.Store(max(1, int64(time.Since(c.startTime)))) }
