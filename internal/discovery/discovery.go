// Package discovery follows the list of zone servers and keeps what a name stands for.
package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"cresshub/balance"
	"cresshub/internal/counters"
	"cresshub/internal/decide"
	"cresshub/internal/http1"
	"cresshub/internal/ring"
	"cresshub/internal/sockets"
)

const (
	// silence is how long a watch may say nothing. A line is due every 2 s; one that stays out means
	// that changes may be lost, which bind whether they arrived or not.
	silence = 3 * time.Second
	// maxLine bounds one object of the watch.
	maxLine = 1 << 20
)

// Sink takes in what discovery says.
type Sink interface {
	Listed(whole bool, list []decide.Server)
	ListFailed()
}

// Names are the words of the settings for zones and kinds, in their order.
type Names struct{ Zones, Kinds []string }

// Client follows discovery at one address.
type Client struct {
	address string
	dial    time.Duration
	sink    Sink
	changed func() // called after each list
	budget  *sockets.Budget
	count   *counters.Set
	log     *slog.Logger
	asked   chan struct{}

	mu        sync.Mutex
	names     Names
	index     int64
	byName    map[string]decide.ServerID
	taken     map[decide.ServerID]string
	inService map[decide.ServerID]string // of those in service
}

// document is what discovery sends, whole lists and changes alike.
type document struct {
	Index     int64 `json:"index"`
	Snapshot  bool  `json:"snapshot"`
	Endpoints []struct {
		Name    string  `json:"name"`
		Address string  `json:"address"`
		Zone    string  `json:"zone"`
		Type    string  `json:"type"`
		Group   int     `json:"group"`
		Status  string  `json:"status"`
		Weight  float64 `json:"weight"`
		SinceMS float64 `json:"since_ms"`
	} `json:"endpoints"`
}

var states = map[string]balance.ServerState{
	"in_service": balance.Up, "terminating": balance.Draining, "terminated": balance.Removed,
}

// New returns a Client that knows no server and asks nothing before Follow.
func New(address string, dial time.Duration, names Names, budget *sockets.Budget, count *counters.Set,
	log *slog.Logger) *Client {
	return &Client{
		address: address, dial: dial, budget: budget, count: count, log: log,
		asked:  make(chan struct{}, 1),
		names:  Names{slices.Clone(names.Zones), slices.Clone(names.Kinds)},
		byName: map[string]decide.ServerID{}, taken: map[decide.ServerID]string{},
		inService: map[decide.ServerID]string{},
	}
}

// Known takes in the list as it was held before the start and returns it for the decisions.
func (c *Client) Known(raw []byte) ([]decide.Server, error) {
	_, list, err := c.take(raw)
	return list, err
}

// Address returns where a server listens; false where it is not in service.
func (c *Client) Address(s decide.ServerID) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.inService[s]
	return a, ok
}

// Follow asks for the changes from now on; it returns at once. While a watch stands it is a no-op.
func (c *Client) Follow() {
	select {
	case c.asked <- struct{}{}:
	default:
	}
}

// Run watches whenever it is asked to, until ctx ends. After each list changed is called.
func (c *Client) Run(ctx context.Context, sink Sink, changed func()) {
	c.sink, c.changed = sink, changed
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.asked:
		}
		err := c.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		c.count.ListsFailed.Add()
		c.log.Warn("watch ended", "err", err)
		select { // asked again while it stood
		case <-c.asked:
		default:
		}
		c.sink.ListFailed()
	}
}

func (c *Client) watch(ctx context.Context) error {
	if !c.budget.Outward() {
		return errors.New("no socket left")
	}
	defer c.budget.Give()
	d := net.Dialer{Timeout: c.dial, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return err
	}
	defer raw.Close()
	defer context.AfterFunc(ctx, func() { raw.Close() })()
	conn := ring.NewConn(raw)
	c.mu.Lock()
	from := strconv.FormatInt(c.index, 10)
	c.mu.Unlock()
	conn.SetDeadline(time.Now().Add(silence))
	q := http1.Request{Method: "GET", Target: "/registry/instances?watch=1&from=" + from,
		Header: http1.Header{{Name: "Host", Value: c.address}}}
	if err := q.Write(conn.Out); err != nil {
		return err
	}
	if err := conn.Flush(); err != nil {
		return err
	}
	status, body, err := http1.ReadStream(conn.In)
	if err != nil {
		return err
	}
	if status != 200 {
		return fmt.Errorf("discovery answered %d", status)
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	for {
		conn.SetReadDeadline(time.Now().Add(silence))
		if !lines.Scan() {
			return errors.Join(lines.Err(), io.EOF)
		}
		if len(lines.Bytes()) == 0 {
			continue
		}
		whole, list, err := c.take(lines.Bytes())
		if err != nil {
			return err
		}
		c.count.Lists.Add()
		c.sink.Listed(whole, list)
		c.changed()
	}
}

// take applies one document: from here on no attempt begins at a server that it takes out of service.
func (c *Client) take(raw []byte) (whole bool, list []decide.Server, err error) {
	var doc document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return false, nil, err
	}
	for i := range doc.Endpoints {
		e := &doc.Endpoints[i]
		if _, ok := states[e.Status]; !ok || e.Name == "" || e.Group < 0 || !(e.SinceMS >= 0 && e.SinceMS < 1e15) {
			return false, nil, fmt.Errorf("endpoint %d (%.40q) makes no sense", i, e.Name)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index = doc.Index
	if doc.Snapshot {
		// A machine that is replaced comes back under another name: without this the names of all that
		// ever were would be kept.
		clear(c.inService)
		clear(c.byName)
		clear(c.taken)
	}
	for i := range doc.Endpoints {
		e := &doc.Endpoints[i]
		s := decide.Server{
			ID: c.id(e.Name), Zone: place(&c.names.Zones, e.Zone), Kind: place(&c.names.Kinds, e.Type),
			Cell: e.Group, State: states[e.Status], Rating: e.Weight,
			Started: time.Duration(math.Round(e.SinceMS*1000)) * time.Microsecond,
		}
		list = append(list, s)
		if delete(c.inService, s.ID); s.State == balance.Up {
			c.inService[s.ID] = e.Address
		}
	}
	return doc.Snapshot, list, nil
}

// place finds a word's position; one the settings do not name gets a position behind theirs.
func place(words *[]string, w string) int {
	i := slices.Index(*words, w)
	if i < 0 {
		i = len(*words)
		*words = append(*words, w)
	}
	return i
}

// id gives a name its number: the same at every client proxy, for the decisions place keys by it. Only
// where two names meet in one number does it depend on which was seen first.
func (c *Client) id(name string) decide.ServerID {
	if s, ok := c.byName[name]; ok {
		return s
	}
	h := fnv.New32a()
	io.WriteString(h, name)
	s := decide.ServerID(h.Sum32())
	for c.taken[s] != "" {
		s++
	}
	c.byName[name], c.taken[s] = s, name
	return s
}
