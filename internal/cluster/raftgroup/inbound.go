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
	// maxInboundConns bounds the connections of other members at once.
	maxInboundConns = 256
	// acceptRetryInterval is between attempts to accept after one failed, such as for want of descriptors.
	acceptRetryInterval = 5 * time.Millisecond
)

// accept serves other members' connections, each in a goroutine of its own, until the network closes. Beyond
// maxInboundConns a connection is closed at once. It is called once, by a goroutine of the Host.
func (n *network) accept() {
	slots := make(chan struct{}, maxInboundConns) // holds a value for each connection that is served
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

// logClosed logs why an inbound connection ended, unless one of the sides closed it as usual.
func (n *network) logClosed(conn net.Conn, err error) {
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	n.host.log.Warn("ledger: inbound connection closed", "from", conn.RemoteAddr().String(),
		"why", err.Error())
}

// trackInbound has close end a connection and wait for its goroutine, which has to call goroutines.Done. It
// returns false, with the connection closed, if the network is closed.
func (n *network) trackInbound(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.trackLocked(conn) {
		return false
	}
	n.goroutines.Add(1)
	return true
}

// serveConn reads a connection's hello and handles its frames one after the other. It returns nil once the
// connection was idle for idleTimeout, else why it can't go on: io.EOF where the other side closed it between
// two frames. A malformed frame ends the connection, as nothing after it can be trusted.
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

// readHello reads a connection's first frame; an error where it is of another fleet or protocol.
func (n *network) readHello(in *bufio.Reader) error {
	kind, body, err := readFrame(in, maxHelloSize)
	if err != nil {
		return err
	}
	var peer hello
	if kind != frameHello || json.Unmarshal(body, &peer) != nil {
		return errors.New("it does not begin with a hello")
	}
	if peer.Label != n.host.opts.Label || peer.Protocol != protocolVersion {
		return fmt.Errorf("it is of the fleet %q with protocol %d; this is %q with %d", peer.Label,
			peer.Protocol, n.host.opts.Label, protocolVersion)
	}
	return nil
}

// handleFrame handles one frame after the hello. Raft messages get no response.
func (n *network) handleFrame(conn net.Conn, kind byte, body []byte) error {
	switch kind {
	case frameRaft:
		return n.handleRaftMessage(body)
	case frameRequest:
		return n.answer(conn, body)
	}
	return fmt.Errorf("kind %d is no frame", kind)
}

// handleRaftMessage hands a frame's Raft message to its group.
func (n *network) handleRaftMessage(body []byte) error {
	if len(body) < 1 || len(body) < 1+int(body[0]) {
		return errors.New("a message truncated in its group's name")
	}
	nameEnd := 1 + int(body[0])
	msg := &raftpb.Message{}
	if err := proto.Unmarshal(body[nameEnd:], msg); err != nil {
		return fmt.Errorf("a message that does not decode: %w", err)
	}
	n.host.deliver(string(body[1:nameEnd]), msg)
	return nil
}

// answer answers a frame's request, within the time that its caller waits. Further frames of the connection
// wait meanwhile: a caller has one request at a time on it.
func (n *network) answer(conn net.Conn, body []byte) error {
	var req request
	if err := json.Unmarshal(body, &req); err != nil {
		return fmt.Errorf("a request that does not decode: %w", err)
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
