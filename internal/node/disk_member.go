package node

import (
	"sync/atomic"
	"time"

	"cresshub/internal/directory"
	"cresshub/internal/peerwire"
)

// openAgainAfter is the pause between two tries to open the disk.
const openAgainAfter = 500 * time.Millisecond

// diskMember is the part of a machine with a disk. The disk is opened beside everything else, because it may
// hang, be full or hold what can't be read: until it is open, the process serves as one without a disk does.
type diskMember struct {
	node   *Node
	opened atomic.Pointer[chainMember] // nil until the disk is open
}

var _ controlState = (*diskMember)(nil)

// start opens the disk and takes part until done closes.
func (d *diskMember) start(done <-chan struct{}) { go d.run(done) }

func (d *diskMember) run(done <-chan struct{}) {
	member := d.open(done)
	if member == nil {
		return
	}
	d.node.announceSelf(func(self *directory.Record) { self.Member = member.identity })
	d.opened.Store(member)
	member.start(done)
}

// open tries until the disk could be opened, and returns nil if the process ends before.
func (d *diskMember) open(done <-chan struct{}) *chainMember {
	for {
		member, err := openChainMember(d.node)
		if err == nil {
			return member
		}
		d.node.log.Error().Err(err).Msg("chain: the disk can't be opened; tried again")
		select {
		case <-done:
			return nil
		case <-time.After(openAgainAfter):
		}
	}
}

// current returns what takes part: until the disk is open, nothing does.
func (d *diskMember) current() controlState {
	if member := d.opened.Load(); member != nil {
		return member
	}
	return noControlState{}
}

func (d *diskMember) propose(proposal *peerwire.Proposal, timeout time.Duration) *peerwire.Result {
	return d.current().propose(proposal, timeout)
}

func (d *diskMember) read(timeout time.Duration) *peerwire.Result { return d.current().read(timeout) }

func (d *diskMember) take(peer string, body []byte) { d.current().take(peer, body) }

func (d *diskMember) member() bool { return d.current().member() }

func (d *diskMember) leave() { d.current().leave() }

func (d *diskMember) released() <-chan struct{} { return d.current().released() }

func (d *diskMember) close() { d.current().close() }
