package raftgroup

import (
	"context"
	"net"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// unreachableBackoff is how long a member that cannot be reached is left alone.
const unreachableBackoff = 100 * time.Millisecond

// outboundMsg is a message of a group's on its way.
type outboundMsg struct {
	group string
	msg   *raftpb.Message
}

// sender carries raft's messages to one member's disk, in their order, over one connection.
type sender struct {
	net   *network
	to    uint64
	queue chan outboundMsg
}

// send queues a message; false where it cannot.
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

// run carries messages until the network closes, or nothing was to be carried for a while.
func (s *sender) run() {
	defer s.net.done.Done()
	var c net.Conn
	address := ""
	defer func() {
		if c != nil {
			s.net.closeConn(c)
		}
	}()
	idle := time.NewTimer(idleTimeout / 2)
	defer idle.Stop()
	for {
		select {
		case <-s.net.stop:
			return
		case <-idle.C:
			s.net.mu.Lock()
			if len(s.queue) == 0 {
				delete(s.net.senders, s.to)
				s.net.mu.Unlock()
				return
			}
			s.net.mu.Unlock()
			idle.Reset(idleTimeout / 2)
		case o := <-s.queue:
			idle.Reset(idleTimeout / 2)
			s.net.mu.Lock()
			current := s.net.addresses[s.to]
			s.net.mu.Unlock()
			if c != nil && current != address { // it moved
				s.net.closeConn(c)
				c = nil
			}
			if c == nil {
				var err error
				if c, err = s.net.dial(context.Background(), current); err != nil {
					c = nil
					s.reportUnreachable(o)
					continue
				}
				address = current
				go s.closeOnEOF(c)
			}
			if !s.write(c, o) {
				s.net.closeConn(c)
				c = nil
				s.reportUnreachable(o)
			}
		}
	}
}

// closeOnEOF ends a connection once the other side closes it, so that the next message finds out.
func (s *sender) closeOnEOF(c net.Conn) {
	var one [1]byte
	c.Read(one[:])
	c.Close()
}

func (s *sender) write(c net.Conn, o outboundMsg) bool {
	raw, err := proto.Marshal(o.msg)
	if err != nil {
		return true // it never can be sent
	}
	timeout := writeTimeout
	if len(raw) > 1<<20 {
		timeout = time.Minute // a snapshot
	}
	c.SetWriteDeadline(time.Now().Add(timeout))
	if writeFrame(c, frameRaft, []byte{byte(len(o.group))}, []byte(o.group), raw) != nil {
		return false
	}
	if o.msg.GetType() == raftpb.MsgSnap {
		s.net.host.reportSnapshotSent(o.group, s.to)
	}
	return true
}

// reportUnreachable tells the groups whose messages did not get out, and drops what waits: raft sends again.
func (s *sender) reportUnreachable(o outboundMsg) {
	s.net.host.reportUndelivered(o.group, o.msg)
	for {
		select {
		case o := <-s.queue:
			if o.msg.GetType() == raftpb.MsgSnap {
				s.net.host.reportUndelivered(o.group, o.msg)
			}
			continue
		default:
		}
		break
	}
	select {
	case <-time.After(unreachableBackoff):
	case <-s.net.stop:
	}
}
