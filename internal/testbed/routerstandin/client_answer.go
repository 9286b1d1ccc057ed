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

// maxAnswerBytes bounds the body of an answer, in bytes.
const maxAnswerBytes = 1 << 20

// roundTrip sends an attempt, and reads and checks its answer.
func (p *pendingRequest) roundTrip(ctx context.Context, conn *clientConn, attempt *attempt) attemptResult {
	conn.SetWriteDeadline(p.deadline)
	conn.SetReadDeadline(p.readDeadline())
	err := p.request.message(attempt.id, p.timeLeft(), attempt.resumeAfter).Write(conn.Out)
	if err == nil {
		err = conn.Flush()
	}
	if err == nil {
		p.client.observations.recordFullySent(attempt)
	}
	head, body, readErr := http1.ReadResponseHead(conn.In, p.request.Method)
	if readErr != nil {
		return p.unanswered(ctx, conn, attempt, errors.Join(err, readErr))
	}
	p.checkHead(attempt, head)
	if head.Status/100 == 2 {
		return p.readSuccess(ctx, conn, attempt, head, body)
	}
	return p.readFailure(ctx, conn, attempt, head, body)
}

// readDeadline is when the client stops waiting for the next bytes.
func (p *pendingRequest) readDeadline() time.Time {
	end := time.Now().Add(p.request.Kind.eventTimeout())
	if p.deadline.Before(end) {
		return p.deadline
	}
	return end
}

// unanswered records that an attempt ended without a complete answer.
func (p *pendingRequest) unanswered(ctx context.Context, conn *clientConn, attempt *attempt,
	err error) attemptResult {
	conn.Close()
	o := p.client.observations
	var malformed *http1.MalformedError
	switch {
	case ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded): // the client ended it
		o.recordNotServed(attempt, 0)
		return attemptResult{reason: "no answer in time"}
	case errors.As(err, &malformed):
		o.RecordViolation(RuleMixed, "attempt %s got bytes from %s that are no answer: %v", attempt.id,
			attempt.machine, err)
	}
	o.recordConnLost(attempt)
	return attemptResult{unread: !o.reachedServer(attempt), reason: "the connection ended"}
}

// checkHead checks what the head of every answer must hold.
func (p *pendingRequest) checkHead(attempt *attempt, head *http1.Response) {
	if id := head.Header.Get(attemptIDHeader); id != "" && id != attempt.id {
		p.client.observations.RecordViolation(RuleMixed, "attempt %s got the answer to %s from %s", attempt.id, id,
			attempt.machine)
	}
}

// readFailure reads an answer that is no success.
func (p *pendingRequest) readFailure(ctx context.Context, conn *clientConn, attempt *attempt,
	head *http1.Response, body *http1.Body) attemptResult {
	text, err := readComplete(body)
	if err != nil {
		return p.unanswered(ctx, conn, attempt, err)
	}
	if head.Header.Get(stampHeader) == "" {
		p.client.observations.recordProxyFailure(attempt, head.Status)
	} else {
		p.client.observations.recordNotServed(attempt, head.Status)
	}
	p.client.putIdle(conn, head)
	return attemptResult{status: head.Status, reason: fmt.Sprintf("%d: %s", head.Status, bytes.TrimSpace(text)),
		retryAfter: retryAfterOf(head.Header.Get(retryHeader))}
}

// readSuccess reads a success and checks that a run of this attempt produced it.
func (p *pendingRequest) readSuccess(ctx context.Context, conn *clientConn, attempt *attempt,
	head *http1.Response, body *http1.Body) attemptResult {
	o := p.client.observations
	stamp := head.Header.Get(stampHeader)
	run := o.runByStamp(stamp)
	if run == nil || run.attempt != attempt || head.Header.Get("Content-Encoding") != "" {
		o.RecordViolation(RuleMixed,
			"attempt %s got a success from %s with the stamp %q, which is not its server's", attempt.id,
			attempt.machine, stamp)
		o.recordNotServed(attempt, head.Status)
		conn.Close()
		return attemptResult{status: head.Status, reason: "an answer that is not its server's"}
	}
	var err error
	if run.isStream {
		err = p.readStream(conn, attempt, body)
	} else {
		err = p.readBody(attempt, run, body)
	}
	if err != nil {
		return p.unanswered(ctx, conn, attempt, err)
	}
	o.recordServed(attempt, head.Status)
	p.client.putIdle(conn, head)
	return attemptResult{status: head.Status, served: true}
}

// readBody reads a body and compares it with the one that the server sent.
func (p *pendingRequest) readBody(attempt *attempt, run *run, body *http1.Body) error {
	got, err := readComplete(body)
	if err != nil {
		return err
	}
	p.latency = time.Since(p.began)
	if string(got) != run.body {
		p.client.observations.RecordViolation(RuleMixed, "attempt %s got %d bytes that are not the body of %s",
			attempt.id, len(got), run.stamp)
	}
	return nil
}

func readComplete(body *http1.Body) ([]byte, error) {
	got, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err == nil && !body.Complete() {
		err = io.ErrUnexpectedEOF
	}
	return got, err
}
