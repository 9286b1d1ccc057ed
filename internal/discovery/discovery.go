// Package discovery follows the list of zone servers and keeps what a name stands for.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cresshub/internal/counters"
	"cresshub/internal/decide"
	"cresshub/internal/http1"
	"cresshub/internal/lease"
	"cresshub/internal/logging"
	"cresshub/internal/registry"
	"cresshub/internal/ring"
	"cresshub/internal/sockets"
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
	Listed(whole bool, list []decide.Server)
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
	budget  *sockets.Budget
	count   *counters.Set
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
	byName    map[string]decide.ServerID
	taken     map[decide.ServerID]string
	inService map[decide.ServerID]string   // of those in service
	listed    map[string]registry.Endpoint // by name, for whoever takes over from this process
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
func New(address string, dial time.Duration, limits Limits, names Names, budget *sockets.Budget,
	count *counters.Set, log *slog.Logger) *Client {
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
		byName: map[string]decide.ServerID{}, taken: map[decide.ServerID]string{},
		inService: map[decide.ServerID]string{}, listed: map[string]registry.Endpoint{},
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

// Heard is when discovery said something last on a watch, zero where it never did.
func (c *Client) Heard() time.Time {
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
	if !c.budget.Take(sockets.Servers) {
		return errors.New("no socket left")
	}
	defer c.budget.Give(sockets.Servers)
	raw, err := c.connect(ctx, w.address)
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		return errCut
	} else if err != nil {
		return err
	}
	defer raw.Close()
	defer context.AfterFunc(ctx, func() { raw.Close() })()
	conn := ring.NewConn(raw)
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
func (c *Client) ask(conn *ring.Conn, w *watch, query string) (io.Reader, error) {
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
	c.sink.Listed(whole, list)
	c.changed()
	c.count.Lists.Add()
	return err
}
