package raftgroup

import (
	"context"
	"net"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// sendQueueSize is how many Raft messages may be queued for one replica.
	sendQueueSize = 1024
	// unreachableBackoff is how long nothing is sent to a replica after a failed dial or write.
	unreachableBackoff = 100 * time.Millisecond
	// senderIdleTimeout ends a sender that had nothing to send. It is below idleTimeout, after which the other
	// side closes the connection.
	senderIdleTimeout = idleTimeout / 2
	// snapshotWriteTimeout replaces writeTimeout for messages over largeMessage bytes, which hold snapshots.
	snapshotWriteTimeout = time.Minute
	largeMessage         = 1 << 20
)

// outboundMsg is a Raft message of a group that waits to be sent.
type outboundMsg struct {
	group string
	msg   *raftpb.Message
}

// sender sends the Raft messages of all groups to one replica ID, in order, over one connection.
//
// network.send starts one with the first message to a replica and puts it into network.senders; it ends once
// it had nothing to send for senderIdleTimeout, or with the network. In between it is connected or not: it
// dials for the first message, and again for the first one after a failure or after the replica's address
// changed. Messages are lost where the queue is full, after a failure, and when the connection breaks; raft
// sends again what was not acknowledged, and is told of lost snapshots, without which it would send a replica
// nothing more.
type sender struct {
	net   *network
	to    uint64           // replica ID
	queue chan outboundMsg // written with network.mu held, read by run

	// Owned by run.
	conn    net.Conn // nil while not connected
	address string   // that conn was dialed at
}

// send queues a message for its receiver. It returns false if the message can't be sent now: the receiver's
// address is not known, its queue is full, or the network is closed. It never blocks on the network.
func (n *network) send(group string, msg *raftpb.Message) bool {
	to := msg.GetTo()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.addresses[to] == "" {
		return false
	}
	s := n.senders[to]
	if s == nil {
		s = n.startSenderLocked(to)
	}
	select {
	case s.queue <- outboundMsg{group, msg}:
		return true
	default:
		return false
	}
}

func (n *network) startSenderLocked(to uint64) *sender {
	s := &sender{net: n, to: to, queue: make(chan outboundMsg, sendQueueSize)}
	n.senders[to] = s
	n.goroutines.Add(1)
	go s.run()
	return s
}

// run is the sender's goroutine.
func (s *sender) run() {
	defer s.net.goroutines.Done()
	defer s.disconnect()
	idle := time.NewTimer(senderIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-s.net.stop:
			return
		case <-idle.C:
			if s.retire() {
				return
			}
			idle.Reset(senderIdleTimeout)
		case out := <-s.queue:
			idle.Reset(senderIdleTimeout)
			if !s.deliver(out) {
				s.handleFailure(out)
			}
		}
	}
}

// retire takes the sender out of the network, so that the next message starts another one. It returns false,
// and the sender goes on, if a message was queued meanwhile.
func (s *sender) retire() bool {
	s.net.mu.Lock()
	defer s.net.mu.Unlock()
	if len(s.queue) > 0 {
		return false
	}
	delete(s.net.senders, s.to)
	return true
}

// deliver writes a message, connecting first where the sender is not connected or its replica moved. It
// returns false, disconnected, if the message was not written.
func (s *sender) deliver(out outboundMsg) bool {
	address := s.net.address(s.to)
	if address != s.address {
		s.disconnect()
	}
	if s.conn == nil && !s.connect(address) {
		return false
	}
	if !s.write(s.conn, out) {
		s.disconnect()
		return false
	}
	return true
}

func (s *sender) connect(address string) bool {
	conn, err := s.net.dial(context.Background(), address)
	if err != nil {
		return false
	}
	s.conn, s.address = conn, address
	go closeOnEOF(conn) // ends once the connection is closed, by whichever side
	return true
}

func (s *sender) disconnect() {
	if s.conn != nil {
		s.net.closeConn(s.conn)
		s.conn = nil
	}
}

// closeOnEOF closes a connection, on which nothing is ever received, once the other side does, so that the
// next write fails rather than being lost.
func closeOnEOF(conn net.Conn) {
	var buf [1]byte
	_, _ = conn.Read(buf[:]) // whatever ends the read, the connection is no use any more
	conn.Close()
}

// write writes one message as a frame; false if the connection failed. A message that can't be encoded counts
// as written, as no attempt would succeed. That a snapshot was written, though not that it was received, is
// reported to its group.
func (s *sender) write(conn net.Conn, out outboundMsg) bool {
	raw, err := proto.Marshal(out.msg)
	if err != nil {
		return true
	}
	timeout := writeTimeout
	if len(raw) > largeMessage {
		timeout = snapshotWriteTimeout
	}
	conn.SetWriteDeadline(time.Now().Add(timeout))
	if writeFrame(conn, frameRaft, []byte{byte(len(out.group))}, []byte(out.group), raw) != nil {
		return false
	}
	if out.msg.GetType() == raftpb.MsgSnap {
		s.net.host.reportSnapshotFinish(out.group, s.to)
	}
	return true
}

// handleFailure reports a message that was not sent to its group, drops what is queued behind it, and backs
// off.
func (s *sender) handleFailure(out outboundMsg) {
	s.net.host.reportUndelivered(out.group, out.msg)
	s.dropQueued()
	select {
	case <-time.After(unreachableBackoff):
	case <-s.net.stop:
	}
}

// dropQueued empties the queue. Dropped snapshots are reported as failed: raft sends a replica nothing until
// the outcome of a snapshot is reported.
func (s *sender) dropQueued() {
	for {
		select {
		case out := <-s.queue:
			if out.msg.GetType() == raftpb.MsgSnap {
				s.net.host.reportUndelivered(out.group, out.msg)
			}
		default:
			return
		}
	}
}
