package dataplane

import (
	"bytes"
	"strconv"
)

// largestEvent bounds what is held of an event that is not whole yet.
const largestEvent = 64 << 10

// eventSplitter cuts a stream of bytes into whole events, each with the blank line that ends it.
type eventSplitter struct {
	held    []byte
	start   int // of the event that is not whole yet
	scanned int // the beginning of the first line that was not looked at yet
}

// feed takes in bytes. Events that next returned before are not valid any more.
func (s *eventSplitter) feed(p []byte) {
	if s.start > 0 {
		left := copy(s.held, s.held[s.start:])
		s.held = s.held[:left]
		s.scanned -= s.start
		s.start = 0
	}
	s.held = append(s.held, p...)
}

// next returns the next whole event, nil where there is none yet.
func (s *eventSplitter) next() []byte {
	for {
		end := bytes.IndexByte(s.held[s.scanned:], '\n')
		if end < 0 {
			return nil
		}
		line := s.held[s.scanned : s.scanned+end]
		s.scanned += end + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			event := s.held[s.start:s.scanned]
			s.start = s.scanned
			return event
		}
	}
}

// rest is what has come of an event that is not whole.
func (s *eventSplitter) rest() []byte { return s.held[s.start:] }

// reset drops all that is held, for the stream of another server.
func (s *eventSplitter) reset() { s.held, s.start, s.scanned = s.held[:0], 0, 0 }

// eventID returns the number in an event's id line.
func eventID(event []byte) (id int64, ok bool) {
	for len(event) > 0 {
		line := event
		if end := bytes.IndexByte(event, '\n'); end >= 0 {
			line, event = event[:end], event[end+1:]
		} else {
			event = nil
		}
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

// order follows the ids of a stream's events.
type order struct {
	last    int64 // id of the last event passed on
	any     bool  // last holds an id
	dense   bool  // ids have risen by exactly one so far, and the service's events hold one piece each
	resumed bool  // another server goes on with the stream
}

// step is what is done with an event.
type step int

const (
	forward step = iota
	skip         // the client has it already
	missing      // pieces before it are missing
)

// follow decides on the event with that id. What the first server sends is passed on as it is.
func (o *order) follow(id int64) step {
	switch {
	case !o.any:
	case o.resumed && id <= o.last:
		return skip
	case o.resumed && o.dense && id != o.last+1:
		return missing
	case id != o.last+1:
		o.dense = false
	}
	o.last, o.any = id, true
	return forward
}

// holdsData tells whether an event holds a piece of the answer.
func holdsData(event []byte) bool {
	return bytes.HasPrefix(event, []byte("data:")) || bytes.Contains(event, []byte("\ndata:"))
}
