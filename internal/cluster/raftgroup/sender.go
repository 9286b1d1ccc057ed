package raftgroup

import (
	"context"
	"net"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// unreachableBackoff is how long nothing is sent to a member after a failed dial or write.
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

// sender sends Raft messages to one replica, in order, over one connection. It runs in a goroutine of its
// own.
type sender struct {
	net   *network
	to    uint64 // replica ID
	queue chan outboundMsg

	// Owned by run.
	conn    net.Conn // nil while not connected
	address string   // that conn was dialed at
}

// send queues a message for its receiver; false if it can't be sent now, which Raft makes up for.
func (n *network) send(group string, m *raftpb.Message) bool {
	to := m.GetTo()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.addresses[to] == "" {
		return false
	}
	s := n.senders[to]
	if s == nil {
		s = &sender{net: n, to: to, queue: make(chan outboundMsg, sendQueueSize)}
		n.senders[to] = s
		n.done.Add(1)
		go s.run()
	}
	select {
	case s.queue <- outboundMsg{group, m}:
		return true
	default:
		return false
	}
}

// run sends queued messages until the network closes or nothing was queued for senderIdleTimeout.
func (s *sender) run() {
	defer s.net.done.Done()
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
		case m := <-s.queue:
			idle.Reset(senderIdleTimeout)
			if !s.deliver(m) {
				s.reportUnreachable(m)
			}
		}
	}
}

// retire takes the sender out of the network unless something was queued meanwhile.
func (s *sender) retire() bool {
	s.net.mu.Lock()
	defer s.net.mu.Unlock()
	if len(s.queue) > 0 {
		return false
	}
	delete(s.net.senders, s.to)
	return true
}

// deliver writes a message, connecting first where the sender is not connected or its member moved.
func (s *sender) deliver(m outboundMsg) bool {
	s.net.mu.Lock()
	address := s.net.addresses[s.to]
	s.net.mu.Unlock()
	if address != s.address {
		s.disconnect()
	}
	if s.conn == nil {
		c, err := s.net.dial(context.Background(), address)
		if err != nil {
			return false
		}
		s.conn, s.address = c, address
		go closeOnEOF(c)
	}
	if !s.write(s.conn, m) {
		s.disconnect()
		return false
	}
	return true
}

func (s *sender) disconnect() {
	if s.conn != nil {
		s.net.closeConn(s.conn)
		s.conn = nil
	}
}

// closeOnEOF closes a connection, on which nothing is ever received, once the other side does, so that the
// next write fails.
func closeOnEOF(c net.Conn) {
	var b [1]byte
	_, _ = c.Read(b[:]) // whatever ends the read, the connection is no use any more
	c.Close()
}

// write sends one message; false if the connection failed.
func (s *sender) write(c net.Conn, m outboundMsg) bool {
	raw, err := proto.Marshal(m.msg)
	if err != nil {
		return true // it can't ever be sent
	}
	timeout := writeTimeout
	if len(raw) > largeMessage {
		timeout = snapshotWriteTimeout
	}
	c.SetWriteDeadline(time.Now().Add(timeout))
	if writeFrame(c, frameRaft, []byte{byte(len(m.group))}, []byte(m.group), raw) != nil {
		return false
	}
	if m.msg.GetType() == raftpb.MsgSnap {
		s.net.host.reportSnapshotSent(m.group, s.to)
	}
	return true
}

// reportUnreachable reports a message that was not sent to its group, drops what is queued, which Raft sends
// again, and backs off.
func (s *sender) reportUnreachable(m outboundMsg) {
	s.net.host.reportUndelivered(m.group, m.msg)
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
		case m := <-s.queue:
			if m.msg.GetType() == raftpb.MsgSnap {
				s.net.host.reportUndelivered(m.group, m.msg)
			}
		default:
			return
		}
	}
}
