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

// A connection between members carries frames: 4 bytes with the length of the rest (big endian), a byte for
// the kind, and the body. The first frame is a hello from the member that opened the connection. It is
// followed either by Raft messages, which are not answered, or by requests, each of which is answered by a
// response before the next is sent.
const (
	frameHello    = 'h' // hello, JSON
	frameRaft     = 'r' // length of the group's name (one byte), the name, a raftpb.Message
	frameRequest  = 'c' // request, JSON
	frameResponse = 'a' // response, JSON
)

const (
	protocolVersion     = 1        // connections with another version are rejected
	maxFrameSize        = 64 << 20 // in bytes, kind and body; a snapshot has to fit
	maxHelloSize        = 4096     // in bytes, kind and body of a hello
	frameLengthSize     = 4
	frameHeaderSize     = frameLengthSize + 1
	initialBodyCapacity = 64 << 10 // in bytes, initial capacity of a body being read
	bodyReadChunkSize   = 1 << 20  // in bytes, the most that it then grows by at a time
)

// hello is the first frame on a connection. It identifies the member that opened the connection, and its
// fleet.
type hello struct {
	Protocol int    `json:"protocol"`
	Label    string `json:"label"`
	Name     string `json:"name"`
	ID       uint64 `json:"id"` // replica ID
}

// requestKind is the kind of a request. Its values are sent between members.
type requestKind string

// The kinds of requests.
const (
	kindPropose requestKind = "propose" // commit and apply the command in Data; not idempotent
	kindRead    requestKind = "read"    // answer the query in Data linearizably
	kindRoster  requestKind = "roster"  // list the group's replicas; the leader answers with a Roster
	kindVote    requestKind = "vote"    // vote for the requesting member to bootstrap the group
)

// request is a request from one member to another.
type request struct {
	Kind  requestKind `json:"kind"`
	Group string      `json:"group"`
	From  string      `json:"from"`           // name of the requesting member
	ID    uint64      `json:"id,omitempty"`   // replica ID of the requesting member, with kindVote
	Data  []byte      `json:"data,omitempty"` // the command or the query
	// TimeoutMS is how long the caller waits, in milliseconds. It bounds the work on the request, so that no
	// work is done that nobody waits for.
	TimeoutMS int64 `json:"within"`
}

// response answers a request, either with Err or with Result.
type response struct {
	Err    string          `json:"err,omitempty"`
	Leader string          `json:"leader,omitempty"` // with Err: the leader known to the answering member
	Result json.RawMessage `json:"result,omitempty"`
}

// err returns the response's error, or nil if it has none. If the text is that of one of this package's
// errors, it returns that error, so that errors.Is matches it; otherwise an error that has only the text.
func (r *response) err() error {
	if r.Err == "" {
		return nil
	}
	for _, known := range []error{ErrNotLeader, ErrTooFewVoters, ErrOutcomeUnknown, ErrBusy, ErrStopped} {
		if r.Err == known.Error() {
			return known
		}
	}
	if cause, ok := strings.CutPrefix(r.Err, ErrDisk.Error()); ok && cause != "" {
		return fmt.Errorf("%w%s", ErrDisk, cause)
	}
	return errors.New(r.Err)
}

// writeFrame writes a frame whose body is the concatenation of the given parts, in one write.
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
// begins. The body's memory grows as bytes arrive, so that a large length alone does not allocate much.
func readFrame(in *bufio.Reader, maxSize int) (kind byte, body []byte, err error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return 0, nil, err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size < 1 || size > maxSize {
		return 0, nil, fmt.Errorf("frame size is %d bytes, outside the range from 1 to %d", size, maxSize)
	}
	body = make([]byte, 0, min(size-1, initialBodyCapacity))
	for len(body) < size-1 {
		offset := len(body)
		body = append(body, make([]byte, min(size-1-offset, bodyReadChunkSize))...)
		if _, err := io.ReadFull(in, body[offset:]); err != nil {
			return 0, nil, err
		}
	}
	return header[frameLengthSize], body, nil
}
