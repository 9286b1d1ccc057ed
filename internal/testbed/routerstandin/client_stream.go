package routerstandin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"cresshub/internal/http1"
)

// streamCheck follows a stream through all attempts of its request.
type streamCheck struct {
	lastToken  int       // token that came last
	lastRun    *run      // that made it
	lastAt     time.Time // when it came
	longestGap time.Duration
}

// event is one event of a stream.
type event struct {
	id          int
	stamp       string
	first, last int
	end         bool
}

// readStream reads a stream to its end and checks every event.
func (p *pendingRequest) readStream(conn *clientConn, attempt *attempt, body *http1.Body) error {
	lines := bufio.NewReader(body)
	for {
		conn.SetReadDeadline(p.readDeadline())
		e, err := readEvent(lines)
		if errors.Is(err, io.EOF) && body.Complete() {
			return p.checkEnd(attempt)
		}
		if err != nil {
			return err
		}
		p.checkEvent(attempt, e)
	}
}

// readEvent reads one event; io.EOF says that there is none.
func readEvent(lines *bufio.Reader) (*event, error) {
	e := &event{}
	for started := false; ; started = true {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) && (started || line != "") {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		line = strings.TrimSuffix(line, "\n")
		if line == "" {
			return e, nil
		}
		if err := e.parseLine(line); err != nil {
			return nil, err
		}
	}
}

func (e *event) parseLine(line string) error {
	name, value, _ := strings.Cut(line, ": ")
	var err error
	switch name {
	case "id":
		_, err = fmt.Sscanf(value, "%d", &e.id)
	case "data":
		_, err = fmt.Sscanf(value, "%s %d-%d", &e.stamp, &e.first, &e.last)
		e.end = strings.HasSuffix(value, " end")
	}
	if err != nil {
		return &http1.MalformedError{Status: 502, Reason: fmt.Sprintf("not a line of an event: %.60q", line)}
	}
	return nil
}

// checkEvent checks an event against those before it.
func (p *pendingRequest) checkEvent(attempt *attempt, e *event) {
	o, stream := p.client.observations, &p.stream
	run := o.runByStamp(e.stamp)
	switch {
	case run == nil || run.attempt != attempt:
		o.RecordViolation(RuleMixed, "attempt %s got an event of another request: %+v", attempt.id, *e)
	case e.first != stream.lastToken+1 || e.id != e.last:
		o.RecordViolation(RuleOrder, "attempt %s got event %+v after token %d", attempt.id, *e, stream.lastToken)
	case stream.lastRun != nil && stream.lastRun != run && !p.request.Kind.Resumable:
		o.RecordViolation(RuleOrder, "attempt %s got events of the runs %s and %s", attempt.id,
			stream.lastRun.stamp, run.stamp)
	}
	now := time.Now()
	if stream.lastAt.IsZero() {
		p.latency = now.Sub(p.began)
	} else {
		stream.longestGap = max(stream.longestGap, now.Sub(stream.lastAt))
	}
	stream.lastToken, stream.lastRun, stream.lastAt = e.last, run, now
}

// checkEnd checks that a stream that ends as complete has its last event.
func (p *pendingRequest) checkEnd(attempt *attempt) error {
	if p.stream.lastToken != p.request.Kind.OutputTokens {
		p.client.observations.RecordViolation(RuleOrder, "attempt %s ended as complete after token %d of %d",
			attempt.id, p.stream.lastToken, p.request.Kind.OutputTokens)
	}
	return nil
}
