package agent

import (
	"sync/atomic"
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

const (
	// diskRetryInterval is the pause between two tries to open the disk.
	diskRetryInterval = 500 * time.Millisecond
	// diskOpenTimeout is how long the process waits for its disk before it takes calls without it: the first
	// answer to others should tell what the disk holds.
	diskOpenTimeout = 300 * time.Millisecond
)

// startDisk begins to use the disk, where there is one, and returns once it is open or diskOpenTimeout is
// over.
func (n *Node) startDisk(done <-chan struct{}) {
	n.configStore.start(done)
	if n.settings.DataDir == "" {
		return
	}
	loaded := make(chan struct{})
	go n.persistState(loaded, done)
	patience := time.NewTimer(diskOpenTimeout)
	defer patience.Stop()
	for _, opened := range []<-chan struct{}{loaded, n.configStore.opened()} {
		select {
		case <-opened:
		case <-patience.C:
			n.log.Warn().Msg("node: starting without the disk, which is not open yet")
			return
		}
	}
}

// deferredStore is the part of a machine with a disk. The disk is opened beside everything else, because it
// may hang, be full or hold what can't be read: until it is open, the process serves as one without a disk
// does.
type deferredStore struct {
	node    *Node
	chain   atomic.Pointer[chainMember] // nil until the disk is open
	ready   chan struct{}               // closed once it is
	leaving atomic.Bool                 // this process is about to end
}

func newDeferredStore(n *Node) *deferredStore {
	return &deferredStore{node: n, ready: make(chan struct{})}
}

var _ configStore = (*deferredStore)(nil)

// start opens the disk and takes part until done closes.
func (d *deferredStore) start(done <-chan struct{}) { go d.run(done) }

func (d *deferredStore) run(done <-chan struct{}) {
	member := d.open(done)
	if member == nil {
		return
	}
	d.node.announceSelf(func(self *directory.Record) { self.Member = member.identity })
	d.chain.Store(member)
	if d.leaving.Load() { // it was told before there was a member to know
		member.leave()
	}
	member.start(done)
	close(d.ready)
}

// open tries until the disk could be opened, and returns nil if the process ends before.
func (d *deferredStore) open(done <-chan struct{}) *chainMember {
	for {
		member, err := openChainMember(d.node)
		if err == nil {
			return member
		}
		d.node.metrics.failedDiskOpens.Add(1)
		d.node.log.Error().Err(err).Msg("chain: the disk can't be opened; tried again")
		select {
		case <-done:
			return nil
		case <-time.After(diskRetryInterval):
		}
	}
}

// store returns what takes part: until the disk is open, nothing does.
func (d *deferredStore) store() configStore {
	if member := d.chain.Load(); member != nil {
		return member
	}
	return noConfigStore{}
}

func (d *deferredStore) propose(proposal *peerproto.Proposal, timeout time.Duration) *peerproto.Result {
	return d.store().propose(proposal, timeout)
}

func (d *deferredStore) patch(change *peerproto.Proposal, timeout time.Duration) *peerproto.Result {
	return d.store().patch(change, timeout)
}

func (d *deferredStore) read(timeout time.Duration) *peerproto.Result { return d.store().read(timeout) }

func (d *deferredStore) receive(peer string, body []byte) { d.store().receive(peer, body) }

func (d *deferredStore) isMember() bool { return d.store().isMember() }

func (d *deferredStore) opened() <-chan struct{} { return d.ready }

func (d *deferredStore) leave() {
	d.leaving.Store(true)
	d.store().leave()
}

func (d *deferredStore) canStop() <-chan struct{} { return d.store().canStop() }

func (d *deferredStore) close() { d.store().close() }
