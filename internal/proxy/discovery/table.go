package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"cresshub/balance"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/proxy/serverlist"
)

// states are the states of servers by their names in lists.
var states = map[string]balance.ServerState{
	"in_service": balance.Up, "terminating": balance.Draining, "terminated": balance.Removed,
}

// maxSinceMS bounds the starts of servers, in ms of Unix time: as a time.Duration they must not overflow.
const maxSinceMS = 1e15

var errSuperseded = errors.New("a newer watch has delivered the list")

// table is the list of servers as it is known now. Any goroutine may call its methods.
type table struct {
	mu          sync.Mutex
	names       Names  // those of the settings, and behind them those that lists brought
	index       int64  // the registry's count of changes
	sourceWatch int64  // number of the newest watch that delivered; older ones are ignored
	origin      string // address that the list comes from
	idByName    map[string]dispatch.ServerID
	nameByID    map[dispatch.ServerID]string
	addresses   map[dispatch.ServerID]string   // of servers in service
	endpoints   map[string]serverlist.Endpoint // by name, for Export
}

func newTable(origin string, names Names) table {
	return table{
		origin: origin, names: names,
		idByName: map[string]dispatch.ServerID{}, nameByID: map[dispatch.ServerID]string{},
		addresses: map[dispatch.ServerID]string{}, endpoints: map[string]serverlist.Endpoint{},
	}
}

// Restore applies the list from before the start, as Export wrote it, and returns it for package dispatch.
func (t *table) Restore(raw []byte) ([]dispatch.Server, error) {
	_, list, err := t.apply(nil, raw)
	return list, err
}

// Address returns where a server listens; false if it is not in service.
func (t *table) Address(s dispatch.ServerID) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	address, ok := t.addresses[s]
	return address, ok
}

// Export returns the list in discovery's form, the same bytes for the same list; nil if it is empty.
func (t *table) Export() ([]byte, error) {
	t.mu.Lock()
	doc := serverlist.Document{
		Index: t.index, Snapshot: true, Endpoints: slices.Collect(maps.Values(t.endpoints)),
	}
	t.mu.Unlock()
	if len(doc.Endpoints) == 0 {
		return nil, nil
	}
	slices.SortFunc(doc.Endpoints, func(a, b serverlist.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return json.Marshal(doc)
}

// Origin is the address of the registry that the list comes from.
func (t *table) Origin() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.origin
}

// Index is the registry's count of changes at which the list stands.
func (t *table) Index() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.index
}

// NumListed is the number of servers in the list, those that drain included.
func (t *table) NumListed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.idByName)
}

// NumInService is the number of servers in service.
func (t *table) NumInService() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.addresses)
}

// Name returns a server's name, "" if it is not in the list.
func (t *table) Name(s dispatch.ServerID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nameByID[s]
}

// ignoreWatchesBefore makes apply ignore the documents of watches with a lower number.
func (t *table) ignoreWatchesBefore(number int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sourceWatch = number
}

// apply applies one document of a watch or, if w is nil, of another source: from then on no attempt begins at
// a server that it takes out of service. With its first document a watch becomes the source, and older
// watches are ignored. A change whose index is below the list's is applied and errIndexFell returned with it,
// because the changes between the two are unknown.
func (t *table) apply(w *watch, raw []byte) (full bool, list []dispatch.Server, err error) {
	doc, err := parse(raw)
	if err != nil {
		return false, nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if w != nil {
		if w.number < t.sourceWatch {
			return false, nil, errSuperseded
		}
		t.sourceWatch, t.origin = w.number, w.address
		if !doc.Snapshot && doc.Index < t.index {
			err = errIndexFell
		}
	}
	t.index = doc.Index
	if doc.Snapshot {
		// A machine that is replaced comes back under another name, so names are not retained.
		clear(t.addresses)
		clear(t.idByName)
		clear(t.nameByID)
		clear(t.endpoints)
	}
	for i := range doc.Endpoints {
		list = append(list, t.applyEndpoint(&doc.Endpoints[i]))
	}
	return doc.Snapshot, list, err
}

// parse decodes and checks a document.
func parse(raw []byte) (doc serverlist.Document, err error) {
	if err := json.Unmarshal(raw, &doc); err != nil {
		return doc, err
	}
	for i := range doc.Endpoints {
		e := &doc.Endpoints[i]
		_, ok := states[e.Status]
		if !ok || e.Name == "" || e.Group < 0 || !(e.SinceMS >= 0 && e.SinceMS < maxSinceMS) {
			return doc, fmt.Errorf("endpoint %d (%.40q) is invalid", i, e.Name)
		}
	}
	return doc, nil
}

// applyEndpoint applies the entry of one server and returns it for package dispatch.
func (t *table) applyEndpoint(e *serverlist.Endpoint) dispatch.Server {
	s := dispatch.Server{
		ID: t.serverID(e.Name), Zone: position(&t.names.Zones, e.Zone), Kind: position(&t.names.Kinds, e.Type),
		Cell: e.Group, State: states[e.Status], Rating: e.Weight,
		Started: time.Duration(math.Round(e.SinceMS*1000)) * time.Microsecond,
	}
	t.endpoints[e.Name] = *e
	delete(t.addresses, s.ID)
	switch s.State {
	case balance.Up:
		t.addresses[s.ID] = e.Address
	case balance.Removed: // otherwise names would accumulate where no full list ever comes
		delete(t.idByName, e.Name)
		delete(t.endpoints, e.Name)
		delete(t.nameByID, s.ID)
	}
	return s
}

// position returns a name's position in names; an unknown one is appended.
func position(names *[]string, name string) int {
	i := slices.Index(*names, name)
	if i < 0 {
		i = len(*names)
		*names = append(*names, name)
	}
	return i
}

// serverID returns the id of a name, which is a hash of it: all client proxies must agree on ids, because the
// decisions hash keys to them. Only where two names collide does an id depend on which name came first.
func (t *table) serverID(name string) dispatch.ServerID {
	if s, ok := t.idByName[name]; ok {
		return s
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	s := dispatch.ServerID(h.Sum32())
	for t.nameByID[s] != "" {
		s++
	}
	t.idByName[name], t.nameByID[s] = s, name
	return s
}
