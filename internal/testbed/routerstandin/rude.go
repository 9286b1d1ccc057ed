package routerstandin

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"cresshub/internal/http1"
)

// rudeTime bounds one act of a rude client.
const rudeTime = 3 * time.Second

// RudeClient sends proxies what no well-behaved client does: halves of requests, nonsense, requests whose
// answers it does not wait for or does not read. What it sends whole is a proper request of a try of its own;
// nothing else of it may reach a server.
type RudeClient struct {
	entry        *Entry
	observations *Observations
	kinds        []*Kind
	random       *rand.Rand
	number       func() int
}

// NewRudeClient returns a rude client whose requests are numbered by number.
func NewRudeClient(entry *Entry, observations *Observations, kinds []*Kind, seed uint64,
	number func() int) *RudeClient {
	return &RudeClient{entry: entry, observations: observations, kinds: kinds,
		random: rand.New(rand.NewPCG(seed, 3)), number: number}
}

// Run is rude at an even rate until ctx ends.
func (c *RudeClient) Run(ctx context.Context, pause time.Duration) {
	acts := []func(context.Context, *clientConn){
		c.sendNothing, c.sendHalfAHead, c.sendHalfABody, c.leaveAtOnce, c.leaveLater, c.resetLater, c.readSlowly,
		c.pipeline, c.sendNonsense, c.sendTooMuch, c.endSending,
	}
	for sleepFor(ctx, pause) {
		ready := c.entry.Ready()
		if len(ready) == 0 {
			continue
		}
		conn, err := dialProxy(ctx, ready[c.random.IntN(len(ready))])
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(rudeTime))
		acts[c.random.IntN(len(acts))](ctx, conn)
		conn.Close()
	}
}

// newTry notes a try that is about to be sent, and returns it as it is sent.
func (c *RudeClient) newTry(conn *clientConn) (*try, string) {
	kind := c.kinds[c.random.IntN(len(c.kinds))]
	request := NewRequest(kind, c.number())
	t := &try{id: newTryID(), request: request, machine: conn.machine, until: time.Now().Add(kind.Deadline),
		probe: true}
	c.observations.sending(t)
	var text bytes.Buffer
	out := bufio.NewWriter(&text)
	if request.message(t.id, kind.Deadline, 0).Write(out) == nil {
		_ = out.Flush() // a buffer takes everything
	}
	return t, text.String()
}

func (c *RudeClient) send(conn *clientConn, text string) {
	_, _ = conn.Out.WriteString(text)
	_ = conn.Flush()
}

// leave notes that the client does not wait for an answer.
func (c *RudeClient) leave(t *try) { c.observations.answered(t, 0, false, false) }

func (c *RudeClient) sendNothing(ctx context.Context, _ *clientConn) {
	sleepFor(ctx, time.Duration(c.random.IntN(500))*time.Millisecond)
}

func (c *RudeClient) sendHalfAHead(ctx context.Context, conn *clientConn) {
	c.send(conn, "POST /command/1 HTTP/1.1\r\nHost: lamps.example\r\nCresshub-Try-Id: half-"+newTryID())
	sleepFor(ctx, time.Duration(c.random.IntN(800))*time.Millisecond)
}

func (c *RudeClient) sendHalfABody(ctx context.Context, conn *clientConn) {
	c.send(conn, "POST /command/1 HTTP/1.1\r\nHost: lamps.example\r\nCresshub-Try-Id: half-"+newTryID()+
		"\r\nContent-Length: 100\r\n\r\nhalf")
	sleepFor(ctx, time.Duration(c.random.IntN(800))*time.Millisecond)
}

func (c *RudeClient) leaveAtOnce(_ context.Context, conn *clientConn) {
	t, text := c.newTry(conn)
	c.send(conn, text)
	c.leave(t)
}

func (c *RudeClient) leaveLater(ctx context.Context, conn *clientConn) {
	t, text := c.newTry(conn)
	c.send(conn, text)
	sleepFor(ctx, time.Duration(c.random.IntN(120))*time.Millisecond)
	c.leave(t)
}

func (c *RudeClient) resetLater(ctx context.Context, conn *clientConn) {
	c.leaveLater(ctx, conn)
	if tcp, ok := conn.Conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// endSending ends its side of the connection and waits.
func (c *RudeClient) endSending(ctx context.Context, conn *clientConn) {
	t, text := c.newTry(conn)
	c.send(conn, text)
	if tcp, ok := conn.Conn.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	sleepFor(ctx, 100*time.Millisecond)
	c.leave(t)
}

func (c *RudeClient) readSlowly(ctx context.Context, conn *clientConn) {
	t, text := c.newTry(conn)
	c.send(conn, text)
	for range 20 {
		if _, err := conn.In.ReadByte(); err != nil || !sleepFor(ctx, 25*time.Millisecond) {
			break
		}
	}
	c.leave(t)
}

// pipeline sends two requests at once and reads both answers, which must come in this order.
func (c *RudeClient) pipeline(_ context.Context, conn *clientConn) {
	first, one := c.newTry(conn)
	second, two := c.newTry(conn)
	c.send(conn, one+two)
	for _, t := range []*try{first, second} {
		head, body, err := http1.ReadResponseHead(conn.In, t.request.Method)
		if err == nil {
			_, err = readWhole(body)
		}
		if err != nil {
			break
		}
		if id := head.Header.Get(tryIDHeader); id != "" && id != t.id {
			c.observations.Broken(Mixed, "try %s, sent with another at once, got the answer to %s", t.id, id)
		}
	}
	c.leave(first)
	c.leave(second)
}

func (c *RudeClient) sendNonsense(_ context.Context, conn *clientConn) {
	noise := make([]byte, 64+c.random.IntN(2000))
	for i := range noise {
		noise[i] = byte(c.random.IntN(256))
	}
	c.send(conn, string(noise)+"\r\n\r\n")
	_, _ = conn.In.ReadByte()
}

func (c *RudeClient) sendTooMuch(_ context.Context, conn *clientConn) {
	var head strings.Builder
	head.WriteString("GET /profile/1 HTTP/1.1\r\nHost: lamps.example\r\n")
	head.WriteString("Cresshub-Try-Id: much-" + newTryID() + "\r\n")
	for i := range 300 + c.random.IntN(300) {
		fmt.Fprintf(&head, "X-Field-%d: %s\r\n", i, strings.Repeat("x", 60))
	}
	c.send(conn, head.String()+"\r\n")
	_, _ = conn.In.ReadByte()
}
