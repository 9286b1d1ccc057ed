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
// connection; meanwhile the request's own goroutine doesn't read the client's.
type upload struct {
	server  *Server
	client  *client
	body    *http1.Body
	call    *dispatch.Call
	timeout time.Duration // how long the client waits for a response, from its last byte on

	claimed  atomic.Bool   // an attempt reads it
	progress atomic.Int32  // uploadPending, uploadCounted or uploadEnded
	ended    chan struct{} // closed when the body has ended
	err      error         // why it ended, io.EOF where it is complete; set before ended closes
}

// Whether an upload's request counts as in progress. Its last byte and its end may come in either order.
const (
	uploadPending = iota
	uploadCounted
	uploadEnded
)

// attemptUpload is an upload as one attempt has it, an upstream.Upload. Of two attempts under way at once the
// first to claim the body reads it.
type attemptUpload struct {
	*upload
	attempt int
}

// Claim reserves the body for this attempt, which is then the last one; false if another one has claimed it.
func (u attemptUpload) Claim() bool {
	if !u.claimed.CompareAndSwap(false, true) {
		return false
	}
	u.server.Decider.BodyConsumed(u.call)
	return true
}

// Read reads the next bytes of the body.
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

// MarkSent says that the last byte is sent: the request's time begins. It returns the deadline for the
// response.
func (u attemptUpload) MarkSent() time.Time {
	if u.server.onBodySent != nil {
		u.server.onBodySent()
	}
	if u.progress.CompareAndSwap(uploadPending, uploadCounted) {
		u.server.Stats.InProgress.Add(1)
	}
	return u.server.Decider.BodySent(u.call, u.attempt, time.Now().Add(u.timeout))
}

// countOut ends the count of the request as in progress; Sent does not begin it after that.
func (u *upload) countOut() {
	if u.progress.Swap(uploadEnded) == uploadCounted {
		u.server.Stats.InProgress.Add(-1)
	}
}

// malformed is the error of a malformed body; nil if it was well-formed, or was not read to its end.
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

// lastStep returns the last step of a request. Where its body broke off the client is the cause, and counts
// as gone: whether its end or that of the attempt which read it is noticed first is chance. It has no effect
// on a request without an upload.
func (u *upload) lastStep(step dispatch.Step) dispatch.Step {
	if step.Kind == dispatch.Answer || !u.brokeOff() {
		return step
	}
	return dispatch.Step{Kind: dispatch.ClientDisconnected, Attempt: -1}
}

// brokeOff reports whether the client disconnected, or stalled for too long, before the body was complete.
// It is false for a request without an upload, and for a malformed body.
func (u *upload) brokeOff() bool {
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

// clientError is the error with which the body broke off; nil if it is complete.
func (u *upload) clientError() error {
	if errors.Is(u.err, io.EOF) {
		return nil
	}
	return u.err
}
