// Package http1 reads and writes the HTTP/1.1 that all sides of the program speak. It is strict, for
// what one side forgives another may read differently, and everything it reads is bounded.
package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Bounds of what is read. A header line must also fit the reader's buffer.
const (
	MaxBody   = 64 << 10
	maxHead   = 16 << 10
	maxFields = 64
	maxChunk  = 1 << 20
	// maxInterim is how many answers 1xx may come before the final one, which counts too.
	maxInterim = 16
)

// Malformed says that the other side does not speak HTTP/1.1 as it should.
type Malformed struct {
	Status int // what a server answers to it
	Reason string
}

func (m *Malformed) Error() string { return m.Reason }

func malformed(format string, args ...any) error {
	return &Malformed{Status: 400, Reason: fmt.Sprintf(format, args...)}
}

// Field is one header line.
type Field struct{ Name, Value string }

// Header is the header lines in their order.
type Header []Field

// Get returns the value of the first field with that name, whatever its case.
func (h Header) Get(name string) string {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Repeated returns the first of names that stands in more than one field, or "".
func (h Header) Repeated(names ...string) string {
	for _, name := range names {
		seen := false
		for i := range h {
			if strings.EqualFold(h[i].Name, name) {
				if seen {
					return name
				}
				seen = true
			}
		}
	}
	return ""
}

// lists tells whether the named field holds word in its comma-separated list.
func (h Header) lists(name, word string) bool {
	for i := range h {
		if !strings.EqualFold(h[i].Name, name) {
			continue
		}
		for part := range strings.SplitSeq(h[i].Value, ",") {
			if strings.EqualFold(strings.Trim(part, " \t"), word) {
				return true
			}
		}
	}
	return false
}

// Request is one request with its whole body. When it is written, its Header must hold no framing.
type Request struct {
	Method string
	Target string
	Header Header
	Body   []byte
	Close  bool // the connection ends with this message
}

// Response is one answer with its whole body. When it is written, its Header must hold no framing.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool
}

// head is what reading the lines before a body yields.
type head struct {
	header  Header
	length  int // of the body; -1 where none is told
	chunked bool
	close   bool
}

// line reads one line without its CRLF; room counts down the bytes the head may still have.
func line(r *bufio.Reader, room *int) (string, error) {
	b, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(b) > *room {
		return "", &Malformed{Status: 431, Reason: "head too large"}
	}
	if err != nil {
		if err == io.EOF && len(b) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return "", err
	}
	*room -= len(b)
	if len(b) < 2 || b[len(b)-2] != '\r' {
		return "", malformed("a line does not end with CRLF")
	}
	b = b[:len(b)-2]
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return "", malformed("a control character in the head")
		}
	}
	return string(b), nil
}

func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' {
			continue
		}
		if !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}

// fields reads the header lines and what they say of the body.
func fields(r *bufio.Reader, room *int) (head, error) {
	h := head{length: -1}
	for {
		l, err := line(r, room)
		if err != nil {
			return h, noEOF(err)
		}
		if l == "" {
			break
		}
		if len(h.header) == maxFields {
			return h, &Malformed{Status: 431, Reason: "too many header fields"}
		}
		name, value, ok := strings.Cut(l, ":")
		if !ok || !isToken(name) { // a space before the colon and a folded line end here too
			return h, malformed("not a header field: %.40q", l)
		}
		value = strings.Trim(value, " \t")
		h.header = append(h.header, Field{name, value})
		switch {
		case strings.EqualFold(name, "Content-Length"):
			n, err := contentLength(value)
			if err != nil {
				return h, err
			}
			if h.length >= 0 && h.length != n {
				return h, malformed("two different Content-Length")
			}
			h.length = n
		case strings.EqualFold(name, "Transfer-Encoding"):
			if h.chunked || !strings.EqualFold(value, "chunked") {
				return h, &Malformed{Status: 501, Reason: "unknown Transfer-Encoding"}
			}
			h.chunked = true
		}
	}
	// A message with both would end at one place for us and at another for somebody else.
	if h.chunked && h.length >= 0 {
		return h, malformed("both Content-Length and Transfer-Encoding")
	}
	h.close = h.header.lists("Connection", "close")
	return h, nil
}

func contentLength(v string) (int, error) {
	if v == "" || len(v) > 18 || strings.Trim(v, "0123456789") != "" {
		return 0, malformed("Content-Length %.20q is no length", v)
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0, malformed("Content-Length %q is no length", v)
	}
	return n, nil
}

// noEOF turns an end inside a message into one that cannot be taken for an end between two.
func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// body reads what the head announces.
func (h *head) body(r *bufio.Reader) ([]byte, error) {
	switch {
	case h.chunked:
		b, err := io.ReadAll(io.LimitReader(&chunks{r: r}, MaxBody+1))
		if err == nil && len(b) > MaxBody {
			err = &Malformed{Status: 413, Reason: "body too large"}
		}
		return b, err
	case h.length > MaxBody:
		return nil, &Malformed{Status: 413, Reason: "body too large"}
	case h.length > 0:
		b := make([]byte, h.length)
		_, err := io.ReadFull(r, b)
		return b, noEOF(err)
	}
	return nil, nil
}

// chunks reads a chunked body; it ends with io.EOF only after the last chunk.
type chunks struct {
	r    *bufio.Reader
	left int // of this chunk
	some bool
	err  error
}

func (c *chunks) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	if c.left == 0 {
		if c.err = c.next(); c.err != nil {
			return 0, c.err
		}
	}
	n, err := c.r.Read(p[:min(len(p), c.left)])
	c.left -= n
	c.err = noEOF(err)
	return n, c.err
}

func (c *chunks) next() error {
	room := maxHead
	if c.some {
		if l, err := line(c.r, &room); err != nil {
			return noEOF(err)
		} else if l != "" {
			return malformed("a chunk is longer than its size")
		}
	}
	c.some = true
	l, err := line(c.r, &room)
	if err != nil {
		return noEOF(err)
	}
	size, _, _ := strings.Cut(l, ";")
	size = strings.TrimRight(size, " \t")
	n, err := strconv.ParseUint(size, 16, 32)
	if err != nil || size[0] == '+' || n > maxChunk {
		return malformed("chunk size %.20q", size)
	}
	if c.left = int(n); n > 0 {
		return nil
	}
	for l = "-"; l != ""; { // trailers say nothing here
		if l, err = line(c.r, &room); err != nil {
			return noEOF(err)
		}
	}
	return io.EOF
}

// ReadRequest reads one request. io.EOF means that the connection ended before its first byte.
func ReadRequest(r *bufio.Reader) (*Request, error) {
	q, h, err := requestHead(r)
	if err == nil {
		q.Body, err = h.body(r)
	}
	return q, err
}

// ReadRequestHead reads one request as far as its body, which is left unread.
func ReadRequestHead(r *bufio.Reader) (*Request, error) {
	q, _, err := requestHead(r)
	return q, err
}

func requestHead(r *bufio.Reader) (*Request, head, error) {
	room := maxHead
	l, err := line(r, &room)
	if err != nil {
		return nil, head{}, err
	}
	method, rest, _ := strings.Cut(l, " ")
	target, version, ok := strings.Cut(rest, " ")
	if !ok || !isToken(method) || strings.Contains(version, " ") {
		return nil, head{}, malformed("not a request line: %.40q", l)
	}
	if target == "" || target[0] != '/' || strings.Trim(target, printable) != "" {
		return nil, head{}, malformed("target %.40q", target)
	}
	if version != "HTTP/1.1" {
		return nil, head{}, &Malformed{Status: 505, Reason: fmt.Sprintf("version %.20q", version)}
	}
	h, err := fields(r, &room)
	if err != nil {
		return nil, h, err
	}
	if h.header.Get("Host") == "" {
		return nil, head{}, malformed("no Host")
	}
	return &Request{Method: method, Target: target, Header: h.header, Close: h.close}, h, nil
}

var printable = func() string {
	var b []byte
	for c := byte('!'); c <= '~'; c++ {
		b = append(b, c)
	}
	return string(b)
}()

func responseHead(r *bufio.Reader) (int, head, error) {
	for range maxInterim {
		room := maxHead
		l, err := line(r, &room)
		if err != nil {
			return 0, head{}, err
		}
		version, rest, _ := strings.Cut(l, " ")
		code, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if version != "HTTP/1.1" || err != nil || len(code) != 3 || status < 100 {
			return 0, head{}, malformed("not a status line: %.40q", l)
		}
		if status == 101 { // nobody asked to switch, and what follows would be no HTTP
			return 0, head{}, malformed("switching protocols")
		}
		h, err := fields(r, &room)
		if err != nil || status >= 200 {
			return status, h, err
		}
	}
	return 0, head{}, malformed("no end of interim answers")
}

// ReadResponse reads one answer to a GET or POST with its whole body.
func ReadResponse(r *bufio.Reader) (*Response, error) {
	status, h, err := responseHead(r)
	if err != nil {
		return nil, noEOF(err)
	}
	a := &Response{Status: status, Header: h.header, Close: h.close}
	switch {
	case status == 204 || status == 304:
	case !h.chunked && h.length < 0:
		// Only the end of the connection would tell the end of the body, and a body cut short ends so too.
		err = malformed("an answer without a length")
	default:
		a.Body, err = h.body(r)
	}
	return a, err
}

// ReadStream reads the head of an answer and returns a reader of its body, which may go on for ever.
func ReadStream(r *bufio.Reader) (int, io.Reader, error) {
	status, h, err := responseHead(r)
	switch {
	case err != nil:
		return 0, nil, noEOF(err)
	case h.chunked:
		return status, &chunks{r: r}, nil
	case h.length >= 0:
		return status, io.LimitReader(r, int64(h.length)), nil
	}
	return status, r, nil
}

// Write lays the request out in w.
func (q *Request) Write(w *bufio.Writer) error {
	w.WriteString(q.Method)
	w.WriteByte(' ')
	w.WriteString(q.Target)
	w.WriteString(" HTTP/1.1\r\n")
	if len(q.Body) > 0 || q.Method != "GET" {
		writeLength(w, len(q.Body))
	}
	return writeRest(w, q.Header, q.Close, q.Body)
}

// Write lays the answer out in w.
func (a *Response) Write(w *bufio.Writer) error {
	w.WriteString("HTTP/1.1 ")
	w.WriteString(strconv.Itoa(a.Status))
	w.WriteByte(' ')
	w.WriteString(reasons[a.Status])
	w.WriteString("\r\n")
	writeLength(w, len(a.Body))
	return writeRest(w, a.Header, a.Close, a.Body)
}

func writeLength(w *bufio.Writer, n int) {
	w.WriteString("Content-Length: ")
	w.WriteString(strconv.Itoa(n))
	w.WriteString("\r\n")
}

// writeRest relies on bufio.Writer keeping its first error for the last call.
func writeRest(w *bufio.Writer, h Header, ends bool, body []byte) error {
	for i := range h {
		w.WriteString(h[i].Name)
		w.WriteString(": ")
		w.WriteString(h[i].Value)
		w.WriteString("\r\n")
	}
	if ends {
		w.WriteString("Connection: close\r\n")
	}
	w.WriteString("\r\n")
	_, err := w.Write(body)
	return err
}

var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict",
	413: "Content Too Large", 431: "Request Header Fields Too Large", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
	505: "HTTP Version Not Supported",
}

var hop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// EndToEnd returns the fields that may be passed on: those not meant for one connection alone, nor named
// in drop.
func (h Header) EndToEnd(drop ...string) Header {
	var kept Header
	for _, f := range h {
		same := func(name string) bool { return strings.EqualFold(name, f.Name) }
		if !slices.ContainsFunc(hop, same) && !slices.ContainsFunc(drop, same) && !h.lists("Connection", f.Name) {
			kept = append(kept, f)
		}
	}
	return kept
}
