package agent

import (
	"sync/atomic"
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

// diskRetryInterval is the interval between two attempts to open the disk.
const diskRetryInterval = 500 * time.Millisecond

// deferredStore is the configStore of a machine with a disk. It opens the disk in the background, because
// that may hang or fail: until the disk is open, the process serves like one without a disk.
type deferredStore struct {
	*process
	self        *selfRecord
	openMember  func() (*chainMember, error)     // may hang
	newAssigner func(*chainMember) *roleAssigner // nil where this process assigns no roles

	member   atomic.Pointer[chainMember] // nil until the disk is open
	ready    chan struct{}               // closed once it is
	draining atomic.Bool                 // this process is shutting down
}

var _ configStore = (*deferredStore)(nil)

func (d *deferredStore) start(done <-chan struct{}) { go d.run(done) }

func (d *deferredStore) run(done <-chan struct{}) {
	member := d.open(done)
	if member == nil {
		return
	}
	d.self.announce(func(self *directory.Record) { self.Member = member.identity })
	d.member.Store(member)
	if d.draining.Load() { // since before there was a member that could record it
		member.drain()
	}
	member.start(done)
	if d.newAssigner != nil {
		go d.newAssigner(member).run(done)
	}
	close(d.ready)
}

// open retries until the disk is open. It returns nil if done closes before.
func (d *deferredStore) open(done <-chan struct{}) *chainMember {
	for {
		member, err := d.openMember()
		if err == nil {
			return member
		}
		d.metrics.failedDiskOpens.Add(1)
		d.log.Error().Err(err).Msg("chain: opening the disk failed; retrying")
		select {
		case <-done:
			return nil
		case <-time.After(diskRetryInterval):
		}
	}
}

// store returns the member once the disk is open.
func (d *deferredStore) store() configStore {
	if member := d.member.Load(); member != nil {
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

func (d *deferredStore) receive(body []byte) { d.store().receive(body) }

func (d *deferredStore) isMember() bool { return d.store().isMember() }

func (d *deferredStore) opened() <-chan struct{} { return d.ready }

func (d *deferredStore) drain() {
	d.draining.Store(true)
	d.store().drain()
}

func (d *deferredStore) drained() <-chan struct{} { return d.store().drained() }

func (d *deferredStore) close() { d.store().close() }
