package routerstandin

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"

	"cresshub/internal/http1"
)

// streamCheck follows a stream through all tries of its request.
type streamCheck struct {
	last    int       // token that came last
	run     *run      // that made it
	cameAt  time.Time // when it came
	longest time.Duration
}

// event is one event of a stream.
type event struct {
	id          int
	stamp       string
	first, last int
	end         bool
}

// takeStream reads a stream to its end and checks every event.
func (a *asking) takeStream(conn *clientConn, t *try, body *http1.Body) error {
	lines := bufio.NewReader(body)
	for {
		conn.SetReadDeadline(a.patienceEnd())
		e, err := readEvent(lines)
		if err == io.EOF && body.Complete() {
			return a.checkEnd(t)
		}
		if err != nil {
			return err
		}
		a.takeEvent(t, e)
	}
}

// readEvent reads one event; io.EOF says that there is none.
func readEvent(lines *bufio.Reader) (*event, error) {
	e := &event{}
	for any := false; ; any = true {
		line, err := lines.ReadString('\n')
		if err == io.EOF && (any || line != "") {
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

// takeEvent checks an event against those before it.
func (a *asking) takeEvent(t *try, e *event) {
	o, s := a.client.observations, &a.stream
	run := o.runOf(e.stamp)
	switch {
	case run == nil || run.try != t:
		o.Broken(Mixed, "try %s got an event of another request: %+v", t.id, *e)
	case e.first != s.last+1 || e.id != e.last:
		o.Broken(Order, "try %s got event %+v after token %d", t.id, *e, s.last)
	case s.run != nil && s.run != run && !a.request.Kind.Resumable:
		o.Broken(Order, "try %s got events of the runs %s and %s", t.id, s.run.stamp, run.stamp)
	}
	now := time.Now()
	if s.cameAt.IsZero() {
		a.latency = now.Sub(a.began)
	} else {
		s.longest = max(s.longest, now.Sub(s.cameAt))
	}
	s.last, s.run, s.cameAt = e.last, run, now
}

// checkEnd checks that a stream that ends as complete has its last piece.
func (a *asking) checkEnd(t *try) error {
	if a.stream.last != a.request.Kind.OutputTokens {
		a.client.observations.Broken(Order, "try %s ended as complete after token %d of %d", t.id, a.stream.last,
			a.request.Kind.OutputTokens)
	}
	return nil
}
