package routerstandin

import (
	"fmt"
	"strconv"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
)

// notRunReason is why a request was not run, as Cresshub-Not-Run tells it; admitted stands for none.
type notRunReason string

// The reasons for which a request is not run.
const (
	admitted           notRunReason = ""
	reasonFull         notRunReason = "full"
	reasonDeadline     notRunReason = "deadline"
	reasonCallerClosed notRunReason = "caller left"
	reasonServerEnded  notRunReason = "server ended"
	reasonLoadShed     notRunReason = "shed"
	reasonStageChanges notRunReason = "the stage changes"
	reasonNoPrefix     notRunReason = "the memory can't be had" // the prefix cache of the handle
	reasonNoID         notRunReason = "no id"
	reasonUnknownID    notRunReason = "unknown id"
)

// exchange is one request at a server, and its answer.
type exchange struct {
	server     *Server
	conn       *connbuffer.Conn
	request    *http1.Request
	arrival    *arrival
	deadline   time.Time
	closesConn bool // the connection ends with the answer
	// misbehaviour is how a misbehaving server treats the request.
	misbehaviour Misbehaviour
	callerClosed chan struct{} // closed when the caller has closed the connection
	watchEnded   chan struct{} // closed when the watch of the connection has ended
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

func newExchange(s *Server, conn *connbuffer.Conn, request *http1.Request) *exchange {
	x := &exchange{server: s, conn: conn, request: request, callerClosed: make(chan struct{}),
		watchEnded: make(chan struct{}), closesConn: s.isDraining(), misbehaviour: s.drawMisbehaviour()}
	if left, err := strconv.Atoi(request.Header.Get(deadlineHeader)); err == nil {
		x.deadline = time.Now().Add(time.Duration(left) * time.Millisecond)
	}
	return x
}

// watchCaller closes callerClosed once the caller closes the connection. Callers send nothing before the
// answer.
func (x *exchange) watchCaller() {
	x.conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(x.watchEnded)
		if x.conn.AwaitReadable() == nil {
			close(x.callerClosed)
		}
	}()
}

func (x *exchange) stopWatching() {
	x.conn.SetReadDeadline(longAgo)
	<-x.watchEnded
}

// wait waits, and reports whether the work goes on: the caller is there and the server runs.
func (x *exchange) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-x.callerClosed:
	case <-x.server.ended:
	}
	return false
}

// pastDeadline reports whether the caller's deadline has passed.
func (x *exchange) pastDeadline() bool { return !x.deadline.IsZero() && time.Now().After(x.deadline) }

// acquireSlot waits for a slot, and returns admitted or why there is none.
func (x *exchange) acquireSlot() notRunReason {
	var deadline <-chan time.Time
	if !x.deadline.IsZero() {
		timer := time.NewTimer(time.Until(x.deadline))
		defer timer.Stop()
		deadline = timer.C
	}
	return x.server.slots.acquire(deadline, x.callerClosed, x.server.ended)
}

// header returns the fields that every answer has, and more.
func (x *exchange) header(more ...http1.Field) http1.Header {
	var header http1.Header
	if id := x.request.Header.Get(attemptIDHeader); id != "" {
		header = append(header, field(attemptIDHeader, id))
	}
	if x.server.options.ReportsLoad {
		running, waiting := x.server.slots.load()
		header = append(header,
			field(loadHeader, fmt.Sprintf("%d,%d,%d", running, waiting, x.server.options.Slots)))
	}
	if !x.closesConn {
		header = append(header, field(keepAliveHeader, fmt.Sprintf("timeout=%d", int(idleTimeout.Seconds()))))
	}
	return append(header, more...)
}

// answer sends an answer without a body.
func (x *exchange) answer(status int, more ...http1.Field) { x.send(status, nil, more...) }

// answerJSON sends a JSON document.
func (x *exchange) answerJSON(status int, document []byte) { x.send(status, document, jsonType()) }

func (x *exchange) send(status int, body []byte, more ...http1.Field) {
	x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	response := &http1.Response{Status: status, Header: x.header(more...), Body: body, Close: x.closesConn}
	if response.Write(x.conn.Out) != nil || x.conn.Flush() != nil {
		x.closesConn = true
	}
}

// reject answers that the request was not run.
func (x *exchange) reject(status int, reason notRunReason) {
	if status == 503 {
		x.server.tally.count(func(t *ServerTally) { t.Rejected++ })
	}
	x.send(status, nil, field(notRunHeader, string(reason)))
}

// trackWork records that work on the request begins, and returns the function that records its end.
func (x *exchange) trackWork() (end func()) {
	nonIdempotent := 0
	if !x.arrival.attempt.request.Kind.idempotent() {
		nonIdempotent = 1
	}
	x.server.tally.addNonIdempotent(nonIdempotent)
	return func() { x.server.tally.addNonIdempotent(-nonIdempotent) }
}

// abort ends the connection during a run.
func (x *exchange) abort() {
	x.closesConn = true
	x.server.tally.count(func(t *ServerTally) { t.Aborted++ })
	select {
	case <-x.callerClosed: // the caller ended it, not the server
	default:
		x.server.options.Observations.recordAbort(x.arrival)
	}
}
