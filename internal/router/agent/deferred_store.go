package agent

import (
	"sync/atomic"
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

// diskRetryInterval is the wait between two attempts to open the disk.
const diskRetryInterval = 500 * time.Millisecond

// deferredStore is the configStore of a machine with a disk. It opens the disk in the background, because
// opening may hang or fail. Until the disk is open, the process serves like one without a disk.
type deferredStore struct {
	*process
	self        *selfRecord
	openMember  func() (*chainMember, error)     // may hang
	newAssigner func(*chainMember) *roleAssigner // nil if this process assigns no roles

	member   atomic.Pointer[chainMember] // nil until the disk is open
	diskOpen chan struct{}               // closed once the disk is open
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
	if d.draining.Load() { // drain may have been called before there was a member
		member.drain()
	}
	member.start(done)
	if d.newAssigner != nil {
		go d.newAssigner(member).run(done)
	}
	close(d.diskOpen)
}

// open retries until the disk is open. It returns nil if done closes first.
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

// delegate returns the store that handles calls: the member once the disk is open, noConfigStore before.
func (d *deferredStore) delegate() configStore {
	if member := d.member.Load(); member != nil {
		return member
	}
	return noConfigStore{}
}

func (d *deferredStore) propose(proposal *peerproto.Proposal, timeout time.Duration) *peerproto.Result {
	return d.delegate().propose(proposal, timeout)
}

func (d *deferredStore) patch(change *peerproto.Proposal, timeout time.Duration) *peerproto.Result {
	return d.delegate().patch(change, timeout)
}

func (d *deferredStore) read(timeout time.Duration) *peerproto.Result {
	return d.delegate().read(timeout)
}

func (d *deferredStore) receive(body []byte) { d.delegate().receive(body) }

func (d *deferredStore) isMember() bool { return d.delegate().isMember() }

func (d *deferredStore) opened() <-chan struct{} { return d.diskOpen }

func (d *deferredStore) drain() {
	d.draining.Store(true)
	d.delegate().drain()
}

func (d *deferredStore) drained() <-chan struct{} { return d.delegate().drained() }

func (d *deferredStore) close() { d.delegate().close() }
