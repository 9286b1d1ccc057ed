package agent

import (
	"sync/atomic"
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

const (
	// openAgainAfter is the pause between two tries to open the disk.
	openAgainAfter = 500 * time.Millisecond
	// diskPatience is how long the process waits for its disk before it takes calls without it: the first
	// answer to others should tell what the disk holds.
	diskPatience = 300 * time.Millisecond
)

// useDisk begins to use the disk, where there is one, and returns once it is open or diskPatience is over.
func (n *Node) useDisk(done <-chan struct{}) {
	n.control.start(done)
	if n.settings.DataDir == "" {
		return
	}
	loaded := make(chan struct{})
	go n.keepSaved(loaded, done)
	patience := time.NewTimer(diskPatience)
	defer patience.Stop()
	for _, opened := range []<-chan struct{}{loaded, n.control.opened()} {
		select {
		case <-opened:
		case <-patience.C:
			n.log.Warn().Msg("node: starting without the disk, which is not open yet")
			return
		}
	}
}

// diskMember is the part of a machine with a disk. The disk is opened beside everything else, because it may
// hang, be full or hold what can't be read: until it is open, the process serves as one without a disk does.
type diskMember struct {
	node    *Node
	chain   atomic.Pointer[chainMember] // nil until the disk is open
	isReady chan struct{}               // closed once it is
	leaving atomic.Bool                 // this process is about to end
}

func newDiskMember(n *Node) *diskMember { return &diskMember{node: n, isReady: make(chan struct{})} }

var _ controlState = (*diskMember)(nil)

// start opens the disk and takes part until done closes.
func (d *diskMember) start(done <-chan struct{}) { go d.run(done) }

func (d *diskMember) run(done <-chan struct{}) {
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
	close(d.isReady)
}

// open tries until the disk could be opened, and returns nil if the process ends before.
func (d *diskMember) open(done <-chan struct{}) *chainMember {
	for {
		member, err := openChainMember(d.node)
		if err == nil {
			return member
		}
		d.node.figures.diskOpenings.Add(1)
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
	if member := d.chain.Load(); member != nil {
		return member
	}
	return noControlState{}
}

func (d *diskMember) propose(proposal *peerproto.Proposal, timeout time.Duration) *peerproto.Result {
	return d.current().propose(proposal, timeout)
}

func (d *diskMember) patch(change *peerproto.Proposal, timeout time.Duration) *peerproto.Result {
	return d.current().patch(change, timeout)
}

func (d *diskMember) read(timeout time.Duration) *peerproto.Result { return d.current().read(timeout) }

func (d *diskMember) take(peer string, body []byte) { d.current().take(peer, body) }

func (d *diskMember) member() bool { return d.current().member() }

func (d *diskMember) opened() <-chan struct{} { return d.isReady }

func (d *diskMember) leave() {
	d.leaving.Store(true)
	d.current().leave()
}

func (d *diskMember) released() <-chan struct{} { return d.current().released() }

func (d *diskMember) close() { d.current().close() }
