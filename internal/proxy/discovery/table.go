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

// stateByStatus maps the status of a server in a list to its state.
var stateByStatus = map[string]balance.ServerState{
	"in_service": balance.Up, "terminating": balance.Draining, "terminated": balance.Removed,
}

// maxSinceMS is the exclusive upper bound of a server's start time, in ms of Unix time, so that it does not
// overflow as a time.Duration.
const maxSinceMS = 1e15

var errSuperseded = errors.New("a newer watch has delivered the list")

// table is the current list of servers. Any goroutine may call its exported methods.
type table struct {
	mu          sync.Mutex
	names       Names  // those of the settings, followed by others that occurred in lists
	index       int64  // the registry's count of changes up to this list
	newestWatch int64  // number of the newest watch that has delivered; documents of older ones are ignored
	origin      string // address of the registry that the list comes from
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

// Restore applies a list that Export returned in an earlier process, and returns it for package dispatch.
func (t *table) Restore(raw []byte) ([]dispatch.Server, error) {
	_, list, err := t.apply(nil, raw)
	return list, err
}

// Address returns the address at which a server listens, and false if it is not in service.
func (t *table) Address(s dispatch.ServerID) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	address, ok := t.addresses[s]
	return address, ok
}

// Export returns the list in the registry's format, or nil if it is empty. The same list always gives the
// same bytes.
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

// Origin returns the address of the registry that the list comes from.
func (t *table) Origin() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.origin
}

// Index returns the index of the list: the registry's count of changes up to it.
func (t *table) Index() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.index
}

// NumListed returns the number of servers in the list, including those that are draining.
func (t *table) NumListed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.idByName)
}

// NumInService returns the number of servers in service.
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
	t.newestWatch = number
}

// apply applies one document of a watch or, if w is nil, of another source. From then on no attempt starts at
// a server that the document takes out of service. Once a watch has delivered a document, those of older
// watches are ignored. A change whose index is below the list's is applied, but errIndexDecreased is
// returned with it, because the changes between the two indexes are unknown.
func (t *table) apply(w *watch, raw []byte) (full bool, list []dispatch.Server, err error) {
	doc, err := parseDocument(raw)
	if err != nil {
		return false, nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if w != nil {
		if w.number < t.newestWatch {
			return false, nil, errSuperseded
		}
		t.newestWatch, t.origin = w.number, w.address
		if !doc.Snapshot && doc.Index < t.index {
			err = errIndexDecreased
		}
	}
	t.index = doc.Index
	if doc.Snapshot {
		// Names are not retained, because a replaced machine gets another name.
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

// parseDocument decodes and validates a document.
func parseDocument(raw []byte) (doc serverlist.Document, err error) {
	if err := json.Unmarshal(raw, &doc); err != nil {
		return doc, err
	}
	for i := range doc.Endpoints {
		e := &doc.Endpoints[i]
		_, ok := stateByStatus[e.Status]
		if !ok || e.Name == "" || e.Group < 0 || !(e.SinceMS >= 0 && e.SinceMS < maxSinceMS) {
			return doc, fmt.Errorf("endpoint %d (%.40q) is invalid", i, e.Name)
		}
	}
	return doc, nil
}

// applyEndpoint applies the entry of one server and returns the server for package dispatch. The caller holds
// t.mu.
func (t *table) applyEndpoint(e *serverlist.Endpoint) dispatch.Server {
	s := dispatch.Server{
		ID: t.serverID(e.Name), Zone: indexOrAppend(&t.names.Zones, e.Zone),
		Kind: indexOrAppend(&t.names.Kinds, e.Type), Cell: e.Group, State: stateByStatus[e.Status],
		Rating:  e.Weight,
		Started: time.Duration(math.Round(e.SinceMS*1000)) * time.Microsecond,
	}
	t.endpoints[e.Name] = *e
	delete(t.addresses, s.ID)
	switch s.State {
	case balance.Up:
		t.addresses[s.ID] = e.Address
	case balance.Removed: // otherwise names would accumulate if no full list ever came
		delete(t.idByName, e.Name)
		delete(t.endpoints, e.Name)
		delete(t.nameByID, s.ID)
	}
	return s
}

// indexOrAppend returns the index of name in names, to which it appends an unknown name.
func indexOrAppend(names *[]string, name string) int {
	i := slices.Index(*names, name)
	if i < 0 {
		i = len(*names)
		*names = append(*names, name)
	}
	return i
}

// serverID returns the id of a name. It is a hash of the name, because all client proxies must agree on ids:
// the balancer maps keys to ids by hashing. Only if the hashes of two names collide does an id depend on
// which name came first. The caller holds t.mu.
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
