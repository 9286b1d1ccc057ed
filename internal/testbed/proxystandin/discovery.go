package proxystandin

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cresshub/internal/cluster/lease"
	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
)

// The rules whose violations the stand-ins count.
const (
	DrainGrace   = 1500 * time.Millisecond // from the notification of a drain until no request may arrive
	UnsafePrefix = "rider"                 // requests of classes with this prefix must never run twice
)

// Endpoint is one line of discovery's list. As stand-ins know nothing of the proxy, the form of the list and
// how changes apply to it stand here once more, apart from internal/proxy/serverlist and
// internal/proxy/discovery: a stand-in that shared the proxy's reading would share its mistakes.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"` // in_service, terminating or terminated
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// document is one message of discovery: a snapshot, or the changes up to Index.
type document struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// heartbeatInterval is how often a watch sends an empty line while nothing changes.
const heartbeatInterval = 2 * time.Second

// maxChanges is how many changes discovery retains; a watch from before them gets a snapshot.
const maxChanges = 1024

// Discovery is the service that lists the zone servers and streams changes to watches.
type Discovery struct {
	listener *Listener

	mu          sync.Mutex
	index       int64
	current     map[string]Endpoint
	changes     []change
	changed     chan struct{} // closes with the next change
	closed      chan struct{}
	failing     bool
	calls       int
	fence       lease.Fence // for calls that carry a token
	ownerCalls  OwnerCalls
	closeOnce   sync.Once
	onDelivered func([]Endpoint) // receives what a caller was just sent; may be nil
}

// OwnerCalls counts the calls that carried a fencing token.
type OwnerCalls struct {
	Accepted     int
	Stale        int // refused: lower than a token seen before
	Malformed    int // refused: no token
	EndedWatches int // ended as a higher token arrived
}

// change is one change of the list; index numbers them.
type change struct {
	index int64
	entry Endpoint
}

// StartDiscovery starts discovery at address with an empty list.
func StartDiscovery(address string) (*Discovery, error) {
	d := &Discovery{current: map[string]Endpoint{}, changed: make(chan struct{}), closed: make(chan struct{})}
	var err error
	if d.listener, err = Listen(address, 0, d.serve); err != nil {
		return nil, err
	}
	return d, nil
}

// OnDelivered sets a callback for the entries that a caller was just sent. It must be set before the first
// call.
func (d *Discovery) OnDelivered(onDelivered func([]Endpoint)) { d.onDelivered = onDelivered }

// notifyDelivered reports entries that a caller was just sent.
func (d *Discovery) notifyDelivered(entries []Endpoint) {
	if d.onDelivered != nil && len(entries) > 0 {
		d.onDelivered(entries)
	}
}

// Address returns the host:port it listens on.
func (d *Discovery) Address() string { return d.listener.Address() }

// Calls returns how many calls arrived, watches included.
func (d *Discovery) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// OwnerCalls returns the counts of calls that carried a fencing token.
func (d *Discovery) OwnerCalls() OwnerCalls {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ownerCalls
}

// tokenCheck is what became of a call's fencing token.
type tokenCheck struct {
	token   uint64 // 0 for a call without one
	status  int    // HTTP status of the refusal, 0 if the call may proceed
	problem string // why it was refused
}

// checkToken checks a call's fencing token; a call without one passes. A token higher than any before ends
// the watches of lower ones.
func (d *Discovery) checkToken(text string) tokenCheck {
	if text == "" {
		return tokenCheck{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	token, err := lease.ParseToken(text)
	if err != nil {
		d.ownerCalls.Malformed++
		return tokenCheck{status: 400, problem: err.Error()}
	}
	before := d.fence.HighestToken
	if err := d.fence.Admit(token); err != nil {
		d.ownerCalls.Stale++
		return tokenCheck{status: 409, problem: err.Error()}
	}
	d.ownerCalls.Accepted++
	if before != 0 && token > before {
		d.signalChange()
	}
	return tokenCheck{token: token}
}

// signalChange wakes all watches; d.mu is held.
func (d *Discovery) signalChange() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// superseded reports whether a higher token arrived since a watch began, and counts the end of that watch.
func (d *Discovery) superseded(token uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if token == 0 || token >= d.fence.HighestToken {
		return false
	}
	d.ownerCalls.EndedWatches++
	return true
}

// Set changes entries and notifies every watch. A terminated entry leaves the list.
func (d *Discovery) Set(entries ...Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		d.index++
		d.changes = append(d.changes, change{d.index, e})
		if e.Status == statusTerminated {
			delete(d.current, e.Name)
		} else {
			d.current[e.Name] = e
		}
	}
	if extra := len(d.changes) - maxChanges; extra > 0 {
		d.changes = slices.Delete(d.changes, 0, extra)
	}
	d.signalChange()
}

// Fail makes all calls be answered with 503 and ends the watches; false ends the fault.
func (d *Discovery) Fail(failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = failing
	d.signalChange()
}

// Close ends all watches and connections and waits for their goroutines.
func (d *Discovery) Close() {
	d.closeOnce.Do(func() { close(d.closed) })
	d.listener.Close(false)
}

// state is what a call is answered with.
type state struct {
	document
	changed <-chan struct{} // closes with the next change
	failing bool
}

// since returns the changes after index from, or a snapshot if full or if those changes are no longer
// retained.
func (d *Discovery) since(from int64, full bool) state {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := state{document: document{Index: d.index, Endpoints: []Endpoint{}}, changed: d.changed,
		failing: d.failing}
	if full || from > d.index || len(d.changes) > 0 && from < d.changes[0].index-1 {
		now.Snapshot = true
		now.Endpoints = slices.AppendSeq(now.Endpoints, maps.Values(d.current))
		slices.SortFunc(now.Endpoints, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
		return now
	}
	for _, c := range d.changes {
		if c.index > from {
			now.Endpoints = append(now.Endpoints, c.entry)
		}
	}
	return now
}

// watchQuery precedes, in the query of a watch, the index from which on it wants changes.
const watchQuery = "watch=1&from="

func (d *Discovery) serve(c *connbuffer.Conn) {
	for {
		c.SetDeadline(time.Now().Add(time.Minute))
		req, err := http1.ReadRequest(c.In)
		if err != nil {
			return
		}
		path, query, _ := strings.Cut(req.Target, "?")
		_, fromText, isWatch := strings.Cut(query, watchQuery)
		from, err := strconv.ParseInt(fromText, 10, 64)
		failing := d.countCall()
		caller := d.checkToken(req.Header.Get(lease.TokenHeader))
		resp := &http1.Response{Status: 200}
		var listed []Endpoint
		switch {
		case failing:
			resp.Status = 503
		case caller.status != 0:
			resp.Status, resp.Body = caller.status, []byte(caller.problem+"\n")
		case path != "/registry/instances" || isWatch && err != nil:
			resp.Status = 404
		case isWatch:
			d.watch(c, from, caller.token)
			return
		default:
			snapshot := d.since(0, true).document
			resp.Body, _ = json.Marshal(snapshot)
			listed = snapshot.Endpoints
		}
		if resp.Write(c.Out) != nil || c.Flush() != nil {
			return
		}
		d.notifyDelivered(listed)
	}
}

// countCall counts a call, and reports whether discovery is failing.
func (d *Discovery) countCall() (failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	return d.failing
}

// watch streams changes, a JSON line in a chunk each, until either side ends.
func (d *Discovery) watch(c *connbuffer.Conn, from int64, token uint64) {
	c.Out.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	hungUp := make(chan struct{})
	go func() {
		defer close(hungUp)
		c.SetReadDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, c.In) // ends with the connection, however it ends
	}()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		now := d.since(from, from == 0 && first)
		if now.failing || d.superseded(token) {
			return
		}
		payload := []byte{}
		if first || len(now.Endpoints) > 0 {
			payload, _ = json.Marshal(now.document)
			from = now.Index
		}
		c.SetWriteDeadline(time.Now().Add(heartbeatInterval))
		_, _ = fmt.Fprintf(c.Out, "%x\r\n%s\n\r\n", len(payload)+1, payload) // Flush returns its error
		if c.Flush() != nil {
			return
		}
		if len(payload) > 0 {
			d.notifyDelivered(now.Endpoints)
		}
		select {
		case <-now.changed:
		case <-heartbeat.C:
		case <-hungUp:
			return
		case <-d.closed:
			return
		}
	}
}
