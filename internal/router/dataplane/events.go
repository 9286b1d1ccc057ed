package dataplane

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds what is buffered of an incomplete event.
const maxEventBytes = 64 << 10

// eventSplitter splits a stream of bytes into server-sent events, each with the blank line that ends it.
type eventSplitter struct {
	buffer     []byte
	eventStart int // of the event that is not complete yet
	lineStart  int // of the first line that was not scanned yet
}

// feed adds bytes. Events that next returned before are not valid any more.
func (s *eventSplitter) feed(data []byte) {
	if s.eventStart > 0 {
		remaining := copy(s.buffer, s.buffer[s.eventStart:])
		s.buffer = s.buffer[:remaining]
		s.lineStart -= s.eventStart
		s.eventStart = 0
	}
	s.buffer = append(s.buffer, data...)
}

// next returns the next complete event, nil if there is none yet.
func (s *eventSplitter) next() []byte {
	for {
		end := bytes.IndexByte(s.buffer[s.lineStart:], '\n')
		if end < 0 {
			return nil
		}
		line := s.buffer[s.lineStart : s.lineStart+end]
		s.lineStart += end + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			event := s.buffer[s.eventStart:s.lineStart]
			s.eventStart = s.lineStart
			return event
		}
	}
}

// partial is what has arrived of an incomplete event.
func (s *eventSplitter) partial() []byte { return s.buffer[s.eventStart:] }

// reset drops all that is buffered, for the stream of another server.
func (s *eventSplitter) reset() { s.buffer, s.eventStart, s.lineStart = s.buffer[:0], 0, 0 }

// eventID returns the number in an event's id line.
func eventID(event []byte) (id int64, ok bool) {
	for len(event) > 0 {
		line := event
		if end := bytes.IndexByte(event, '\n'); end >= 0 {
			line, event = event[:end], event[end+1:]
		} else {
			event = nil
		}
		value, isIDLine := bytes.CutPrefix(line, []byte("id:"))
		if !isIDLine {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

// eventOrder follows the ids of a stream's events.
type eventOrder struct {
	lastID      int64 // of the last event that was forwarded
	hasLast     bool  // lastID is known
	consecutive bool  // ids have risen by exactly one so far, and the service's stride is one
	resumed     bool  // another server has resumed the stream
}

// eventAction is what is done with an event.
type eventAction int

const (
	actionForward eventAction = iota
	actionSkip                // the client has it already
	actionGap                 // events before it are missing
)

// decide returns what is done with the event of that id. What the first server sends is forwarded as it is.
func (o *eventOrder) decide(id int64) eventAction {
	switch {
	case !o.hasLast:
	case o.resumed && id <= o.lastID:
		return actionSkip
	case o.resumed && o.consecutive && id != o.lastID+1:
		return actionGap
	case id != o.lastID+1:
		o.consecutive = false
	}
	o.lastID, o.hasLast = id, true
	return actionForward
}

// hasData reports whether an event carries data.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, []byte("data:")) || bytes.Contains(event, []byte("\ndata:"))
}
