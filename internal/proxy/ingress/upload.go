package ingress

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/dispatch"
)

// upload is the part of a request's body that is not buffered. One attempt reads it, in the goroutine of its
// connection to the server; until the upload ends, the client connection's goroutine doesn't read.
type upload struct {
	server  *Server
	client  *client
	body    *http1.Body
	call    *dispatch.Call
	timeout time.Duration // how long the client waits for a response after it sent the last byte

	claimed    atomic.Bool   // an attempt has claimed the body
	inProgress atomic.Int32  // inProgressNotCounted, inProgressCounted or inProgressEnded
	ended      chan struct{} // closed when the body was read to its end, or failed
	err        error         // why it ended, io.EOF if it is complete; set before ended is closed
}

// Whether an upload's request is counted in Stats.InProgress: from its last byte to the end of the request,
// which different goroutines may report in either order.
const (
	inProgressNotCounted = iota
	inProgressCounted
	inProgressEnded
)

// attemptUpload is the upstream.Upload of one attempt. Of two attempts in flight, the first to claim the body
// reads it.
type attemptUpload struct {
	*upload
	attempt int
}

// Claim reserves the body for this attempt, after which the Decider starts no further one. It returns false
// if another attempt has claimed the body.
func (u attemptUpload) Claim() bool {
	if !u.claimed.CompareAndSwap(false, true) {
		return false
	}
	u.server.Decider.BodyConsumed(u.call)
	return true
}

// Read reads the next bytes of the body. After an error, which ends the upload, it returns that error again.
func (u *upload) Read(p []byte) (int, error) {
	if u.err != nil {
		return 0, u.err
	}
	n, err := u.client.read(u.body, p, u.server.limits.Load().StallTimeout)
	if err != nil {
		u.err = err
		close(u.ended)
	}
	return n, err
}

// MarkSent reports that the last byte was written to the server. The request's X-Timeout counts from now, and
// it is in progress. MarkSent returns the time until which the attempt waits for the response.
func (u attemptUpload) MarkSent() time.Time {
	if u.server.onBodySent != nil {
		u.server.onBodySent()
	}
	if u.inProgress.CompareAndSwap(inProgressNotCounted, inProgressCounted) {
		u.server.Stats.InProgress.Add(1)
	}
	return u.server.Decider.BodySent(u.call, u.attempt, time.Now().Add(u.timeout))
}

// endInProgress stops counting the request as in progress, and keeps a later MarkSent from starting the
// count.
func (u *upload) endInProgress() {
	if u.inProgress.Swap(inProgressEnded) == inProgressCounted {
		u.server.Stats.InProgress.Add(-1)
	}
}

// malformed returns the error of a malformed body; nil if the body is well-formed so far.
func (u *upload) malformed() error {
	select {
	case <-u.ended:
		if errors.As(u.err, new(*http1.MalformedError)) {
			return u.err
		}
	default:
	}
	return nil
}

// lastStep returns the last step of a request, which is ClientDisconnected if the client aborted the upload
// and no response was received. The attempt that read the body then fails too, and either failure may be
// reported first, so the last step of the Decider depends on chance. A request without an upload keeps its
// step.
func (u *upload) lastStep(step dispatch.Step) dispatch.Step {
	if step.Kind == dispatch.Answer || !u.aborted() {
		return step
	}
	return dispatch.Step{Kind: dispatch.ClientDisconnected, Attempt: -1}
}

// aborted reports whether the client disconnected, or stalled for longer than StallTimeout, before the body
// was complete. It is false for a request without an upload, and for a malformed body.
func (u *upload) aborted() bool {
	if u == nil || u.malformed() != nil {
		return false
	}
	select {
	case <-u.ended:
		return u.clientError() != nil
	default:
		return false
	}
}

// clientError returns the error that ended the body early; nil if the body is complete. It must only be
// called once ended is closed.
func (u *upload) clientError() error {
	if errors.Is(u.err, io.EOF) {
		return nil
	}
	return u.err
}
