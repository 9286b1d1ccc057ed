package routerstandin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"cresshub/internal/http1"
)

// largestAnswer bounds the body of an answer, in bytes.
const largestAnswer = 1 << 20

// exchange sends a try and takes its answer in.
func (a *asking) exchange(ctx context.Context, conn *clientConn, t *try) ending {
	conn.SetWriteDeadline(a.until)
	conn.SetReadDeadline(a.patienceEnd())
	err := a.request.message(t.id, a.left(), t.resumeAt).Write(conn.Out)
	if err == nil {
		err = conn.Flush()
	}
	if err == nil {
		a.client.observations.sentWhole(t)
	}
	head, body, readErr := http1.ReadResponseHead(conn.In, a.request.Method)
	if readErr != nil {
		return a.unanswered(ctx, conn, t, errors.Join(err, readErr))
	}
	a.checkHead(t, head)
	if head.Status/100 == 2 {
		return a.takeSuccess(ctx, conn, t, head, body)
	}
	return a.takeFailure(ctx, conn, t, head, body)
}

// patienceEnd is when the client stops waiting for the next bytes.
func (a *asking) patienceEnd() time.Time {
	end := time.Now().Add(a.request.Kind.silence())
	if a.until.Before(end) {
		return a.until
	}
	return end
}

// unanswered notes that a try ended without a whole answer.
func (a *asking) unanswered(ctx context.Context, conn *clientConn, t *try, err error) ending {
	conn.Close()
	o := a.client.observations
	var malformed *http1.MalformedError
	switch {
	case ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded): // the client ended it
		o.answered(t, 0, false, false)
		return ending{reason: "no answer in time"}
	case errors.As(err, &malformed):
		o.Broken(Mixed, "try %s got bytes from %s that are no answer: %v", t.id, t.machine, err)
	}
	o.cutOff(t)
	return ending{unread: !o.seenBy(t), reason: "the connection ended"}
}

// checkHead checks what the head of every answer must hold.
func (a *asking) checkHead(t *try, head *http1.Response) {
	if id := head.Header.Get(tryIDHeader); id != "" && id != t.id {
		a.client.observations.Broken(Mixed, "try %s got the answer to %s from %s", t.id, id, t.machine)
	}
}

// takeFailure reads an answer that is no success.
func (a *asking) takeFailure(ctx context.Context, conn *clientConn, t *try, head *http1.Response,
	body *http1.Body) ending {
	text, err := readWhole(body)
	if err != nil {
		return a.unanswered(ctx, conn, t, err)
	}
	ownAnswer := head.Header.Get(stampHeader) == ""
	a.client.observations.answered(t, head.Status, ownAnswer, false)
	a.client.giveBack(conn, head)
	return ending{status: head.Status, reason: fmt.Sprintf("%d: %s", head.Status, bytes.TrimSpace(text)),
		retryAfter: retryAfterOf(head.Header.Get(retryHeader))}
}

// takeSuccess reads a success and checks that it is the answer of a run of this try.
func (a *asking) takeSuccess(ctx context.Context, conn *clientConn, t *try, head *http1.Response,
	body *http1.Body) ending {
	o := a.client.observations
	stamp := head.Header.Get(stampHeader)
	run := o.runOf(stamp)
	if run == nil || run.try != t || head.Header.Get("Content-Encoding") != "" {
		o.Broken(Mixed, "try %s got a success from %s with the stamp %q, which is not its server's", t.id,
			t.machine, stamp)
		o.answered(t, head.Status, false, false)
		conn.Close()
		return ending{status: head.Status, reason: "an answer that is not its server's"}
	}
	var err error
	if run.isEvent {
		err = a.takeStream(conn, t, body)
	} else {
		err = a.takeBody(t, run, body)
	}
	if err != nil {
		return a.unanswered(ctx, conn, t, err)
	}
	o.answered(t, head.Status, false, true)
	a.client.giveBack(conn, head)
	return ending{status: head.Status, served: true}
}

// takeBody reads a body and compares it with the one that the server sent.
func (a *asking) takeBody(t *try, run *run, body *http1.Body) error {
	got, err := readWhole(body)
	if err != nil {
		return err
	}
	a.latency = time.Since(a.began)
	if string(got) != run.body {
		a.client.observations.Broken(Mixed, "try %s got %d bytes that are not the body of %s", t.id, len(got),
			run.stamp)
	}
	return nil
}

func readWhole(body *http1.Body) ([]byte, error) {
	got, err := io.ReadAll(io.LimitReader(body, largestAnswer))
	if err == nil && !body.Complete() {
		err = io.ErrUnexpectedEOF
	}
	return got, err
}
