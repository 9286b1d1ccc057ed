package dataplane

import (
	"bytes"
	"strconv"
)

// maxEventBytes limits how much of an incomplete event is buffered.
const maxEventBytes = 64 << 10

// eventSplitter splits a byte stream into server-sent events, each including the blank line that ends it.
type eventSplitter struct {
	buffer     []byte
	eventStart int // offset in buffer of the event that is not complete yet
	lineStart  int // offset in buffer of the first line that was not scanned yet
}

// feed appends bytes to the stream. It invalidates the events that next returned before.
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

// partial returns what has arrived of an incomplete event.
func (s *eventSplitter) partial() []byte { return s.buffer[s.eventStart:] }

// reset discards all buffered bytes, before the stream of another server is read.
func (s *eventSplitter) reset() { s.buffer, s.eventStart, s.lineStart = s.buffer[:0], 0, 0 }

// eventID returns the number in an event's id line; ok is false if there is no such line or no number in it.
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

// eventOrder tracks the ids of a stream's events.
type eventOrder struct {
	lastID      int64 // of the last event that was forwarded, or that the client already had
	lastIDKnown bool
	consecutive bool // ids have increased by one so far; false if the service may put several tokens in an event
	resumed     bool // another server has resumed the stream
}

// eventAction determines how an event is handled.
type eventAction int

const (
	actionForward eventAction = iota
	actionSkip                // the client has it already
	actionGap                 // events before it are missing
)

// decide returns how the event with the given id is handled. All events of the first server are forwarded.
func (o *eventOrder) decide(id int64) eventAction {
	switch {
	case !o.lastIDKnown:
	case o.resumed && id <= o.lastID:
		return actionSkip
	case o.resumed && o.consecutive && id != o.lastID+1:
		return actionGap
	case id != o.lastID+1:
		o.consecutive = false
	}
	o.lastID, o.lastIDKnown = id, true
	return actionForward
}

// hasData reports whether an event has a data line.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, []byte("data:")) || bytes.Contains(event, []byte("\ndata:"))
}
