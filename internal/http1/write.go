package http1

import (
	"bufio"
	"io"
	"strconv"
)

// Values that stand for a framing other than by Content-Length, in place of a body's length in bytes.
const (
	lengthChunked    = -1
	lengthUntilClose = -2 // the end of the connection ends the body
	lengthNone       = -3 // no body; a header with this length gets no framing field
)

// Write writes a request whose Body holds the full body.
func (q *Request) Write(w *bufio.Writer) error {
	_, err := q.Begin(w)
	return err
}

// Begin writes the head of the request and the bytes in Body. The caller writes the rest of a longer body to
// the BodyWriter, whose Close completes the message.
func (q *Request) Begin(w *bufio.Writer) (BodyWriter, error) {
	w.WriteString(q.Method)
	w.WriteByte(' ')
	w.WriteString(q.Target)
	w.WriteString(" HTTP/1.1\r\n")
	length := q.Length
	switch {
	case length == 0 && len(q.Body) == 0 && (q.Method == "GET" || q.Method == "HEAD"):
		length = lengthNone
	case length == 0:
		length = int64(len(q.Body))
	}
	writeHead(w, q.Header, q.Close, length)
	return writeBody(w, length, q.Body)
}

// Write writes a response whose Body holds the full body.
func (a *Response) Write(w *bufio.Writer) error {
	_, err := a.Begin(w, false)
	return err
}

// Begin writes the head of the response and the bytes in Body; http10 says that the client speaks HTTP/1.0,
// which has no chunked coding. The caller writes the rest of a streaming body to the BodyWriter, whose Close
// completes the message.
func (a *Response) Begin(w *bufio.Writer, http10 bool) (BodyWriter, error) {
	w.WriteString("HTTP/1.1 ")
	w.WriteString(strconv.Itoa(a.Status))
	w.WriteByte(' ')
	w.WriteString(reasonPhrases[a.Status])
	w.WriteString("\r\n")
	length := a.Length
	switch {
	case a.Status == StatusNoContent || a.Status == StatusNotModified:
		length = lengthNone
	case a.Bodiless && length < 0:
		length = lengthNone
	case a.Bodiless:
	case !a.Streaming:
		length = int64(len(a.Body))
	case length < 0 && http10:
		length = lengthUntilClose
		a.Close = true
	}
	writeHead(w, a.Header, a.Close, length)
	if a.Bodiless || length == lengthNone {
		return writeBody(w, lengthNone, nil)
	}
	return writeBody(w, length, a.Body)
}

// WriteContinue writes the interim response that a client with Expect: 100-continue awaits.
func WriteContinue(w *bufio.Writer) { w.WriteString("HTTP/1.1 100 Continue\r\n\r\n") }

// writeHead writes the framing fields, the header and the empty line. It ignores errors, because a
// bufio.Writer returns its first error from all later calls too.
func writeHead(w *bufio.Writer, h Header, closes bool, length int64) {
	switch {
	case length >= 0:
		w.WriteString("Content-Length: ")
		w.WriteString(strconv.FormatInt(length, 10))
		w.WriteString("\r\n")
	case length == lengthChunked:
		w.WriteString("Transfer-Encoding: chunked\r\n")
	}
	for i := range h {
		w.WriteString(h[i].Name)
		w.WriteString(": ")
		w.WriteString(h[i].Value)
		w.WriteString("\r\n")
	}
	if closes {
		w.WriteString("Connection: close\r\n")
	}
	w.WriteString("\r\n")
}

// BodyWriter writes a body in parts. It is a value, so that a message without a body costs no allocation.
type BodyWriter struct {
	w         *bufio.Writer
	length    int64 // bytes of the body, or one of the values above
	remaining int64 // bytes that Write still accepts; unused where the length does not bound it
}

func writeBody(w *bufio.Writer, length int64, prefix []byte) (BodyWriter, error) {
	b := BodyWriter{w: w, length: length, remaining: max(length, 0)}
	_, err := b.Write(prefix)
	return b, err
}

// Write writes a part of the body. A part that exceeds the length in the header is rejected with
// io.ErrShortWrite.
func (b *BodyWriter) Write(p []byte) (int, error) {
	if b.length >= 0 || b.length == lengthNone {
		if int64(len(p)) > b.remaining {
			return 0, io.ErrShortWrite
		}
		b.remaining -= int64(len(p))
	}
	if b.length != lengthChunked || len(p) == 0 {
		return b.w.Write(p)
	}
	b.w.WriteString(strconv.FormatInt(int64(len(p)), 16))
	b.w.WriteString("\r\n")
	n, _ := b.w.Write(p)
	_, err := b.w.WriteString("\r\n")
	return n, err
}

// Close ends the body. It returns io.ErrUnexpectedEOF where fewer bytes were written than the header states.
func (b *BodyWriter) Close() error {
	if b.length > 0 && b.remaining > 0 {
		return io.ErrUnexpectedEOF
	}
	if b.length == lengthChunked {
		_, err := b.w.WriteString("0\r\n\r\n")
		return err
	}
	return nil
}
