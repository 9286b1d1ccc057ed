package agent

import (
	"time"

	"cresshub/internal/router/peerproto"
)

// configStore is this process's replica of the chain-replicated configuration. It is implemented by
// chainMember, which runs the state machine of package chain; by deferredStore, which opens the disk of a
// chainMember in the background; and by noConfigStore, for a machine without a disk. Its methods are safe for
// concurrent use.
type configStore interface {
	// propose requests the commit of a full configuration and returns the outcome.
	propose(proposal *peerproto.Proposal, timeout time.Duration) *peerproto.Result
	// patch requests the commit of a change of named items and returns the outcome.
	patch(change *peerproto.Proposal, timeout time.Duration) *peerproto.Result
	// read returns the newest committed configuration, by a linearizable read through the chain.
	read(timeout time.Duration) *peerproto.Result
	// receive handles a message from another member.
	receive(body []byte)
	// start runs the replica until done closes.
	start(done <-chan struct{})
	// opened returns a channel that closes once the disk is open, if there is one.
	opened() <-chan struct{}
	// isMember reports whether this process is in the chain now.
	isMember() bool
	// drain asks the other members to remove this process from the chain, before it stops.
	drain()
	// drained returns a channel that closes after drain, once the other members have everything that this
	// replica has accepted, so that the process may stop. Without a replica the channel is closed already.
	drained() <-chan struct{}
	// close releases the disk and the links. It is called after the channel passed to start has closed.
	close()
}

func unavailableResult(reason string) *peerproto.Result {
	return &peerproto.Result{Outcome: peerproto.OutcomeUnavailable, Reason: reason}
}

// noConfigStore is the configStore of a machine without a disk.
type noConfigStore struct{}

func (noConfigStore) propose(*peerproto.Proposal, time.Duration) *peerproto.Result {
	return unavailableResult("this machine has no disk")
}

func (noConfigStore) patch(*peerproto.Proposal, time.Duration) *peerproto.Result {
	return unavailableResult("this machine has no disk")
}

func (noConfigStore) read(time.Duration) *peerproto.Result {
	return unavailableResult("this machine has no disk")
}

func (noConfigStore) receive([]byte)           {}
func (noConfigStore) start(<-chan struct{})    {}
func (noConfigStore) isMember() bool           { return false }
func (noConfigStore) drain()                   {}
func (noConfigStore) close()                   {}
func (noConfigStore) opened() <-chan struct{}  { return closedChannel }
func (noConfigStore) drained() <-chan struct{} { return closedChannel }

// closedChannel is returned by methods whose callers have nothing to wait for.
var closedChannel = func() <-chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}()
