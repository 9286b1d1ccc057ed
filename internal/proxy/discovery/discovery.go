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
	// Silence is how long a watch may say nothing. A line is due every 2 s; one that stays out means
	// that changes may be lost, which bind whether they arrived or not.
	Silence time.Duration
	// MaxList bounds one object of the watch, in bytes.
	MaxList int
	// Again is the longest pause before a watch that ended is opened again, where changes bind from the moment
	// discovery has them: then nobody asks for them by Follow. 0 is where somebody does.
	Again time.Duration
}

// Reopen is the longest pause before a watch that fell silent is opened anew: all watches may fall silent at
// once, and what they miss binds soon.
func (l *Limits) Reopen() time.Duration {
	if l.Again > 0 {
		return min(l.Silence/4, l.Again*2/3)
	}
	return l.Silence / 4
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
	connect func(ctx context.Context, address string) (net.Conn, error)
	limits  atomic.Pointer[Limits]
	sink    Sink
	changed func() // called after each list
	budget  *descriptors.Budget
	count   *stats.Set
	log     *slog.Logger
	asked   chan struct{}
	moved   chan string
	fixed   chan []byte // lists that come from elsewhere
	feeds   chan Feed
	told    chan *watch // a watch that has told the whole list afresh
	ended   chan *watch
	begun   time.Time    // heard counts from here, by the monotonic clock
	heard   atomic.Int64 // when a watch said something last, ns since begun; 0 for never
	refused func(token uint64, why string)

	// What Run alone uses.
	address string
	now     *watch // the one followed, nil while there is none
	before  *watch // at the address left; it stands until the one followed has told the list
	moving  bool   // nothing was told at address yet
	again   int    // times that one was opened anew without being asked for, since one fell silent
	retries int    // since the move, or since a watch told something last
	feed    Feed
	watches int64 // begun

	telling   sync.Mutex // keeps documents in one order here and at the sink
	mu        sync.Mutex
	names     Names
	index     int64
	source    int64  // number of the watch that is believed
	origin    string // where the list comes from
	byName    map[string]dispatch.ServerID
	taken     map[dispatch.ServerID]string
	inService map[dispatch.ServerID]string   // of those in service
	listed    map[string]serverlist.Endpoint // by name, for whoever takes over from this process
}

// watch is one call to discovery that stays open.
type watch struct {
	number  int64 // rises from watch to watch
	address string
	afresh  bool // the whole list is wanted: what another service counts is not continued
	token   uint64
	cancel  context.CancelFunc
	said    bool  // it told something
	err     error // why it ended
}

// New returns a Client that knows no server and asks nothing before Follow.
func New(address string, dial time.Duration, limits Limits, names Names, budget *descriptors.Budget,
	count *stats.Set, log *slog.Logger) *Client {
	c := &Client{
		address: address, budget: budget, count: count, log: log,
		connect: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{Timeout: dial, KeepAlive: -1}).DialContext(ctx, "tcp", address)
		},
		asked: make(chan struct{}, 1), moved: make(chan string, 1), fixed: make(chan []byte, 1),
		begun: time.Now(), feeds: make(chan Feed, 1), refused: func(uint64, string) {}, told: make(chan *watch),
		ended:  make(chan *watch),
		origin: address,
		names:  Names{slices.Clone(names.Zones), slices.Clone(names.Kinds)},
		byName: map[string]dispatch.ServerID{}, taken: map[dispatch.ServerID]string{},
		inService: map[dispatch.ServerID]string{}, listed: map[string]serverlist.Endpoint{},
	}
	c.SetLimits(limits)
	return c
}

// SetLimits changes the limits; a watch goes on by the new ones.
func (c *Client) SetLimits(l Limits) { c.limits.Store(&l) }

// Follow asks for the changes from now on; it returns at once. While a watch stands it is a no-op.
func (c *Client) Follow() {
	select {
	case c.asked <- struct{}{}:
	default:
	}
}

// Move follows discovery at another address from now on; it returns at once.
func (c *Client) Move(address string) {
	select {
	case <-c.moved: // only the last of several counts
	default:
	}
	c.moved <- address
}

// Replace takes in a whole list that comes from elsewhere, in discovery's form; it returns at once.
func (c *Client) Replace(raw []byte) {
	select {
	case <-c.fixed: // only the last of several counts
	default:
	}
	c.fixed <- raw
}

// Feed says where lists come from.
type Feed struct {
	Held  bool   // from Replace alone: discovery is not asked
	Token uint64 // fencing token that calls on discovery carry, 0 for none
}

// Feed changes where lists come from; it returns at once. Calls that are under way with another token, or
// where none is wanted, end.
func (c *Client) Feed(f Feed) {
	select {
	case <-c.feeds: // only the last of several counts
	default:
	}
	c.feeds <- f
}

// Refused has refuse called where discovery refuses a call for its token. It is called before Run.
func (c *Client) Refused(refuse func(token uint64, why string)) { c.refused = refuse }

// LastSeen is when discovery said something last on a watch, zero where it never did.
func (c *Client) LastSeen() time.Time {
	if at := c.heard.Load(); at != 0 {
		return c.begun.Add(time.Duration(at))
	}
	return time.Time{}
}

// fedBy takes over where lists come from.
func (c *Client) fedBy(ctx context.Context, f Feed) {
	if f == c.feed {
		return
	}
	c.feed = f
	c.leave(c.now)
	c.leave(c.before)
	c.now, c.before = nil, nil
	c.mu.Lock()
	c.source = c.watches + 1 // what the left ones have read and not told is not heard
	c.mu.Unlock()
	if !f.Held {
		c.now = c.start(ctx, c.address, c.moving)
	}
}

// Run watches whenever it is asked to, until ctx ends. After each list changed is called.
func (c *Client) Run(ctx context.Context, sink Sink, changed func()) {
	c.sink, c.changed = sink, changed
	retry := time.NewTimer(time.Hour)
	defer retry.Stop()
	select { // said before the start: nothing is asked before it holds
	case f := <-c.feeds:
		c.fedBy(ctx, f)
	default:
	}
	if c.unasked() && !c.feed.Held && c.now == nil {
		c.moving = true // what was known before the start may be old, and what discovery has binds
		c.now = c.start(ctx, c.address, true)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.asked:
			if c.now == nil && !c.moving && !c.feed.Held {
				c.now = c.start(ctx, c.address, false)
			}
		case address := <-c.moved:
			c.move(ctx, address)
		case f := <-c.feeds:
			c.fedBy(ctx, f)
		case raw := <-c.fixed:
			if err := c.tell(nil, raw); err != nil {
				c.log.Error("list kept, the new one cannot be used", logging.Err, err)
			}
		case <-retry.C:
			if c.now == nil && (c.moving || c.again > 0 || c.unasked()) && !c.feed.Held {
				c.now = c.start(ctx, c.address, c.moving)
			}
		case w := <-c.told:
			if w != c.now {
				break
			}
			c.moving, c.retries = false, 0
			c.leave(c.before)
			c.before = nil
		case w := <-c.ended:
			if wait := c.end(w); wait > 0 {
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
	if c.moving {
		c.leave(c.now)
	} else {
		c.before = c.now
	}
	c.address, c.moving, c.retries = address, true, 0
	if c.now = nil; !c.feed.Held {
		c.now = c.start(ctx, address, true)
	}
}
