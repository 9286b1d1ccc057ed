package dataplane

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/catalog"
)

const (
	// ticketMargin is the part of a handle's life after which it is not used any more.
	ticketMargin = 0.8
	// The bounds of the calls that free handles.
	mostReturns = 16
	returnTime  = time.Second
)

// ticket names the memory of a prompt at the server that has read it. It is used for its own request alone.
type ticket struct {
	server *catalog.Server
	handle string
	until  time.Time // the zero time where it does not lapse
	tryID  string    // of the request whose prompt it holds
}

func (t *ticket) reader() *catalog.Server {
	if t == nil {
		return nil
	}
	return t.server
}

func (t *ticket) source() string { return t.server.Address + "/" + t.handle }

func (t *ticket) lapsed(now time.Time) bool {
	return t != nil && !t.until.IsZero() && now.After(t.until)
}

func newTicket(reader *catalog.Server, handle, tryID string, life time.Duration) *ticket {
	t := &ticket{server: reader, handle: handle, tryID: tryID}
	if life > 0 {
		t.until = time.Now().Add(time.Duration(float64(life) * ticketMargin))
	}
	return t
}

// parseHandle reads the answer of a server that has read a prompt.
func parseHandle(body []byte) (string, bool) {
	var answer struct {
		Handle string `json:"claim_ticket"`
	}
	if json.Unmarshal(body, &answer) != nil || answer.Handle == "" {
		return "", false
	}
	// It becomes a part of a header field and of a path.
	odd := func(c rune) bool { return c <= ' ' || c > '~' || c == '/' }
	return answer.Handle, !strings.ContainsFunc(answer.Handle, odd)
}

// dropTicket frees memory that the request does not use.
func (d *delivery) dropTicket() {
	if d.ticket == nil {
		return
	}
	d.front.tickets.free(d.ticket)
	d.ticket = nil
}

// ticketReturner frees the memory of prompts in the background. When it is busy handles are left to lapse.
type ticketReturner struct {
	pool   *pool
	places chan struct{}
}

func newTicketReturner(p *pool) *ticketReturner {
	return &ticketReturner{pool: p, places: make(chan struct{}, mostReturns)}
}

func (r *ticketReturner) free(t *ticket) {
	select {
	case r.places <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-r.places }()
		r.delete(t)
	}()
}

// delete makes the call. Nothing depends on its answer.
func (r *ticketReturner) delete(t *ticket) {
	ctx, cancel := context.WithTimeout(context.Background(), returnTime)
	defer cancel()
	conn, err := r.pool.take(ctx, want{server: t.server, idle: idleUnsafe})
	if err != nil {
		return
	}
	conn.SetDeadline(time.Now().Add(returnTime))
	host, _, _ := net.SplitHostPort(t.server.Address)
	message := http1.Request{Method: "DELETE", Target: handlePath + t.handle, Header: http1.Header{
		{Name: "Host", Value: host}, {Name: expectServerHeader, Value: t.server.ID}}}
	if out := conn.writer(); message.Write(out) != nil || out.Flush() != nil {
		r.pool.drop(conn)
		return
	}
	head, body, err := http1.ReadResponseHead(conn.reader(), message.Method)
	if err == nil {
		_, err = io.CopyN(io.Discard, body, largestKept)
	}
	if err != io.EOF || !body.Whole() {
		r.pool.drop(conn)
		return
	}
	r.pool.keep(conn, idleTime(head))
}
