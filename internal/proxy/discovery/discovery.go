// Package discovery follows the list of zone servers and keeps what a name stands for.
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
	"cresshub/internal/proxy/logging"
	"cresshub/internal/proxy/serverlist"
	"cresshub/internal/proxy/stats"
)

// Limits are what discovery may keep this side waiting for; they may change while it is followed.
type Limits struct {
	// WatchTimeout is how long a watch may say nothing. A line is due every 2 s; one that stays out means
	// that changes may be lost, which bind whether they arrived or not.
	WatchTimeout time.Duration
	// MaxListBytes bounds one object of the watch, in bytes.
	MaxListBytes int
	// MaxReopenDelay is the longest pause before a watch that ended is opened again, where changes bind from the moment
	// discovery has them: then nobody asks for them by Follow. 0 is where somebody does.
	MaxReopenDelay time.Duration
}

// TimeoutReopenDelay is the longest pause before a watch that fell silent is opened anew: all watches may fall silent at
// once, and what they miss binds soon.
func (l *Limits) TimeoutReopenDelay() time.Duration {
	if l.MaxReopenDelay > 0 {
		return min(l.WatchTimeout/4, l.MaxReopenDelay*2/3)
	}
	return l.WatchTimeout / 4
}

// Sink takes in what discovery says.
type Sink interface {
	UpdateList(full bool, list []dispatch.Server)
	ListFailed()
}

// Names are the words of the settings for zones and kinds, in their order.
type Names struct{ Zones, Kinds []string }

// Client follows discovery, at one address at a time.
type Client struct {
	connect         func(ctx context.Context, address string) (net.Conn, error)
	limits          atomic.Pointer[Limits]
	sink            Sink
	changed         func() // called after each list
	budget          *descriptors.Budget
	stats           *stats.Set
	log             *slog.Logger
	followRequests  chan struct{}
	addressChanges  chan string
	replacements    chan []byte // lists that come from elsewhere
	feedChanges     chan Feed
	syncedWatches   chan *watch // a watch that has told the whole list afresh
	endedWatches    chan *watch
	startTime       time.Time    // heard counts from here, by the monotonic clock
	lastReceived    atomic.Int64 // when a watch said something last, ns since begun; 0 for never
	onTokenRejected func(token uint64, why string)

	// What Run alone uses.
	address      string
	current      *watch // the one followed, nil while there is none
	previous     *watch // at the address left; it stands until the one followed has told the list
	unsynced     bool   // nothing was told at address yet
	quickReopens int    // times that one was opened anew without being asked for, since one fell silent
	retries      int    // since the move, or since a watch told something last
	feed         Feed
	watchCount   int64 // begun

	deliverMu   sync.Mutex // keeps documents in one order here and at the sink
	mu          sync.Mutex
	names       Names
	index       int64
	sourceWatch int64  // number of the watch that is believed
	origin      string // where the list comes from
	idByName    map[string]dispatch.ServerID
	nameByID    map[dispatch.ServerID]string
	addresses   map[dispatch.ServerID]string   // of those in service
	endpoints   map[string]serverlist.Endpoint // by name, for whoever takes over from this process
}

// watch is one call to discovery that stays open.
type watch struct {
	number    int64 // rises from watch to watch
	address   string
	fullList  bool // the whole list is wanted: what another service counts is not continued
	token     uint64
	cancel    context.CancelFunc
	delivered bool  // it told something
	err       error // why it ended
}

// New returns a Client that knows no server and asks nothing before Follow.
func New(address string, dial time.Duration, limits Limits, names Names, budget *descriptors.Budget,
	counters *stats.Set, log *slog.Logger) *Client {
	c := &Client{
		address: address, budget: budget, stats: counters, log: log,
		connect: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{Timeout: dial, KeepAlive: -1}).DialContext(ctx, "tcp", address)
		},
		followRequests: make(chan struct{}, 1), addressChanges: make(chan string, 1),
		replacements: make(chan []byte, 1), feedChanges: make(chan Feed, 1),
		syncedWatches: make(chan *watch), endedWatches: make(chan *watch),
		startTime: time.Now(), onTokenRejected: func(uint64, string) {},
		origin:   address,
		names:    Names{slices.Clone(names.Zones), slices.Clone(names.Kinds)},
		idByName: map[string]dispatch.ServerID{}, nameByID: map[dispatch.ServerID]string{},
		addresses: map[dispatch.ServerID]string{}, endpoints: map[string]serverlist.Endpoint{},
	}
	c.SetLimits(limits)
	return c
}

// SetLimits changes the limits; a watch goes on by the new ones.
func (c *Client) SetLimits(l Limits) { c.limits.Store(&l) }

// Follow asks for the changes from now on; it returns at once. While a watch stands it is a no-op.
func (c *Client) Follow() {
	select {
	case c.followRequests <- struct{}{}:
	default:
	}
}

// Move follows discovery at another address from now on; it returns at once.
func (c *Client) Move(address string) {
	select {
	case <-c.addressChanges: // only the last of several counts
	default:
	}
	c.addressChanges <- address
}

// Replace takes in a whole list that comes from elsewhere, in discovery's form; it returns at once.
func (c *Client) Replace(raw []byte) {
	select {
	case <-c.replacements: // only the last of several counts
	default:
	}
	c.replacements <- raw
}

// Feed says where lists come from.
type Feed struct {
	ReplaceOnly bool   // from Replace alone: discovery is not asked
	Token       uint64 // fencing token that calls on discovery carry, 0 for none
}

// Feed changes where lists come from; it returns at once. Calls that are under way with another token, or
// where none is wanted, end.
func (c *Client) Feed(f Feed) {
	select {
	case <-c.feedChanges: // only the last of several counts
	default:
	}
	c.feedChanges <- f
}

// OnTokenRejected has refuse called where discovery refuses a call for its token. It is called before Run.
func (c *Client) OnTokenRejected(reject func(token uint64, why string)) { c.onTokenRejected = reject }

// LastSeen is when discovery said something last on a watch, zero where it never did.
func (c *Client) LastSeen() time.Time {
	if at := c.lastReceived.Load(); at != 0 {
		return c.startTime.Add(time.Duration(at))
	}
	return time.Time{}
}

// applyFeed takes over where lists come from.
func (c *Client) applyFeed(ctx context.Context, f Feed) {
	if f == c.feed {
		return
	}
	c.feed = f
	c.stopWatch(c.current)
	c.stopWatch(c.previous)
	c.current, c.previous = nil, nil
	c.mu.Lock()
	c.sourceWatch = c.watchCount + 1 // what the left ones have read and not told is not heard
	c.mu.Unlock()
	if !f.ReplaceOnly {
		c.current = c.startWatch(ctx, c.address, c.unsynced)
	}
}

// Run watches whenever it is asked to, until ctx ends. After each list changed is called.
func (c *Client) Run(ctx context.Context, sink Sink, changed func()) {
	c.sink, c.changed = sink, changed
	retry := time.NewTimer(time.Hour)
	defer retry.Stop()
	select { // said before the start: nothing is asked before it holds
	case f := <-c.feedChanges:
		c.applyFeed(ctx, f)
	default:
	}
	if c.followsAlways() && !c.feed.ReplaceOnly && c.current == nil {
		c.unsynced = true // what was known before the start may be old, and what discovery has binds
		c.current = c.startWatch(ctx, c.address, true)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.followRequests:
			if c.current == nil && !c.unsynced && !c.feed.ReplaceOnly {
				c.current = c.startWatch(ctx, c.address, false)
			}
		case address := <-c.addressChanges:
			c.move(ctx, address)
		case f := <-c.feedChanges:
			c.applyFeed(ctx, f)
		case raw := <-c.replacements:
			if err := c.deliver(nil, raw); err != nil {
				c.log.Error("list kept, the new one cannot be used", logging.Err, err)
			}
		case <-retry.C:
			if c.current == nil && (c.unsynced || c.quickReopens > 0 || c.followsAlways()) && !c.feed.ReplaceOnly {
				c.current = c.startWatch(ctx, c.address, c.unsynced)
			}
		case w := <-c.syncedWatches:
			if w != c.current {
				break
			}
			c.unsynced, c.retries = false, 0
			c.stopWatch(c.previous)
			c.previous = nil
		case w := <-c.endedWatches:
			if wait := c.handleEnd(w); wait > 0 {
				retry.Reset(wait)
			}
		}
	}
}

// move turns to another address at once. The watch that told the list so far stands until the new
// one has told its own, so that no change is missed between them.
func (c *Client) move(ctx context.Context, address string) {
	if address == c.address {
		return
	}
	c.log.Info("discovery moved", "from", c.address, "to", address)
	if c.unsynced {
		c.stopWatch(c.current)
	} else {
		c.previous = c.current
	}
	c.address, c.unsynced, c.retries = address, true, 0
	if c.current = nil; !c.feed.ReplaceOnly {
		c.current = c.startWatch(ctx, address, true)
	}
}
