package http1

import (
	"bufio"
	"io"
	"strconv"
)

// unknown stands for the length of a body that is written in chunks, toEnd for one that ends with its
// connection, none for a message that has no body.
const (
	unknown = -1
	toEnd   = -2
	none    = -3
)

// Write lays out a request in w whose body is all in Body.
func (q *Request) Write(w *bufio.Writer) error {
	_, err := q.Begin(w)
	return err
}

// Begin lays the request out in w. Where its body is not all in Body the rest goes to the BodyWriter, and the
// message is whole once that is closed.
func (q *Request) Begin(w *bufio.Writer) (BodyWriter, error) {
	w.WriteString(q.Method)
	w.WriteByte(' ')
	w.WriteString(q.Target)
	w.WriteString(" HTTP/1.1\r\n")
	length := q.Length
	switch {
	case length == 0 && len(q.Body) == 0 && (q.Method == "GET" || q.Method == "HEAD"):
		length = none
	case length == 0:
		length = int64(len(q.Body))
	}
	writeHead(w, q.Header, q.Close, length)
	return writeBody(w, length, q.Body)
}

// Write lays out an answer in w whose body is all in Body.
func (a *Response) Write(w *bufio.Writer) error {
	_, err := a.Begin(w, false)
	return err
}

// Begin lays the answer out in w, for a client that understands chunks or, where old, one that does not.
// Where its body streams the rest goes to the BodyWriter, and the message is whole once that is closed.
func (a *Response) Begin(w *bufio.Writer, old bool) (BodyWriter, error) {
	w.WriteString("HTTP/1.1 ")
	w.WriteString(strconv.Itoa(a.Status))
	w.WriteByte(' ')
	w.WriteString(reasons[a.Status])
	w.WriteString("\r\n")
	length := a.Length
	switch {
	case a.Status == 204 || a.Status == 304:
		length = none
	case a.Bodiless && length < 0:
		length = none
	case a.Bodiless:
	case !a.Streams:
		length = int64(len(a.Body))
	case length < 0 && old:
		length = toEnd
		a.Close = true
	}
	writeHead(w, a.Header, a.Close, length)
	if a.Bodiless || length == none {
		return writeBody(w, none, nil)
	}
	return writeBody(w, length, a.Body)
}

// WriteContinue lays the interim answer out that a client with Expect waits for.
func WriteContinue(w *bufio.Writer) { w.WriteString("HTTP/1.1 100 Continue\r\n\r\n") }

// writeHead relies on bufio.Writer keeping its first error for the last call.
func writeHead(w *bufio.Writer, h Header, ends bool, length int64) {
	switch {
	case length >= 0:
		w.WriteString("Content-Length: ")
		w.WriteString(strconv.FormatInt(length, 10))
		w.WriteString("\r\n")
	case length == unknown:
		w.WriteString("Transfer-Encoding: chunked\r\n")
	}
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
}

// BodyWriter writes a body piece by piece. It is a value, so that a message without one costs no allocation.
type BodyWriter struct {
	w      *bufio.Writer
	length int64
	left   int64
}

func writeBody(w *bufio.Writer, length int64, first []byte) (BodyWriter, error) {
	b := BodyWriter{w: w, length: length, left: max(length, 0)}
	_, err := b.Write(first)
	return b, err
}

// Write writes a piece; more than was told in the head is an error.
func (b *BodyWriter) Write(p []byte) (int, error) {
	if b.length >= 0 || b.length == none {
		if int64(len(p)) > b.left {
			return 0, io.ErrShortWrite
		}
		b.left -= int64(len(p))
	}
	if b.length != unknown || len(p) == 0 {
		return b.w.Write(p)
	}
	b.w.WriteString(strconv.FormatInt(int64(len(p)), 16))
	b.w.WriteString("\r\n")
	n, _ := b.w.Write(p)
	_, err := b.w.WriteString("\r\n")
	return n, err
}

// Close ends the body; less than was told in the head is an error.
func (b *BodyWriter) Close() error {
	if b.length > 0 && b.left > 0 {
		return io.ErrUnexpectedEOF
	}
	if b.length == unknown {
		_, err := b.w.WriteString("0\r\n\r\n")
		return err
	}
	return nil
}
