package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// Body reads the body of one message. It returns io.EOF only after a complete body; a truncated one ends with
// io.ErrUnexpectedEOF, unless only the end of the connection delimits it.
type Body struct {
	r          *bufio.Reader
	length     int64 // bytes of the full body by the head of the message, -1 if unknown
	remaining  int64 // bytes not yet read of the body, or of the current chunk
	chunked    bool
	untilClose bool  // the body ends where the connection ends
	sawChunk   bool  // the size line of at least one chunk has been read
	unbounded  bool  // the body may be longer than MaxBodyLength
	bytesRead  int64 // bytes read so far
	err        error // returned by every further Read; io.EOF after a complete body
}

func newBody(r *bufio.Reader, h *head, untilClose bool) *Body {
	b := &Body{r: r, length: h.length, chunked: h.chunked, untilClose: untilClose}
	switch {
	case h.chunked || untilClose:
		b.length = -1
	case h.length <= 0:
		b.length, b.err = 0, io.EOF
	default:
		b.remaining = h.length
	}
	return b
}

// Length returns the length of the full body in bytes, -1 if it is not known before the body ends.
func (b *Body) Length() int64 { return b.length }

// BytesRead returns the number of bytes read so far.
func (b *Body) BytesRead() int64 { return b.bytesRead }

// Complete reports whether the full body has been read.
func (b *Body) Complete() bool { return errors.Is(b.err, io.EOF) }

// Buffered reports whether the next Read returns data or the end of the body without waiting for the peer.
func (b *Body) Buffered() bool {
	buffered, _ := b.r.Peek(b.r.Buffered())
	if b.err != nil || len(buffered) > 0 && (!b.chunked || b.remaining > 0) {
		return true
	}
	lines := 1 // the line with the next chunk's size
	if b.sawChunk {
		lines++ // the CRLF that ends the previous chunk's data
	}
	for ; lines > 0; lines-- {
		end := bytes.IndexByte(buffered, '\n')
		if end < 0 {
			return false
		}
		buffered = buffered[end+1:]
	}
	return len(buffered) > 0
}

// Read returns the next bytes of the body, without the framing of chunks.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.chunked && b.remaining == 0 {
		if b.err = b.nextChunk(); b.err != nil {
			return 0, b.err
		}
	}
	if !b.untilClose {
		p = p[:min(int64(len(p)), b.remaining)]
	}
	n, err := b.r.Read(p)
	if b.bytesRead += int64(n); b.length < 0 && b.bytesRead > MaxBodyLength && !b.unbounded {
		b.err = errBodyTooLarge
		return 0, b.err
	}
	if b.untilClose {
		b.err = err
		return n, err
	}
	b.remaining -= int64(n)
	switch {
	case err != nil:
		b.err = unexpectedEOF(err)
	case b.remaining == 0 && !b.chunked:
		b.err = io.EOF
	}
	if n > 0 { // the next call returns the error
		return n, nil
	}
	return n, b.err
}

// nextChunk reads up to the first data byte of the next chunk. It returns io.EOF after the last chunk, whose
// trailer section it has read.
func (b *Body) nextChunk() error {
	budget := maxHead
	if b.sawChunk {
		if line, err := readLine(b.r, &budget); err != nil {
			return unexpectedEOF(err)
		} else if line != "" {
			return malformed("a chunk is longer than its size")
		}
	}
	b.sawChunk = true
	line, err := readLine(b.r, &budget)
	if err != nil {
		return unexpectedEOF(err)
	}
	size, _, _ := strings.Cut(line, ";")
	size = strings.TrimRight(size, " \t")
	n, err := strconv.ParseUint(size, 16, 63)
	if err != nil || size[0] == '+' {
		return malformed("chunk size %.20q", size)
	}
	if n > MaxBodyLength {
		return errBodyTooLarge
	}
	if b.remaining = int64(n); n > 0 {
		return nil
	}
	for line = "-"; line != ""; { // trailer fields are ignored
		if line, err = readLine(b.r, &budget); err != nil {
			return unexpectedEOF(err)
		}
	}
	return io.EOF
}

// readAll reads a body of at most MaxBufferedBody bytes.
func (b *Body) readAll() ([]byte, error) {
	if b.length > MaxBufferedBody {
		return nil, errBodyTooLarge
	}
	if b.length > 0 {
		body := make([]byte, b.length)
		_, err := io.ReadFull(b, body)
		return body, unexpectedEOF(err)
	}
	if b.Complete() {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(b, MaxBufferedBody+1))
	if err == nil && len(body) > MaxBufferedBody {
		err = errBodyTooLarge
	}
	return body, err
}

var errBodyTooLarge = &MalformedError{Status: StatusRequestEntityTooLarge, Reason: "body too large"}

// ReadRequest reads one request with a body of at most MaxBufferedBody bytes. The error io.EOF
// means that the connection ended before the first byte.
func ReadRequest(r *bufio.Reader) (*Request, error) {
	request, body, err := ReadRequestHead(r)
	if err == nil {
		request.Body, err = body.readAll()
	}
	return request, err
}

// ReadResponse reads one response to GET or POST with a body of at most MaxBufferedBody bytes.
func ReadResponse(r *bufio.Reader) (*Response, error) {
	response, body, err := ReadResponseHead(r, "GET")
	if err == nil {
		response.Body, err = body.readAll()
	}
	return response, err
}

// ReadStream reads the head of a response and returns its status and a reader of its body, which may be
// longer than MaxBodyLength.
func ReadStream(r *bufio.Reader) (int, io.Reader, error) {
	response, body, err := ReadResponseHead(r, "GET")
	if err != nil {
		return 0, nil, err
	}
	body.unbounded = true
	return response.Status, body, nil
}
