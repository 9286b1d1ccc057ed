package proxystandin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"cresshub/internal/cluster/lease"
)

// SinkEntry is the unit that the billing sink stores: the sums of one period and tenant, or a correction.
type SinkEntry struct {
	ID     string     `json:"id"`
	Period uint64     `json:"period"`
	Tenant string     `json:"tenant"`
	Lines  []SinkLine `json:"lines"`
	Reason string     `json:"reason,omitempty"`
}

// SinkLine is the sum of an entry for one class and final answer.
type SinkLine struct {
	Class    string `json:"class"`
	Answer   string `json:"answer"`
	Count    int64  `json:"n"`
	BytesIn  int64  `json:"bytes_in"`
	BytesOut int64  `json:"bytes_out"`
}

// SinkCall is one call on the sink, with its result.
type SinkCall struct {
	At       time.Time
	Token    uint64 // 0 if the call had none or a malformed one
	Status   int
	Entries  int
	Stored   int
	Repeated int
}

// SinkFault is a fault that the sink injects into its answers.
type SinkFault struct {
	Status  int           // answers this status and stores nothing; 0 for none
	Delay   time.Duration // before the answer, after storing
	Reset   bool          // stores, then resets the connection instead of answering
	Garbage bool          // stores, then answers malformed JSON
}

// Bounds of what the sink accepts and retains.
const (
	maxSinkBody  = 8 << 20
	maxSinkCalls = 1 << 20
)

// Sink is the billing service that receives exports of the ledger: POST /entries with an array of SinkEntry
// and a fencing token. It remembers the highest token, refuses lower ones with 409, and is idempotent: an
// entry that is stored already counts as "repeated".
type Sink struct {
	listener net.Listener
	server   http.Server

	mu        sync.Mutex
	fence     lease.Fence
	entries   map[string]SinkEntry
	calls     []SinkCall
	fault     SinkFault
	conflicts int // entries sent again with different content, refused with 422
}

// NewSink returns an empty sink that listens nowhere: calls are handed to ServeHTTP.
func NewSink() *Sink { return &Sink{entries: map[string]SinkEntry{}} }

// StartSink starts an empty sink at address.
func StartSink(address string) (*Sink, error) {
	s := NewSink()
	var err error
	if s.listener, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	s.server = http.Server{Handler: s, ReadTimeout: 10 * time.Second,
		WriteTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	go func() { _ = s.server.Serve(s.listener) }() // returns an error in any case, once Close is called
	return s, nil
}

// Address returns the host:port it listens on.
func (s *Sink) Address() string { return s.listener.Addr().String() }

// Close closes the listener and all connections.
func (s *Sink) Close() { _ = s.server.Close() }

// SetFault injects f into all calls from now on; the zero SinkFault ends that.
func (s *Sink) SetFault(f SinkFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Entries returns the stored entries by id.
func (s *Sink) Entries() map[string]SinkEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make(map[string]SinkEntry, len(s.entries))
	for id, e := range s.entries {
		entries[id] = e
	}
	return entries
}

// Calls returns all calls so far, in the order of their decisions.
func (s *Sink) Calls() []SinkCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// Conflicts returns how many entries were sent again with different content.
func (s *Sink) Conflicts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conflicts
}

// ServeHTTP answers one call.
func (s *Sink) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/entries" || req.Method != http.MethodPost {
		http.Error(w, "there is POST /entries alone", http.StatusNotFound)
		return
	}
	received := time.Now()
	token, entries, err := readExport(w, req)
	call, fault, problem := s.decide(SinkCall{At: received, Token: token, Entries: len(entries)}, entries, err)
	time.Sleep(fault.Delay)
	switch {
	case fault.Reset:
		panic(http.ErrAbortHandler)
	case fault.Garbage:
		_, _ = fmt.Fprint(w, `{"stored": "many`) // the caller may have hung up
	case call.Status != http.StatusOK:
		http.Error(w, problem, call.Status)
	default:
		// A caller that has hung up learns nothing; the entries are stored.
		_, _ = fmt.Fprintf(w, "{\"stored\":%d,\"repeated\":%d}\n", call.Stored, call.Repeated)
	}
}

// readExport reads the token and the entries of a call; the token is valid even if the entries are malformed.
func readExport(w http.ResponseWriter, req *http.Request) (token uint64, entries []SinkEntry, err error) {
	token, err = lease.ParseToken(req.Header.Get(lease.TokenHeader))
	if err == nil {
		err = json.NewDecoder(http.MaxBytesReader(w, req.Body, maxSinkBody)).Decode(&entries)
	}
	if err == nil {
		err = validateEntries(entries)
	}
	return token, entries, err
}

// decide applies a call to the sink, unless readErr or the fence refuses it, and logs it. It returns the call
// with its result, the fault to inject into its answer, and the problem where the status isn't 200.
func (s *Sink) decide(call SinkCall, entries []SinkEntry, readErr error) (SinkCall, SinkFault, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.fault
	call.Status = http.StatusOK
	problem := ""
	switch {
	case readErr != nil:
		call.Status, problem = http.StatusBadRequest, readErr.Error()
	case fault.Status != 0:
		call.Status, problem = fault.Status, "a fault was injected"
	default:
		if err := s.fence.Admit(call.Token); err != nil {
			call.Status, problem = http.StatusConflict, err.Error()
			break
		}
		if problem = s.store(entries, &call); problem != "" {
			call.Status = http.StatusUnprocessableEntity
		}
	}
	if s.calls = append(s.calls, call); len(s.calls) > maxSinkCalls {
		s.calls = slices.Delete(s.calls, 0, maxSinkCalls/2)
	}
	return call, fault, problem
}

// store stores all entries of a call, or none if one differs from what is stored under its id; then it
// returns the problem. s.mu is held.
func (s *Sink) store(entries []SinkEntry, call *SinkCall) string {
	for _, e := range entries {
		if old, ok := s.entries[e.ID]; ok && !reflect.DeepEqual(old, e) {
			s.conflicts++
			return fmt.Sprintf("entry %q differs from what is stored", e.ID)
		}
	}
	for _, e := range entries {
		if _, ok := s.entries[e.ID]; ok {
			call.Repeated++
			continue
		}
		s.entries[e.ID] = e
		call.Stored++
	}
	return ""
}

// validateEntries returns the first problem of entries.
func validateEntries(entries []SinkEntry) error {
	ids := map[string]bool{}
	for i, e := range entries {
		switch {
		case e.ID == "" || strings.ContainsFunc(e.ID, func(r rune) bool { return r < ' ' }):
			return fmt.Errorf("entry %d has no id", i)
		case ids[e.ID]:
			return fmt.Errorf("entry %q comes twice in one call", e.ID)
		case e.Period == 0 || e.Tenant == "":
			return fmt.Errorf("entry %q names no period or no tenant", e.ID)
		}
		ids[e.ID] = true
	}
	return nil
}

// Audit replays the calls and reports what no fence may let through: an accepted token that is lower than one
// accepted before, or more entries stored than exist. It doesn't use the sink's own fence. stale counts the
// accepted calls of former owners, refused those answered with 409.
func (s *Sink) Audit() (stale, refused int, err error) {
	highest, stored := uint64(0), 0
	for _, c := range s.Calls() {
		switch c.Status {
		case http.StatusOK:
			if c.Token < highest {
				stale++
			}
			highest = max(highest, c.Token)
			stored += c.Stored
		case http.StatusConflict:
			refused++
		}
	}
	switch entries := len(s.Entries()); {
	case stale > 0:
		err = fmt.Errorf("%d calls of stale owners were taken", stale)
	case stored != entries:
		err = fmt.Errorf("%d entries were stored, and there are %d", stored, entries)
	case s.Conflicts() > 0:
		err = errors.New("an entry came again with other content")
	}
	return stale, refused, err
}
