package raftgroup

import (
	"context"
	"net"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// sendQueueSize is the number of Raft messages that may be queued for one replica.
	sendQueueSize = 1024
	// unreachableBackoff is how long nothing is sent to a replica after a failed dial or write.
	unreachableBackoff = 100 * time.Millisecond
	// senderIdleTimeout is how long a sender without messages keeps running. It is below idleTimeout, after
	// which the other side closes the connection.
	senderIdleTimeout = idleTimeout / 2
	// snapshotWriteTimeout replaces writeTimeout for messages larger than largeMessageBytes, which hold
	// snapshots.
	snapshotWriteTimeout = time.Minute
	largeMessageBytes    = 1 << 20
)

// outboundMsg is a Raft message of a group that is queued for sending.
type outboundMsg struct {
	group string
	msg   *raftpb.Message
}

// sender sends the Raft messages of all groups to one replica ID, in order, over one connection.
//
// network.send starts a sender with the first message to a replica and adds it to network.senders. The sender
// ends when it had nothing to send for senderIdleTimeout, or when the network is closed. In between it is
// connected or not: it dials for the first message, and again for the first message after a failure or after
// the replica's address changed. Messages are lost if the queue is full, after a failure, and when the
// connection breaks. Raft sends again what was not acknowledged. Lost snapshots are reported to it, as it
// would otherwise send that replica nothing more.
type sender struct {
	net       *network
	replicaID uint64           // of the receiving replica
	queue     chan outboundMsg // written with network.mu held, read by run

	// Owned by run.
	conn    net.Conn // nil while not connected
	address string   // at which conn was dialed
}

// send queues a message for the replica that it is addressed to. It returns false if the message can't be
// queued: the replica's address is unknown, its queue is full, or the network is closed. It never waits for
// network I/O.
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
	s := &sender{net: n, replicaID: to, queue: make(chan outboundMsg, sendQueueSize)}
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

// retire removes the sender from the network, so that the next message starts another one. If a message was
// queued meanwhile, it returns false and the sender continues.
func (s *sender) retire() bool {
	s.net.mu.Lock()
	defer s.net.mu.Unlock()
	if len(s.queue) > 0 {
		return false
	}
	delete(s.net.senders, s.replicaID)
	return true
}

// deliver writes a message, after connecting if the sender is not connected or the replica's address changed.
// If the message was not written, it disconnects and returns false.
func (s *sender) deliver(out outboundMsg) bool {
	address := s.net.address(s.replicaID)
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
	go closeOnEOF(conn) // ends when either side closes the connection
	return true
}

func (s *sender) disconnect() {
	if s.conn != nil {
		s.net.closeConn(s.conn)
		s.conn = nil
	}
}

// closeOnEOF closes a connection when the other side closes it, so that the next write fails and its message
// isn't lost silently. Nothing is ever received on the connection.
func closeOnEOF(conn net.Conn) {
	var buf [1]byte
	_, _ = conn.Read(buf[:]) // whatever ends the read, the connection can't be used any more
	conn.Close()
}

// write writes one message as a frame and returns false if the connection failed. A message that can't be
// encoded counts as written, as no further attempt would succeed. After a snapshot was written, which does
// not mean that it was received, that is reported to its group.
func (s *sender) write(conn net.Conn, out outboundMsg) bool {
	raw, err := proto.Marshal(out.msg)
	if err != nil {
		return true
	}
	timeout := writeTimeout
	if len(raw) > largeMessageBytes {
		timeout = snapshotWriteTimeout
	}
	conn.SetWriteDeadline(time.Now().Add(timeout))
	if writeFrame(conn, frameRaft, []byte{byte(len(out.group))}, []byte(out.group), raw) != nil {
		return false
	}
	if out.msg.GetType() == raftpb.MsgSnap {
		s.net.host.reportSnapshotFinish(out.group, s.replicaID)
	}
	return true
}

// handleFailure reports a message that was not sent to its group, drops the messages queued behind it, and
// waits for unreachableBackoff.
func (s *sender) handleFailure(out outboundMsg) {
	s.net.host.reportUndelivered(out.group, out.msg)
	s.dropQueued()
	select {
	case <-time.After(unreachableBackoff):
	case <-s.net.stop:
	}
}

// dropQueued empties the queue. Dropped snapshots are reported as failed, as raft sends a replica nothing
// until the outcome of its snapshot is reported.
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
