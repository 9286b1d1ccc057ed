package agent

import (
	"time"

	"cresshub/internal/router/peerproto"
)

// configStore is this process's replica of the chain-replicated configuration. The implementations are
// chainMember, which runs the state machine of package chain, deferredStore, which opens the disk of a
// chainMember in the background, and noConfigStore, for a machine without a disk. Its methods are safe for
// concurrent use.
type configStore interface {
	// propose asks for a full configuration to be committed and returns how that ended.
	propose(proposal *peerproto.Proposal, timeout time.Duration) *peerproto.Result
	// patch asks for a change of named items to be committed and returns how that ended.
	patch(change *peerproto.Proposal, timeout time.Duration) *peerproto.Result
	// read returns the newest committed configuration, by a read through the chain.
	read(timeout time.Duration) *peerproto.Result
	// receive handles a message of another member.
	receive(body []byte)
	// start runs the replica until done closes.
	start(done <-chan struct{})
	// opened returns a channel that closes once the disk is open, where there is one.
	opened() <-chan struct{}
	// isMember reports whether this process is in the chain now.
	isMember() bool
	// drain asks the other members to take this process out of the chain, before it stops.
	drain()
	// drained returns a channel that closes once the others have all that this replica has accepted, so that
	// the process may stop after drain.
	drained() <-chan struct{}
	// close releases the disk and the links, after the channel that start was given has closed.
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

// closedChannel is returned where there is nothing to wait for.
var closedChannel = func() <-chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}()
