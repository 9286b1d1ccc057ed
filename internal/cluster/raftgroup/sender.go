package raftgroup

import (
	"context"
	"net"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// restAfter is how long a member that cannot be reached is left alone.
const restAfter = 100 * time.Millisecond

// outgoing is a message of a group's on its way.
type outgoing struct {
	group string
	m     *raftpb.Message
}

// sender carries raft's messages to one member's disk, in their order, over one connection.
type sender struct {
	net   *network
	to    uint64
	queue chan outgoing
}

// send queues a message; false where it cannot.
func (n *network) send(group string, m *raftpb.Message) bool {
	to := m.GetTo()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.address[to] == "" {
		return false
	}
	s := n.senders[to]
	if s == nil {
		s = &sender{net: n, to: to, queue: make(chan outgoing, queueMost)}
		n.senders[to] = s
		n.done.Add(1)
		go s.run()
	}
	select {
	case s.queue <- outgoing{group, m}:
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
			s.net.drop(c)
		}
	}()
	rest := time.NewTimer(silentMost / 2)
	defer rest.Stop()
	for {
		select {
		case <-s.net.stop:
			return
		case <-rest.C:
			s.net.mu.Lock()
			if len(s.queue) == 0 {
				delete(s.net.senders, s.to)
				s.net.mu.Unlock()
				return
			}
			s.net.mu.Unlock()
			rest.Reset(silentMost / 2)
		case o := <-s.queue:
			rest.Reset(silentMost / 2)
			s.net.mu.Lock()
			now := s.net.address[s.to]
			s.net.mu.Unlock()
			if c != nil && now != address { // it moved
				s.net.drop(c)
				c = nil
			}
			if c == nil {
				var err error
				if c, err = s.net.dial(context.Background(), now); err != nil {
					c = nil
					s.unreached(o)
					continue
				}
				address = now
				go s.watch(c)
			}
			if !s.write(c, o) {
				s.net.drop(c)
				c = nil
				s.unreached(o)
			}
		}
	}
}

// watch ends a connection once the other side closes it, so that the next message finds out.
func (s *sender) watch(c net.Conn) {
	var one [1]byte
	c.Read(one[:])
	c.Close()
}

func (s *sender) write(c net.Conn, o outgoing) bool {
	raw, err := proto.Marshal(o.m)
	if err != nil {
		return true // it never can be sent
	}
	within := writeWithin
	if len(raw) > 1<<20 {
		within = time.Minute // a snapshot
	}
	c.SetWriteDeadline(time.Now().Add(within))
	if writeFrame(c, frameRaft, []byte{byte(len(o.group))}, []byte(o.group), raw) != nil {
		return false
	}
	if o.m.GetType() == raftpb.MsgSnap {
		s.net.host.snapshotSent(o.group, s.to)
	}
	return true
}

// unreached tells the groups whose messages did not get out, and drops what waits: raft sends again.
func (s *sender) unreached(o outgoing) {
	s.net.host.undelivered(o.group, o.m)
	for {
		select {
		case o := <-s.queue:
			if o.m.GetType() == raftpb.MsgSnap {
				s.net.host.undelivered(o.group, o.m)
			}
			continue
		default:
		}
		break
	}
	select {
	case <-time.After(restAfter):
	case <-s.net.stop:
	}
}
