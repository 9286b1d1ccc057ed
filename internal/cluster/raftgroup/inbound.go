package raftgroup

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// maxInboundConns bounds the simultaneous connections from other members.
	maxInboundConns = 256
	// acceptRetryInterval is the delay after a failed accept, for example for lack of file descriptors.
	acceptRetryInterval = 5 * time.Millisecond
)

// accept serves connections from other members, each in a goroutine of its own, until the network is closed.
// Connections beyond maxInboundConns are closed immediately. It is called once, in a goroutine of the Host.
func (n *network) accept() {
	slots := make(chan struct{}, maxInboundConns) // holds one value for each connection being served
	for {
		conn, err := n.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		if !n.trackInbound(conn) {
			return
		}
		go func() {
			defer n.goroutines.Done()
			defer func() { <-slots }()
			defer n.closeConn(conn)
			n.logClosed(conn, n.serveConn(conn))
		}()
	}
}

// logClosed logs why an inbound connection ended, unless one of the two sides closed it normally.
func (n *network) logClosed(conn net.Conn, err error) {
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	n.host.log.Warn("ledger: inbound connection closed", "from", conn.RemoteAddr().String(),
		"why", err.Error())
}

// trackInbound registers a connection, so that close closes it and waits for its goroutine, which has to call
// goroutines.Done. If the network is already closed, it closes the connection and returns false.
func (n *network) trackInbound(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.trackLocked(conn) {
		return false
	}
	n.goroutines.Add(1)
	return true
}

// serveConn reads the hello of a connection and handles the frames after it one by one. It returns nil once
// the connection was idle for idleTimeout, and otherwise the error that ended it: io.EOF if the other side
// closed it between two frames. A malformed frame ends the connection, as nothing after it can be trusted.
func (n *network) serveConn(conn net.Conn) error {
	in := bufio.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(helloTimeout))
	if err := n.readHello(in); err != nil {
		return err
	}
	for {
		conn.SetReadDeadline(time.Now().Add(idleTimeout))
		kind, body, err := readFrame(in, maxFrameSize)
		if isTimeout(err) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := n.handleFrame(conn, kind, body); err != nil {
			return err
		}
	}
}

// readHello reads a connection's first frame. It returns an error if that is not a hello of this fleet and
// protocol version.
func (n *network) readHello(in *bufio.Reader) error {
	kind, body, err := readFrame(in, maxHelloSize)
	if err != nil {
		return err
	}
	var peer hello
	if kind != frameHello || json.Unmarshal(body, &peer) != nil {
		return errors.New("the first frame is not a valid hello")
	}
	if peer.Label != n.host.opts.Label || peer.Protocol != protocolVersion {
		return fmt.Errorf("peer has fleet label %q and protocol version %d, expected %q and %d", peer.Label,
			peer.Protocol, n.host.opts.Label, protocolVersion)
	}
	return nil
}

// handleFrame handles a frame that follows the hello. Raft messages get no response.
func (n *network) handleFrame(conn net.Conn, kind byte, body []byte) error {
	switch kind {
	case frameRaft:
		return n.handleRaftMessage(body)
	case frameRequest:
		return n.answer(conn, body)
	}
	return fmt.Errorf("unknown frame kind %d", kind)
}

// handleRaftMessage decodes a frame's Raft message and delivers it to its group.
func (n *network) handleRaftMessage(body []byte) error {
	if len(body) < 1 || len(body) < 1+int(body[0]) {
		return errors.New("raft message frame is truncated in the group's name")
	}
	nameEnd := 1 + int(body[0])
	msg := &raftpb.Message{}
	if err := proto.Unmarshal(body[nameEnd:], msg); err != nil {
		return fmt.Errorf("decode raft message: %w", err)
	}
	n.host.deliver(string(body[1:nameEnd]), msg)
	return nil
}

// answer handles the request in a frame and writes the response, within the caller's timeout. Further frames
// on the connection wait meanwhile, as a caller sends one request at a time on a connection.
func (n *network) answer(conn net.Conn, body []byte) error {
	var req request
	if err := json.Unmarshal(body, &req); err != nil {
		return fmt.Errorf("decode request: %w", err)
	}
	timeout := min(max(time.Duration(req.TimeoutMS)*time.Millisecond, time.Millisecond), maxCallTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	resp := n.host.handleRequest(ctx, req)
	cancel()
	raw, err := json.Marshal(resp)
	if err != nil {
		return err
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return writeFrame(conn, frameResponse, raw)
}
