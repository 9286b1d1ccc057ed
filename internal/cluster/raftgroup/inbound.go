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

// acceptRetryInterval is between attempts to accept after one failed, such as for want of descriptors.
const acceptRetryInterval = 5 * time.Millisecond

// accept serves other members' connections until the network closes. Beyond maxInboundConns a connection is
// closed at once.
func (n *network) accept() {
	slots := make(chan struct{}, maxInboundConns)
	for {
		c, err := n.listener.Accept()
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
			c.Close()
			continue
		}
		if !n.trackInbound(c) {
			return
		}
		go func() {
			defer n.done.Done()
			defer func() { <-slots }()
			defer n.closeConn(c)
			if err := n.serveConn(c); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				n.host.log.Warn("ledger: inbound connection closed", "from", c.RemoteAddr().String(),
					"why", err.Error())
			}
		}()
	}
}

// trackInbound has close end a connection and wait for its goroutine; false if the network is closed.
func (n *network) trackInbound(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.trackLocked(c) {
		return false
	}
	n.done.Add(1)
	return true
}

// serveConn reads a connection's hello and handles its frames, until the other side closes it or it is idle
// for idleTimeout.
func (n *network) serveConn(c net.Conn) error {
	in := bufio.NewReader(c)
	c.SetReadDeadline(time.Now().Add(helloTimeout))
	if err := n.readHello(in); err != nil {
		return err
	}
	for {
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		kind, body, err := readFrame(in, maxFrameSize)
		if isTimeout(err) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := n.handleFrame(c, kind, body); err != nil {
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
	var h hello
	if kind != frameHello || json.Unmarshal(body, &h) != nil {
		return errors.New("it does not begin with a hello")
	}
	if h.Label != n.host.opts.Label || h.Protocol != protocolVersion {
		return fmt.Errorf("it is of the fleet %q with protocol %d; this is %q with %d", h.Label, h.Protocol,
			n.host.opts.Label, protocolVersion)
	}
	return nil
}

func (n *network) handleFrame(c net.Conn, kind byte, body []byte) error {
	switch kind {
	case frameRaft:
		return n.handleRaftMessage(body)
	case frameRequest:
		return n.answer(c, body)
	}
	return fmt.Errorf("kind %d is no frame", kind)
}

// handleRaftMessage hands a frame's Raft message to its group.
func (n *network) handleRaftMessage(body []byte) error {
	if len(body) < 1 || len(body) < 1+int(body[0]) {
		return errors.New("a message truncated in its group's name")
	}
	nameEnd := 1 + int(body[0])
	m := &raftpb.Message{}
	if err := proto.Unmarshal(body[nameEnd:], m); err != nil {
		return fmt.Errorf("a message that does not decode: %w", err)
	}
	n.host.deliver(string(body[1:nameEnd]), m)
	return nil
}

// answer answers a frame's request, within the time that its caller waits.
func (n *network) answer(c net.Conn, body []byte) error {
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
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return writeFrame(c, frameResponse, raw)
}
