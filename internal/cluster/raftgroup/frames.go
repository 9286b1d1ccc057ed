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
// the kind, the body. Its first frame is a hello from the member that opened it.
const (
	frameHello    = 'h' // hello, JSON
	frameRaft     = 'r' // a byte of length, the group's name, a raftpb.Message
	frameRequest  = 'c' // request, JSON
	frameResponse = 'a' // response, JSON
)

const (
	protocolVersion = 1
	maxFrameSize    = 64 << 20
	maxHelloSize    = 4096
	readChunkSize   = 1 << 20
)

// hello opens a connection: whose it is, and of which fleet.
type hello struct {
	Protocol int    `json:"protocol"`
	Label    string `json:"label"`
	Name     string `json:"name"`
	ID       uint64 `json:"id"` // replica ID
}

// The kinds of requests.
const (
	kindPropose = "propose"
	kindRead    = "read"
	kindRoster  = "roster"
	kindVote    = "vote"
)

// request is what one member asks of another.
type request struct {
	Kind  string `json:"kind"`
	Group string `json:"group"`
	From  string `json:"from"`           // the member that asks
	ID    uint64 `json:"id,omitempty"`   // its replica ID, with kindVote
	Data  []byte `json:"data,omitempty"` // the command or the query
	// TimeoutMS is how long the caller waits, in milliseconds, so that no work is done that nobody waits for.
	TimeoutMS int64 `json:"within"`
}

// response answers a request, with Err or with Result.
type response struct {
	Err    string          `json:"err,omitempty"`
	Leader string          `json:"leader,omitempty"` // the group's leader as known to who answers, with Err
	Result json.RawMessage `json:"result,omitempty"`
}

// err is the response's error, as one of this package's own where its text is that of one.
func (r *response) err() error {
	if r.Err == "" {
		return nil
	}
	for _, e := range []error{ErrNotLeader, ErrForming, ErrUnknown, ErrBusy, ErrStopped} {
		if r.Err == e.Error() {
			return e
		}
	}
	if cause, ok := strings.CutPrefix(r.Err, ErrDisk.Error()); ok && cause != "" {
		return fmt.Errorf("%w%s", ErrDisk, cause)
	}
	return errors.New(r.Err)
}

// writeFrame writes a frame whose body is the given parts, in one write.
func writeFrame(c net.Conn, kind byte, parts ...[]byte) error {
	size := 1
	for _, p := range parts {
		size += len(p)
	}
	b := make([]byte, 0, 4+size)
	b = append(binary.BigEndian.AppendUint32(b, uint32(size)), kind)
	for _, p := range parts {
		b = append(b, p...)
	}
	_, err := c.Write(b)
	return err
}

// readFrame reads a frame of at most maxSize bytes. The body's memory grows as bytes arrive, so that a length
// alone allocates little.
func readFrame(r *bufio.Reader, maxSize int) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	size := int(binary.BigEndian.Uint32(head[:]))
	if size < 1 || size > maxSize {
		return 0, nil, fmt.Errorf("a frame of %d bytes, %d at most", size, maxSize)
	}
	body = make([]byte, 0, min(size-1, 64<<10))
	for len(body) < size-1 {
		offset := len(body)
		body = append(body, make([]byte, min(size-1-offset, readChunkSize))...)
		if _, err := io.ReadFull(r, body[offset:]); err != nil {
			return 0, nil, err
		}
	}
	return head[4], body, nil
}
