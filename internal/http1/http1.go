// Package http1 parses and writes HTTP/1.1 messages (RFC 9110, RFC 9112) for clients, servers and the control
// API. It is strict: a message that two parsers could read differently is rejected, since that is how
// requests are smuggled past a proxy. Everything it reads is bounded.
//
// A Body and a BodyWriter belong to the goroutine that reads or writes their connection.
package http1

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Bounds of the messages that are read.
const (
	// MaxBufferedBody is the length in bytes up to which a body is read into memory; a longer one is streamed.
	MaxBufferedBody = 64 << 10
	// MaxBodyLength is the length in bytes beyond which a body is rejected.
	MaxBodyLength    = 64 << 20
	maxHead          = 16 << 10 // bytes of the start line and the header section
	maxFields        = 64       // header fields
	maxResponseHeads = 16       // responses to one request: interim ones (status 1xx) and the final one
	maxEmptyLines    = 4        // empty lines before a request line
)

// MalformedError reports a message that is not well-formed HTTP/1.1, or exceeds a bound.
type MalformedError struct {
	Status int // the status code with which a server answers such a request
	Reason string
}

func (m *MalformedError) Error() string { return m.Reason }

func malformed(format string, args ...any) error {
	return &MalformedError{Status: StatusBadRequest, Reason: fmt.Sprintf(format, args...)}
}

// unexpectedEOF replaces io.EOF, where the connection ended inside a message, with io.ErrUnexpectedEOF. A
// plain io.EOF is for a connection that ended between two messages.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Field is one header field.
type Field struct{ Name, Value string }

// Header holds header fields in the order in which they were received.
type Header []Field

// Get returns the value of the first field with that name, ignoring case, or "".
func (h Header) Get(name string) string {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Repeated returns the first of the given names that more than one field has, ignoring case, or "".
func (h Header) Repeated(names ...string) string {
	for _, name := range names {
		found := false
		for i := range h {
			if strings.EqualFold(h[i].Name, name) {
				if found {
					return name
				}
				found = true
			}
		}
	}
	return ""
}

// containsToken reports whether the comma-separated list of the named field contains token.
func (h Header) containsToken(name, token string) bool {
	for i := range h {
		if !strings.EqualFold(h[i].Name, name) {
			continue
		}
		for part := range strings.SplitSeq(h[i].Value, ",") {
			if strings.EqualFold(strings.Trim(part, " \t"), token) {
				return true
			}
		}
	}
	return false
}

// Request is one request. A Request to be written must have no framing fields in its Header.
type Request struct {
	Method string
	Target string
	Header Header
	Body   []byte // the full body, or its beginning where Length is not 0
	Close  bool   // the connection closes after this message

	// Length is the length in bytes of a body that Body does not hold in full, or -1 if it is unknown. It is
	// 0 where Body holds the full body.
	Length          int64
	ExpectsContinue bool // the client awaits 100 Continue before it sends the body
	HTTP10          bool // received as HTTP/1.0: no chunked coding, no status 1xx
}

// Response is one response. A Response to be written must have no framing fields in its Header.
type Response struct {
	Status int
	Header Header
	Body   []byte // the full body, or its beginning where Streaming is set
	Close  bool

	Streaming bool  // Body does not hold the full body
	Length    int64 // bytes of the full body where Streaming or Bodiless is set; -1 if unknown
	Bodiless  bool  // a response to HEAD: it may have a Content-Length but has no body
}

var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// EndToEnd returns the fields that a proxy may forward: all but the hop-by-hop fields (RFC 9110, 7.6.1) and
// those named in drop.
func (h Header) EndToEnd(drop ...string) Header {
	var forwarded Header
	for _, f := range h {
		same := func(name string) bool { return strings.EqualFold(name, f.Name) }
		if !slices.ContainsFunc(hopByHopFields, same) && !slices.ContainsFunc(drop, same) &&
			!h.containsToken("Connection", f.Name) {
			forwarded = append(forwarded, f)
		}
	}
	return forwarded
}
