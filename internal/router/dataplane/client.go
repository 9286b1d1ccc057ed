package dataplane

import (
	"errors"
	"io"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/invariant"
)

const (
	// lingerTime and lingerBytes bound what is read of a client after an answer to a request that was not read
	// whole: closing at once would reset the connection, and the answer with it.
	lingerTime  = 250 * time.Millisecond
	lingerBytes = 256 << 10
	// writeTime is how long a client may take to let an answer in that belongs to no request.
	writeTime = time.Second
	// lastWrite is how long it may take beyond its request's end: the operators want nothing held a quarter of a
	// second past the route's timeout.
	lastWrite = 200 * time.Millisecond
	// lateWrite is how long it may take where this process is late itself: it had no turn, or was frozen.
	lateWrite = 50 * time.Millisecond
)

// client is a client's connection. One goroutine serves it.
type client struct {
	front  *Front
	socket *socket
	held   int // bytes of the present body that were taken from the budget

	answers int  // given to the present request
	lingers bool // the answer to a request that was not read whole has been sent
	cut     bool // the last answer was cut off, so that nothing may look like its end
	carried bool // the connection has carried a request

	mu       sync.Mutex
	idle     bool
	delivery *delivery // under way, for Wait
}

func (c *client) run() {
	defer c.front.leave(c)
	defer c.socket.Close()
	defer c.survive()
	for c.awaitRequest() && c.serve() {
		c.socket.rest()
	}
	if !c.cut && (c.lingers || c.socket.holdsInput() || c.socket.look() == bytesThere) {
		c.linger()
	}
	c.socket.release()
}

// survive keeps a mistake that one request brings out from ending all others. A broken invariant panics in
// tests only, and is to end them.
func (c *client) survive() {
	if mistake := recover(); mistake != nil {
		if violation, ok := mistake.(*invariant.ViolationError); ok {
			panic(violation)
		}
		c.front.log.Error().Interface("panic", mistake).Bytes("stack", debug.Stack()).
			Msg("front: a mistake of the program ended a client's connection; report it with the stack")
	}
}

// awaitRequest waits for the first byte of a request. It returns false where the connection is over.
func (c *client) awaitRequest() bool {
	if c.socket.holdsInput() {
		return true
	}
	c.mu.Lock()
	c.idle = true
	until := time.Now().Add(c.front.limits().IdleTimeout)
	if c.front.draining.Load() {
		until = c.front.idleEnd(c.carried)
	}
	c.socket.SetReadDeadline(until)
	c.mu.Unlock()
	seen := c.socket.await()
	c.mu.Lock()
	c.idle = false
	c.socket.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	if seen == nothing { // this goroutine may have had its turn later than both the bytes and the deadline
		seen = c.socket.look()
	}
	return seen == bytesThere
}

// wakeIdle ends the connection if no byte of a request has come.
func (c *client) wakeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.socket.SetReadDeadline(longAgo)
	}
}

// cutOff ends the calls of the request under way; the client gets an answer.
func (c *client) cutOff() {
	c.mu.Lock()
	d := c.delivery
	c.mu.Unlock()
	if d != nil {
		d.stop(stopped)
	}
}

// serve reads one request and answers it. It returns whether the connection goes on.
func (c *client) serve() bool {
	defer c.giveBack()
	c.answers = 0
	request, err := c.receive()
	var own *refusal
	if errors.As(err, &own) {
		c.front.stats.malformed.Add(1)
		c.refuse(nil, own)
		return false
	}
	if err != nil {
		return false
	}
	c.carried = true
	c.front.stats.requests.Add(1)
	c.socket.rest()
	return c.answer(request)
}

func (c *client) giveBack() {
	c.front.bodies.Give(c.held)
	c.held = 0
	used := c.front.bodies.Used()
	invariant.Assert(used >= 0, invariant.CountsNotNegative, "bodies take %d bytes", used)
}

// noteAnswer notes that an answer to the present request begins.
func (c *client) noteAnswer() {
	c.answers++
	invariant.Assert(c.answers <= 1, invariant.OneFinalAnswer, "a request got %d answers", c.answers)
}

// answer answers a request that was read whole.
func (c *client) answer(q *request) bool {
	c.socket.SetWriteDeadline(q.writeUntil())
	switch {
	case c.front.isLateInDrain():
		return c.refuse(q, errEnding)
	case q.config == nil:
		return c.refuse(q, errNoConfig)
	case q.route == nil:
		return c.refuse(q, errNoRoute)
	}
	d := newDelivery(c, q)
	c.setDelivery(d)
	defer c.setDelivery(nil)
	w := watch(c.socket, func() { d.stop(clientLeft) })
	defer w.stop()
	d.run()
	return d.goesOn
}

func (c *client) setDelivery(d *delivery) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delivery = d
}

// refuse sends the proxy's own answer. It returns whether the connection goes on.
func (c *client) refuse(q *request, r *refusal) bool {
	c.noteAnswer()
	c.front.noteRefusal(q, r)
	text := r.remedy + "\n"
	answer := &http1.Response{Status: r.status, Body: []byte(text)}
	answer.Header = http1.Header{{Name: "Content-Type", Value: "text/plain"}}
	if r.after > 0 {
		answer.Header = append(answer.Header, http1.Field{Name: "Retry-After", Value: seconds(r.after)})
	}
	if q != nil && q.tryID != "" {
		answer.Header = append(answer.Header, http1.Field{Name: tryIDHeader, Value: q.tryID})
	}
	if q != nil && q.Method == "HEAD" {
		answer.Bodiless, answer.Length, answer.Body = true, int64(len(text)), nil
	}
	switch {
	case r.status == 503:
		c.front.stats.refused.Add(1)
	case r.status == 502 || r.status == 504:
		c.front.stats.failed.Add(1)
	}
	answer.Close = r.ends || c.ends(q)
	c.allowWrite(q)
	c.persistence(answer)
	if out := c.socket.writer(); answer.Write(out) != nil || out.Flush() != nil {
		return false
	}
	c.lingers = r.ends
	return !answer.Close
}

// allowWrite gives the client the time to let in an answer that is written whole; q is nil where no request
// could be read. An answer that is late may still arrive, and a deadline that has passed would keep it from
// being written.
func (c *client) allowWrite(q *request) {
	now := time.Now()
	until := now.Add(writeTime)
	if q != nil {
		until = q.writeUntil()
	}
	if least := now.Add(lateWrite); until.Before(least) {
		until = least
	}
	c.socket.SetWriteDeadline(until)
}

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// ends tells whether the connection ends with the answer to a request.
func (c *client) ends(q *request) bool { return c.front.draining.Load() || q == nil || q.Close }

// persistence tells the client how long its connection stays open: a little less than it does.
func (c *client) persistence(answer *http1.Response) {
	whole := int(c.front.limits().IdleTimeout/time.Second) - 1
	if answer.Close || whole <= 0 {
		return
	}
	field := http1.Field{Name: "Keep-Alive", Value: "timeout=" + strconv.Itoa(whole)}
	answer.Header = append(answer.Header, field)
}

// linger ends the sending and reads what the client still sends, for a bounded time.
func (c *client) linger() {
	half, ok := c.socket.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.socket.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.socket.reader(), lingerBytes) // the connection is over however it ends
}
