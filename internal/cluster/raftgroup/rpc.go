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
	// maxIdleConnsPerMember bounds the idle connections kept for further requests to one member.
	maxIdleConnsPerMember = 4
	// maxCallTimeout bounds how long call waits if its context has no deadline, and how long a member works
	// on a request.
	maxCallTimeout = time.Minute
	// idleCheckTimeout bounds the read that checks whether the other side has closed an idle connection.
	idleCheckTimeout = 100 * time.Microsecond
)

// errUnreachable is returned for a request that the member certainly did not receive.
var errUnreachable = errors.New("the member was not reached")

// call sends a request to a member and reads the response into resp, until ctx ends; if ctx has no deadline,
// within maxCallTimeout. The error is errUnreachable if the member certainly did not receive the request;
// after any other error the member may have executed it. An error reported by the member is in resp and is
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
	// A call of SetDeadline that has begun may take effect as late as during the next call on this
	// connection.
	n.closeConn(conn)
	return err
}

// roundTrip writes an encoded request and reads the response. After an error the connection must not be used
// again.
func roundTrip(conn net.Conn, raw []byte, resp *response) error {
	if err := writeFrame(conn, frameRequest, raw); err != nil {
		return err
	}
	kind, body, err := readFrame(bufio.NewReader(conn), maxFrameSize)
	if err != nil {
		return err
	}
	if kind != frameResponse || json.Unmarshal(body, resp) != nil {
		return errors.New("invalid response frame")
	}
	return nil
}

// takeIdle removes the most recently used open connection to a member from the pool, and closes those before
// it that the other side has closed. It returns nil if none is left.
func (n *network) takeIdle(address string) net.Conn {
	for {
		conn := n.popIdle(address)
		if conn == nil || isOpen(conn) {
			return conn
		}
		n.closeConn(conn)
	}
}

// popIdle removes a connection from the pool without checking it. It returns nil if the pool is empty.
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

// isOpen reports whether the other side has left an idle connection open. No request is pending on it, so
// that a read that ends by anything but its timeout means that the connection was closed or can't be used.
// The read deadline that isOpen leaves on the connection has passed.
func isOpen(conn net.Conn) bool {
	conn.SetReadDeadline(time.Now().Add(idleCheckTimeout))
	var buf [1]byte
	_, err := conn.Read(buf[:])
	return isTimeout(err)
}

// putIdle returns a connection to the pool, or closes it if the pool is full or the network is closed.
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
