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

// viewInterval is the interval at which the fleet's view is polled.
const viewInterval = 100 * time.Millisecond

// Peer is a member of the fleet, as the fleet's view has it.
type Peer struct {
	placement.Member
	Address string // where its Host listens; "" if it has none
}

// Host runs this member's replicas of all groups, with the store and the connections that they share. Open,
// Run and Close are called once each, in this order; Close may also follow Open directly. Between Run and
// Close, methods may be called from any goroutine; after Close they return errors such as ErrStopped and
// ErrNotLeader.
type Host struct {
	opts  Options
	log   *slog.Logger
	store *store
	net   *network

	// mu is not held during a call to a group, the network or view, except by openReplica, which holds it
	// while it starts a group.
	mu          sync.Mutex
	groups      map[string]*group    // open replicas, by group
	view        func() []Peer        // nil before Run
	peers       []Peer               // the result of the last call of view
	absentSince map[string]time.Time // when members with replicas were first missing in the view, by name
	leaderHints map[string]string    // name of the last known leader, by group

	stop       chan struct{}  // closed by Close with mu held, so that no replica is opened afterwards
	goroutines sync.WaitGroup // followView, maintainGroups and accept
	closeOnce  sync.Once      // for Close
}

// Open opens the store and starts to listen. The caller calls Run or Close next. Errors name the setting or
// the file.
func Open(opts Options) (*Host, error) {
	if err := opts.Check(); err != nil {
		return nil, err
	}
	h := &Host{opts: opts, log: opts.Log, groups: map[string]*group{},
		absentSince: map[string]time.Time{}, leaderHints: map[string]string{}, stop: make(chan struct{})}
	var err error
	if h.store, err = openStore(opts.Dir, opts.Label, opts.Faults); err != nil {
		return nil, fmt.Errorf("ledger.data: %w", err)
	}
	if h.net, err = newNetwork(h); err != nil {
		return nil, errors.Join(fmt.Errorf("ledger.bind: %w", err), h.store.close())
	}
	return h, nil
}

// ID returns the ID of this member's replicas, which is the ID of its disk.
func (h *Host) ID() uint64 { return h.store.id }

// Address returns the host:port at which other members reach this one.
func (h *Host) Address() string {
	if h.opts.Advertise != "" {
		return h.opts.Advertise
	}
	return h.net.listener.Addr().String()
}

// Run opens the replicas in the store and starts to take part in the groups, in goroutines that Close ends.
// It calls view for the fleet's members every viewInterval, never concurrently; view must not block. An error
// says that a replica can't be opened and names the file; the caller must then call Close.
func (h *Host) Run(view func() []Peer) error {
	h.mu.Lock()
	h.view = view
	h.mu.Unlock()
	h.refreshPeers()
	for _, name := range h.store.groups() {
		if err := h.reopenReplica(name); err != nil {
			return fmt.Errorf("ledger.data: %w", err)
		}
	}
	h.goroutines.Go(h.followView)
	h.goroutines.Go(h.maintainGroups)
	h.goroutines.Go(h.net.accept)
	h.log.Info("ledger: listening", "ledger", h.Address(), "disk", formatDiskID(h.store.id))
	return nil
}

// reopenReplica opens a replica that the store holds, unless it was removed from its group: its log and
// snapshot are empty then, and only a leader's message opens it again (deliver).
func (h *Host) reopenReplica(name string) error {
	if !slices.Contains(h.opts.Groups, name) {
		return fmt.Errorf("%s holds the group %q, which is not one of this fleet's groups", h.store.path, name)
	}
	storage, _, err := h.store.load(name)
	if err != nil {
		return err
	}
	snap, _ := storage.Snapshot()  // never fails for a MemoryStorage
	last, _ := storage.LastIndex() // same here
	if last == 0 && snap.GetMetadata().GetIndex() == 0 {
		return nil
	}
	_, err = h.openReplica(name, false)
	return err
}

// openReplica returns this member's replica of a group, opening it if it is not open. For bootstrap see
// startGroup.
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

// removeReplica forgets a replica that was removed from its group.
func (h *Host) removeReplica(g *group) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.groups[g.name] == g {
		delete(h.groups, g.name)
	}
}

// group returns this member's replica of a group, or nil if it has none.
func (h *Host) group(name string) *group {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.groups[name]
}

// followView refreshes the peers from the view every viewInterval until Close.
func (h *Host) followView() {
	refresh := time.NewTicker(viewInterval)
	defer refresh.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-refresh.C:
			h.refreshPeers()
		}
	}
}

// maintainGroups bootstraps missing groups and removes stale replicas until Close. It waits for responses of
// other members, up to ElectionTimeout for each. The time until its next round is random, so that the members
// don't all start one at the same time.
func (h *Host) maintainGroups() {
	next := time.NewTimer(h.opts.ElectionTimeout)
	defer next.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-next.C:
		}
		for _, name := range h.opts.Groups {
			h.bootstrap(name)
		}
		h.removeStaleReplicas()
		next.Reset(h.opts.ElectionTimeout/2 + rand.N(h.opts.ElectionTimeout))
	}
}

func (h *Host) refreshPeers() {
	peers := h.view()
	h.mu.Lock()
	h.peers = peers
	h.mu.Unlock()
	h.net.setAddresses(peers)
}

// placementMembers returns the view in the form in which package placement takes it for a group. Members that
// have a replica but are absent from the view are added; they count as gone after GoneAfter.
func (h *Host) placementMembers(g placement.Group) []placement.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	var members []placement.Member
	inView := map[string]bool{}
	for _, peer := range h.peers {
		members = append(members, peer.Member)
		inView[peer.Name] = true
		delete(h.absentSince, peer.Name)
	}
	for _, replica := range g.Replicas {
		if replica.Name == "" || inView[replica.Name] {
			continue
		}
		since, ok := h.absentSince[replica.Name]
		if !ok {
			since = time.Now()
			h.absentSince[replica.Name] = since
		}
		members = append(members, placement.Member{Name: replica.Name, ReplicaID: replica.ID,
			Gone: time.Since(since) >= h.opts.GoneAfter})
	}
	return members
}

// Close transfers leadership to other members, stops the replicas and connections, and closes the store. It
// waits up to four election timeouts for each group that this member leads. Further calls do nothing and
// return nil.
func (h *Host) Close() error {
	var err error
	h.closeOnce.Do(func() {
		for _, g := range h.beginShutdown() {
			g.transferLeadership(2 * h.opts.ElectionTimeout)
			close(g.stop)
			<-g.done
		}
		h.net.close()
		h.goroutines.Wait()
		err = h.store.close()
	})
	return err
}

// beginShutdown tells the Host's own goroutines to end, prevents further replicas from being opened, and
// returns the open ones.
func (h *Host) beginShutdown() []*group {
	h.mu.Lock()
	defer h.mu.Unlock()
	groups := make([]*group, 0, len(h.groups))
	for _, g := range h.groups {
		groups = append(groups, g)
	}
	close(h.stop)
	return groups
}
