package routerstandin

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"cresshub/internal/http1"
)

// rudeActionTimeout bounds one action of a rude client.
const rudeActionTimeout = 3 * time.Second

// RudeClient sends proxies what no well-behaved client does: halves of requests, nonsense, requests whose
// answers it does not wait for or does not read. What it sends completely is a valid request with an attempt
// of its own; nothing else of it may reach a server.
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

// Run opens a connection and does something rude on it, then waits for the interval, until ctx ends.
func (c *RudeClient) Run(ctx context.Context, interval time.Duration) {
	actions := []func(context.Context, *clientConn){
		c.sendNothing, c.sendHalfAHead, c.sendHalfABody, c.abandonAtOnce, c.abandonLater, c.resetLater,
		c.readSlowly,
		c.pipeline, c.sendNonsense, c.sendTooMuch, c.closeWrite,
	}
	for Sleep(ctx, interval) {
		ready := c.entry.Ready()
		if len(ready) == 0 {
			continue
		}
		conn, err := dialProxy(ctx, c.observations.stallClock(), ready[c.random.IntN(len(ready))])
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(rudeActionTimeout))
		actions[c.random.IntN(len(actions))](ctx, conn)
		conn.Close()
	}
}

// newAttempt records an attempt that is about to be sent, and returns it as it is sent.
func (c *RudeClient) newAttempt(conn *clientConn) (*attempt, string) {
	kind := c.kinds[c.random.IntN(len(c.kinds))]
	request := NewRequest(kind, c.number())
	attempt := &attempt{id: newAttemptID(), request: request, machine: conn.machine,
		deadline: time.Now().Add(kind.Deadline), probe: true}
	c.observations.recordAttempt(attempt)
	var text bytes.Buffer
	out := bufio.NewWriter(&text)
	if request.message(attempt.id, kind.Deadline, 0).Write(out) == nil {
		_ = out.Flush() // a buffer takes everything
	}
	return attempt, text.String()
}

func (c *RudeClient) send(conn *clientConn, text string) {
	_, _ = conn.Out.WriteString(text)
	_ = conn.Flush()
}

// abandon records that the client does not wait for an answer.
func (c *RudeClient) abandon(attempt *attempt) { c.observations.recordNotServed(attempt, 0) }

func (c *RudeClient) sendNothing(ctx context.Context, _ *clientConn) {
	Sleep(ctx, time.Duration(c.random.IntN(500))*time.Millisecond)
}

func (c *RudeClient) sendHalfAHead(ctx context.Context, conn *clientConn) {
	c.send(conn, "POST /command/1 HTTP/1.1\r\nHost: lamps.example\r\nCresshub-Try-Id: half-"+newAttemptID())
	Sleep(ctx, time.Duration(c.random.IntN(800))*time.Millisecond)
}

func (c *RudeClient) sendHalfABody(ctx context.Context, conn *clientConn) {
	c.send(conn, "POST /command/1 HTTP/1.1\r\nHost: lamps.example\r\nCresshub-Try-Id: half-"+newAttemptID()+
		"\r\nContent-Length: 100\r\n\r\nhalf")
	Sleep(ctx, time.Duration(c.random.IntN(800))*time.Millisecond)
}

func (c *RudeClient) abandonAtOnce(_ context.Context, conn *clientConn) {
	attempt, text := c.newAttempt(conn)
	c.send(conn, text)
	c.abandon(attempt)
}

func (c *RudeClient) abandonLater(ctx context.Context, conn *clientConn) {
	attempt, text := c.newAttempt(conn)
	c.send(conn, text)
	Sleep(ctx, time.Duration(c.random.IntN(120))*time.Millisecond)
	c.abandon(attempt)
}

func (c *RudeClient) resetLater(ctx context.Context, conn *clientConn) {
	c.abandonLater(ctx, conn)
	if tcp := conn.tcp(); tcp != nil {
		_ = tcp.SetLinger(0)
	}
}

// closeWrite half-closes the connection and waits.
func (c *RudeClient) closeWrite(ctx context.Context, conn *clientConn) {
	attempt, text := c.newAttempt(conn)
	c.send(conn, text)
	if tcp := conn.tcp(); tcp != nil {
		_ = tcp.CloseWrite()
	}
	Sleep(ctx, 100*time.Millisecond)
	c.abandon(attempt)
}

func (c *RudeClient) readSlowly(ctx context.Context, conn *clientConn) {
	attempt, text := c.newAttempt(conn)
	c.send(conn, text)
	for range 20 {
		if _, err := conn.In.ReadByte(); err != nil || !Sleep(ctx, 25*time.Millisecond) {
			break
		}
	}
	c.abandon(attempt)
}

// pipeline sends two requests at once and reads both answers, which must come in this order.
func (c *RudeClient) pipeline(_ context.Context, conn *clientConn) {
	first, one := c.newAttempt(conn)
	second, two := c.newAttempt(conn)
	c.send(conn, one+two)
	for _, attempt := range []*attempt{first, second} {
		head, body, err := http1.ReadResponseHead(conn.In, attempt.request.Method)
		if err == nil {
			_, err = readComplete(body)
		}
		if err != nil {
			break
		}
		if id := head.Header.Get(attemptIDHeader); id != "" && id != attempt.id {
			c.observations.RecordViolation(RuleMixed, "attempt %s, sent with another at once, got the answer to %s",
				attempt.id, id)
		}
	}
	c.abandon(first)
	c.abandon(second)
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
	head.WriteString("Cresshub-Try-Id: much-" + newAttemptID() + "\r\n")
	for i := range 300 + c.random.IntN(300) {
		fmt.Fprintf(&head, "X-Field-%d: %s\r\n", i, strings.Repeat("x", 60))
	}
	c.send(conn, head.String()+"\r\n")
	_, _ = conn.In.ReadByte()
}
