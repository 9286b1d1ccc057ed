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

// SinkEntry is what the billing sink stores: sums of one period and tenant, or a correction.
type SinkEntry struct {
	ID     string     `json:"id"`
	Period uint64     `json:"period"`
	Tenant string     `json:"tenant"`
	Lines  []SinkLine `json:"lines"`
	Reason string     `json:"reason,omitempty"`
}

// SinkLine is an entry's sum of one class and final answer.
type SinkLine struct {
	Class    string `json:"class"`
	Answer   string `json:"answer"`
	Count    int64  `json:"n"`
	BytesIn  int64  `json:"bytes_in"`
	BytesOut int64  `json:"bytes_out"`
}

// SinkCall is one call that the sink saw.
type SinkCall struct {
	At       time.Time
	Token    uint64 // 0 where the call had none that could be read
	Status   int
	Entries  int
	Stored   int
	Repeated int
}

// SinkFault is how the sink goes wrong.
type SinkFault struct {
	Status  int           // answers this and stores nothing; 0 for none
	Delay   time.Duration // before it answers, after it has stored
	Reset   bool          // stores, and resets the connection instead of answering
	Garbage bool          // stores, and answers what makes no sense
}

// Bounds of what the sink takes and keeps.
const (
	maxSinkBody  = 8 << 20
	maxSinkCalls = 1 << 20
)

// Sink is the billing service that takes exports of the ledger: POST /entries with an array of SinkEntry and
// a fencing token. It keeps the highest token seen, refuses lower ones with 409, and answers an entry that it
// has with "repeated" without storing it twice.
type Sink struct {
	listener net.Listener
	server   http.Server

	mu        sync.Mutex
	fence     lease.Fence
	entries   map[string]SinkEntry
	calls     []SinkCall
	fault     SinkFault
	conflicts int // entries that came again with other content, refused with 422
}

// StartSink starts an empty sink.
func StartSink(address string) (*Sink, error) {
	s := &Sink{entries: map[string]SinkEntry{}}
	var err error
	if s.listener, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	s.server = http.Server{Handler: http.HandlerFunc(s.serve), ReadTimeout: 10 * time.Second,
		WriteTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	go s.server.Serve(s.listener)
	return s, nil
}

// Address is where it listens.
func (s *Sink) Address() string { return s.listener.Addr().String() }

// Close ends it.
func (s *Sink) Close() { s.server.Close() }

// SetFault has calls go wrong from now on.
func (s *Sink) SetFault(t SinkFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = t
}

// Entries are those stored, by id.
func (s *Sink) Entries() map[string]SinkEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make(map[string]SinkEntry, len(s.entries))
	for id, e := range s.entries {
		entries[id] = e
	}
	return entries
}

// Calls are all calls so far, in the order they were decided on.
func (s *Sink) Calls() []SinkCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// Conflicts is how many entries came again with other content.
func (s *Sink) Conflicts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conflicts
}

func (s *Sink) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/entries" || req.Method != http.MethodPost {
		http.Error(w, "there is POST /entries alone", http.StatusNotFound)
		return
	}
	call := SinkCall{At: time.Now(), Status: http.StatusOK}
	var entries []SinkEntry
	token, err := lease.ParseToken(req.Header.Get(lease.TokenHeader))
	if err == nil {
		err = json.NewDecoder(http.MaxBytesReader(w, req.Body, maxSinkBody)).Decode(&entries)
	}
	if err == nil {
		err = validateEntries(entries)
	}
	call.Token, call.Entries = token, len(entries)
	s.mu.Lock()
	fault := s.fault
	problem := ""
	switch {
	case err != nil:
		call.Status, problem = http.StatusBadRequest, err.Error()
	case fault.Status != 0:
		call.Status, problem = fault.Status, "in trouble"
	default:
		if err := s.fence.Admit(token); err != nil {
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
	s.mu.Unlock()
	time.Sleep(fault.Delay)
	switch {
	case fault.Reset:
		panic(http.ErrAbortHandler)
	case fault.Garbage:
		fmt.Fprint(w, `{"stored": "many`)
	case call.Status != http.StatusOK:
		http.Error(w, problem, call.Status)
	default:
		fmt.Fprintf(w, "{\"stored\":%d,\"repeated\":%d}\n", call.Stored, call.Repeated)
	}
}

// store stores all entries of a call, or none where one differs from what is stored under its id.
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

// validateEntries tells what is wrong with entries, naming the first.
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

// Audit reads the calls as they came and says what no fence may let through: a token taken that is lower than
// one taken before, or more stored than there are entries. It does not use the sink's own fence.
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
