package raftgroup

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"
)

const (
	// maxIdleConnsPerMember bounds the connections kept for later requests to one member.
	maxIdleConnsPerMember = 4
	// maxCallTimeout bounds how long a request without a deadline is waited for, and how long the member that
	// answers one works on it.
	maxCallTimeout = time.Minute
	// idleCheckTimeout bounds the read that finds out whether an idle connection was closed by the other side.
	idleCheckTimeout = 100 * time.Microsecond
)

// errUnreachable is the error of a request that the member certainly did not receive.
var errUnreachable = errors.New("the member was not reached")

// call sends a request to a member and reads the response into resp, until ctx ends; where ctx has no
// deadline, for maxCallTimeout at most. The error is errUnreachable if the member certainly did not receive
// the request; after any other it may have carried it out. An error that the member answers with is in resp,
// not returned.
func (n *network) call(ctx context.Context, address string, req request, resp *response) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(maxCallTimeout)
	}
	req.TimeoutMS = time.Until(deadline).Milliseconds()
	raw, err := json.Marshal(req)
	if err != nil {
		return err
	}
	conn := n.takeIdle(address)
	if conn == nil {
		if conn, err = n.dial(ctx, address); err != nil {
			return fmt.Errorf("%w: %w", errUnreachable, err)
		}
	}
	conn.SetDeadline(deadline)
	stopWatching := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	err = roundTrip(conn, raw, resp)
	if stopped := stopWatching(); err == nil && stopped {
		n.putIdle(address, conn)
		return nil
	}
	// Where the deadline is being set, it could come as late as in the next call on the connection.
	n.closeConn(conn)
	return err
}

// roundTrip writes an encoded request and reads the response. After an error the connection is of no use.
func roundTrip(conn net.Conn, raw []byte, resp *response) error {
	if err := writeFrame(conn, frameRequest, raw); err != nil {
		return err
	}
	kind, body, err := readFrame(bufio.NewReader(conn), maxFrameSize)
	if err != nil {
		return err
	}
	if kind != frameResponse || json.Unmarshal(body, resp) != nil {
		return errors.New("a response that does not decode")
	}
	return nil
}

// takeIdle takes the connection to a member that was used last out of the pool, and closes those that the
// other side has closed. It returns nil if none is left.
func (n *network) takeIdle(address string) net.Conn {
	for {
		conn := n.popIdle(address)
		if conn == nil || isOpen(conn) {
			return conn
		}
		n.closeConn(conn)
	}
}

// popIdle takes a connection out of the pool as it is; nil if the pool is empty.
func (n *network) popIdle(address string) net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	idle := n.idleConns[address]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	n.idleConns[address] = idle[:last]
	return idle[last]
}

// isOpen reports whether the other side has left an idle connection open. Nothing was asked on it, so that a
// read that ends by anything but its timeout means that the connection was closed or can't be used. It leaves
// a read deadline that has passed.
func isOpen(conn net.Conn) bool {
	conn.SetReadDeadline(time.Now().Add(idleCheckTimeout))
	var buf [1]byte
	_, err := conn.Read(buf[:])
	return isTimeout(err)
}

// putIdle puts a connection into the pool, or closes it if the pool is full or the network closed.
func (n *network) putIdle(address string, conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || len(n.idleConns[address]) >= maxIdleConnsPerMember {
		conn.Close()
		delete(n.conns, conn)
		return
	}
	n.idleConns[address] = append(n.idleConns[address], conn)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
