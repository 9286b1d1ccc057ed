package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"cresshub/balance"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/proxy/serverlist"
)

var states = map[string]balance.ServerState{
	"in_service": balance.Up, "terminating": balance.Draining, "terminated": balance.Removed,
}

// Restore takes in the list as it was held before the start and returns it for the decisions.
func (c *Client) Restore(raw []byte) ([]dispatch.Server, error) {
	_, list, err := c.apply(nil, raw)
	return list, err
}

// Address returns where a server listens; false where it is not in service.
func (c *Client) Address(s dispatch.ServerID) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.addresses[s]
	return a, ok
}

// Export returns the list as it is held, in discovery's form, the same bytes for the same list; nil where
// there is none.
func (c *Client) Export() ([]byte, error) {
	c.mu.Lock()
	doc := serverlist.Document{
		Index: c.index, Snapshot: true, Endpoints: slices.Collect(maps.Values(c.endpoints)),
	}
	c.mu.Unlock()
	if len(doc.Endpoints) == 0 {
		return nil, nil
	}
	slices.SortFunc(doc.Endpoints, func(a, b serverlist.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return json.Marshal(doc)
}

// Origin is the address of the discovery that the list comes from.
func (c *Client) Origin() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.origin
}

// Index is discovery's count of changes of the list as it is held.
func (c *Client) Index() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index
}

// Listed is how many servers the list holds, those that drain included.
func (c *Client) Listed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idByName)
}

// InService is how many of them are in service.
func (c *Client) InService() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.addresses)
}

// Name returns what a server is called, or "" where no list holds it.
func (c *Client) Name(s dispatch.ServerID) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nameByID[s]
}

var errSuperseded = errors.New("another watch has told the list since")

// apply applies one document: from here on no attempt begins at a server that it takes out of service.
// With its first one a watch becomes the source; the one before it is not heard any more. A change whose
// count lies below what was told is taken in, with errIndexFell: what lies between it and the list is unknown.
func (c *Client) apply(w *watch, raw []byte) (full bool, list []dispatch.Server, err error) {
	var doc serverlist.Document
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
	if w != nil {
		if w.number < c.sourceWatch {
			return false, nil, errSuperseded
		}
		c.sourceWatch, c.origin = w.number, w.address
		if !doc.Snapshot && doc.Index < c.index {
			err = errIndexFell
		}
	}
	c.index = doc.Index
	if doc.Snapshot {
		// A machine that is replaced comes back under another name: without this the names of all that
		// ever were would be kept.
		clear(c.addresses)
		clear(c.idByName)
		clear(c.nameByID)
		clear(c.endpoints)
	}
	for i := range doc.Endpoints {
		e := &doc.Endpoints[i]
		s := dispatch.Server{
			ID: c.serverID(e.Name), Zone: position(&c.names.Zones, e.Zone), Kind: position(&c.names.Kinds, e.Type),
			Cell: e.Group, State: states[e.Status], Rating: e.Weight,
			Started: time.Duration(math.Round(e.SinceMS*1000)) * time.Microsecond,
		}
		list = append(list, s)
		c.endpoints[e.Name] = *e
		switch delete(c.addresses, s.ID); s.State {
		case balance.Up:
			c.addresses[s.ID] = e.Address
		case balance.Removed: // or names would pile up where no whole list ever comes
			delete(c.idByName, e.Name)
			delete(c.endpoints, e.Name)
			delete(c.nameByID, s.ID)
		}
	}
	return doc.Snapshot, list, err
}

// position finds a word's position; one the settings do not name gets a position behind theirs.
func position(words *[]string, w string) int {
	i := slices.Index(*words, w)
	if i < 0 {
		i = len(*words)
		*words = append(*words, w)
	}
	return i
}

// serverID gives a name its number: the same at every client proxy, for the decisions place keys by it. Only
// where two names meet in one number does it depend on which was seen first.
func (c *Client) serverID(name string) dispatch.ServerID {
	if s, ok := c.idByName[name]; ok {
		return s
	}
	h := fnv.New32a()
	io.WriteString(h, name)
	s := dispatch.ServerID(h.Sum32())
	for c.nameByID[s] != "" {
		s++
	}
	c.idByName[name], c.nameByID[s] = s, name
	return s
}
