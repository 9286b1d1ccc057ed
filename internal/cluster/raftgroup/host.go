package raftgroup

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cresshub/internal/cluster/placement"
)

// viewInterval is how often the fleet's view is polled.
const viewInterval = 100 * time.Millisecond

// Peer is a member of the fleet, as the fleet's view has it.
type Peer struct {
	placement.Member
	Address string // where its Host listens; "" if it has none
}

// Host runs this member's replicas of all groups, with their common store and connections.
type Host struct {
	opts  Options
	log   *slog.Logger
	store *store
	net   *network

	mu          sync.Mutex
	groups      map[string]*group
	view        func() []Peer
	peers       []Peer               // the view, as last looked at
	absentSince map[string]time.Time // members of replicas that are not in the view, by name
	leaderHints map[string]string    // member that last led a group, as far as known

	stop chan struct{}
	done sync.WaitGroup
	once sync.Once // of Close
}

// Open opens the store and listens; Run must follow. Errors name the setting or the file.
func Open(o Options) (*Host, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	h := &Host{opts: o, log: o.Log, groups: map[string]*group{},
		absentSince: map[string]time.Time{}, leaderHints: map[string]string{}, stop: make(chan struct{})}
	var err error
	if h.store, err = openStore(o.Dir, o.Label, o.Faults); err != nil {
		return nil, fmt.Errorf("ledger.data: %w", err)
	}
	if h.net, err = newNetwork(h); err != nil {
		return nil, errors.Join(fmt.Errorf("ledger.bind: %w", err), h.store.close())
	}
	return h, nil
}

// ID is the ID of this member's replicas, which is its disk's.
func (h *Host) ID() uint64 { return h.store.id }

// Address is the host:port at which other members reach this one.
func (h *Host) Address() string {
	if h.opts.Advertise != "" {
		return h.opts.Advertise
	}
	return h.net.listener.Addr().String()
}

// Run opens the replicas in the store and takes part in the groups, in goroutines that Close ends. It calls
// view for the fleet's members, ten times a second.
func (h *Host) Run(view func() []Peer) error {
	h.mu.Lock()
	h.view = view
	h.mu.Unlock()
	h.refreshPeers()
	for _, name := range h.store.groups() {
		if err := h.reopen(name); err != nil {
			return fmt.Errorf("ledger.data: %w", err)
		}
	}
	h.done.Add(2)
	go h.loop()
	go func() { defer h.done.Done(); h.net.accept() }()
	h.log.Info("ledger: listening", "ledger", h.Address(), "disk", formatDiskID(h.store.id))
	return nil
}

// reopen opens a replica in the store, unless it was removed: then only a leader's message opens it again.
func (h *Host) reopen(name string) error {
	if !slices.Contains(h.opts.Groups, name) {
		return fmt.Errorf("%s holds the group %q, which is none of this fleet's", h.store.path, name)
	}
	storage, _, err := h.store.load(name)
	if err != nil {
		return err
	}
	snap, _ := storage.Snapshot()  // never fails in memory
	last, _ := storage.LastIndex() // the same
	if last == 0 && snap.GetMetadata().GetIndex() == 0 {
		return nil
	}
	_, err = h.openReplica(name, false)
	return err
}

// openReplica opens this member's replica of a group unless it is open; bootstrap as for startGroup.
func (h *Host) openReplica(name string, bootstrap bool) (*group, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.groups[name]; g != nil {
		return g, nil
	}
	select {
	case <-h.stop:
		return nil, ErrStopped
	default:
	}
	g, err := startGroup(h, name, bootstrap)
	if err == nil {
		h.groups[name] = g
	}
	return g, err
}

// removeReplica drops a replica that was removed from its group.
func (h *Host) removeReplica(g *group) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.groups[g.name] == g {
		delete(h.groups, g.name)
	}
}

// group is this member's replica of a group; nil if it has none.
func (h *Host) group(name string) *group {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.groups[name]
}

// loop follows the view, bootstraps missing groups and removes strays until Close.
func (h *Host) loop() {
	defer h.done.Done()
	refresh := time.NewTicker(viewInterval)
	defer refresh.Stop()
	bootstrap := time.NewTimer(h.opts.ElectionTimeout)
	defer bootstrap.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-refresh.C:
			h.refreshPeers()
		case <-bootstrap.C:
			for _, name := range h.opts.Groups {
				h.bootstrap(name)
			}
			h.removeStrays()
			bootstrap.Reset(h.opts.ElectionTimeout/2 + rand.N(h.opts.ElectionTimeout))
		}
	}
}

func (h *Host) refreshPeers() {
	peers := h.view()
	h.mu.Lock()
	h.peers = peers
	h.mu.Unlock()
	h.net.setAddresses(peers)
}

// placementMembers is the view as package placement reads it for a group. A replica's member that is not in
// the view is added; it counts as gone after GoneAfter.
func (h *Host) placementMembers(g placement.Group) []placement.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []placement.Member
	inView := map[string]bool{}
	for _, p := range h.peers {
		out = append(out, p.Member)
		inView[p.Name] = true
		delete(h.absentSince, p.Name)
	}
	for _, r := range g.Replicas {
		if r.Name == "" || inView[r.Name] {
			continue
		}
		since, ok := h.absentSince[r.Name]
		if !ok {
			since = time.Now()
			h.absentSince[r.Name] = since
		}
		out = append(out, placement.Member{Name: r.Name, ReplicaID: r.ID,
			Gone: time.Since(since) >= h.opts.GoneAfter})
	}
	return out
}

// Close hands leadership over, stops the replicas and connections, and closes the store.
func (h *Host) Close() error {
	var err error
	h.once.Do(func() {
		h.mu.Lock()
		groups := make([]*group, 0, len(h.groups))
		for _, g := range h.groups {
			groups = append(groups, g)
		}
		close(h.stop)
		h.mu.Unlock()
		for _, g := range groups {
			g.handOverLeadership(2 * h.opts.ElectionTimeout)
			close(g.stop)
			<-g.done
		}
		h.net.close()
		h.done.Wait()
		err = h.store.close()
	})
	return err
}
