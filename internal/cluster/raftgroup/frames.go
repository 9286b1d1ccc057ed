package raftgroup

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
)

// A connection between members carries frames: 4 bytes of length (of what follows, big endian), a byte for
// the kind, the body. Its first frame is a hello from the member that opened it. After it come Raft messages,
// which are not answered, or requests, each answered by a response before the next.
const (
	frameHello    = 'h' // hello, JSON
	frameRaft     = 'r' // a byte of length, the group's name, a raftpb.Message
	frameRequest  = 'c' // request, JSON
	frameResponse = 'a' // response, JSON
)

const (
	protocolVersion = 1        // members of another one are rejected
	maxFrameSize    = 64 << 20 // in bytes, of the kind and the body; a snapshot has to fit
	maxHelloSize    = 4096     // in bytes, the same of a hello
	frameLengthSize = 4
	frameHeaderSize = frameLengthSize + 1
	firstChunkSize  = 64 << 10 // capacity at first of a body that is read
	readChunkSize   = 1 << 20  // by which it grows
)

// hello opens a connection: whose it is, and of which fleet.
type hello struct {
	Protocol int    `json:"protocol"`
	Label    string `json:"label"`
	Name     string `json:"name"`
	ID       uint64 `json:"id"` // replica ID
}

// requestKind is what a request asks for. Its values cross between members.
type requestKind string

// The kinds of requests.
const (
	kindPropose requestKind = "propose" // commit and apply the command Data; not idempotent
	kindRead    requestKind = "read"    // answer the query Data linearizably
	kindRoster  requestKind = "roster"  // list the group's replicas; answered by its leader with a Roster
	kindVote    requestKind = "vote"    // vote for the asking member to bootstrap the group
)

// request is what one member asks of another.
type request struct {
	Kind  requestKind `json:"kind"`
	Group string      `json:"group"`
	From  string      `json:"from"`           // the member that asks
	ID    uint64      `json:"id,omitempty"`   // its replica ID, with kindVote
	Data  []byte      `json:"data,omitempty"` // the command or the query
	// TimeoutMS is how long the caller waits, in milliseconds, so that no work is done that nobody waits for.
	TimeoutMS int64 `json:"within"`
}

// response answers a request, with Err or with Result.
type response struct {
	Err    string          `json:"err,omitempty"`
	Leader string          `json:"leader,omitempty"` // the group's leader as known to who answers, with Err
	Result json.RawMessage `json:"result,omitempty"`
}

// err is the response's error, nil where it has none: one of this package's own errors where its text is that
// of one, so that errors.Is finds it, else one with the text alone.
func (r *response) err() error {
	if r.Err == "" {
		return nil
	}
	for _, known := range []error{ErrNotLeader, ErrForming, ErrOutcomeUnknown, ErrBusy, ErrStopped} {
		if r.Err == known.Error() {
			return known
		}
	}
	if cause, ok := strings.CutPrefix(r.Err, ErrDisk.Error()); ok && cause != "" {
		return fmt.Errorf("%w%s", ErrDisk, cause)
	}
	return errors.New(r.Err)
}

// writeFrame writes a frame whose body is the given parts, in one write.
func writeFrame(conn net.Conn, kind byte, parts ...[]byte) error {
	size := 1
	for _, part := range parts {
		size += len(part)
	}
	frame := make([]byte, 0, frameLengthSize+size)
	frame = append(binary.BigEndian.AppendUint32(frame, uint32(size)), kind)
	for _, part := range parts {
		frame = append(frame, part...)
	}
	_, err := conn.Write(frame)
	return err
}

// readFrame reads a frame of at most maxSize bytes. The error is io.EOF if the stream ends before the frame
// begins. The body's memory grows as bytes arrive, so that a length alone allocates little.
func readFrame(in *bufio.Reader, maxSize int) (kind byte, body []byte, err error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return 0, nil, err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size < 1 || size > maxSize {
		return 0, nil, fmt.Errorf("a frame of %d bytes, %d at most", size, maxSize)
	}
	body = make([]byte, 0, min(size-1, firstChunkSize))
	for len(body) < size-1 {
		offset := len(body)
		body = append(body, make([]byte, min(size-1-offset, readChunkSize))...)
		if _, err := io.ReadFull(in, body[offset:]); err != nil {
			return 0, nil, err
		}
	}
	return header[frameLengthSize], body, nil
}
