package clusterrig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cresshub/internal/childprocess"
)

// State is the state of a member's process, by what the rig did last.
type State string

// The states of a process.
const (
	Up     State = "up"
	Paused State = "paused"
	Killed State = "killed"
	Ended  State = "ended" // by SIGTERM
)

// Member is one process of the program, over all its incarnations. The exported fields belong to the
// goroutine that acts on it.
type Member struct {
	Name   string
	Hall   string
	Data   string // its data folder, which outlives its processes
	Gossip string // gossip address
	Admin  string // admin address
	Listen string // address for clients
	Ledger string // address for the ledger; "" if it takes no part

	process *childprocess.Process

	mu     sync.Mutex // guards what other goroutines read
	state  State
	admin  string
	listen string
	gossip string
}

// State returns the state of its process.
func (m *Member) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// setState sets the state, and publishes the addresses to other goroutines.
func (m *Member) setState(s State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state, m.admin, m.listen, m.gossip = s, m.Admin, m.Listen, m.Gossip
}

// gossipAddress returns Gossip, for goroutines that don't act on the member.
func (m *Member) gossipAddress() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gossip
}

// Log returns the last lines of its process's log.
func (m *Member) Log() string { return m.process.Tail() }

// adminClient calls admin addresses, which serve one call per connection.
var adminClient = http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// get calls a path of a member's admin address.
func (m *Member) get(path string) (*http.Response, error) {
	m.mu.Lock()
	admin := m.admin
	m.mu.Unlock()
	return adminClient.Get("http://" + admin + path)
}

// GetJSON decodes a JSON page of a member's admin address.
func (m *Member) GetJSON(path string, into any) error {
	resp, err := m.get(path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// Ready reports whether a member answers that it is ready.
func (m *Member) Ready() bool {
	resp, err := m.get("/_ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Drain makes a member drain its clients, or serve them again.
func (m *Member) Drain(on bool) error {
	path := "/_lameduck/off"
	if on {
		path = "/_lameduck/on"
	}
	resp, err := adminClient.Post("http://"+m.Admin+path, "", nil)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, resp.Status)
	}
	return nil
}
