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

// head is a parsed header section with its framing.
type head struct {
	header  Header
	length  int64 // of the body in bytes, -1 without Content-Length
	chunked bool
}

// readLine reads one line and returns it without its CRLF. It subtracts the bytes of the line from budget,
// which is how many bytes the rest of the head may have. A line may be longer than the reader's buffer.
func readLine(r *bufio.Reader, budget *int) (string, error) {
	raw, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := slices.Clone(raw)
		for errors.Is(err, bufio.ErrBufferFull) && len(long) <= *budget {
			raw, err = r.ReadSlice('\n')
			long = append(long, raw...)
		}
		raw = long
	}
	if len(raw) > *budget {
		return "", &MalformedError{Status: StatusRequestHeaderFieldsTooLarge, Reason: "head too large"}
	}
	if err != nil {
		if errors.Is(err, io.EOF) && len(raw) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return "", err
	}
	*budget -= len(raw)
	if len(raw) < 2 || raw[len(raw)-2] != '\r' {
		return "", malformed("a line does not end with CRLF")
	}
	raw = raw[:len(raw)-2]
	for _, c := range raw {
		if c < ' ' && c != '\t' || c == 0x7f {
			return "", malformed("a control character in the head")
		}
	}
	return string(raw), nil
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

// readHeader reads the header section and derives the framing of the body from it.
func readHeader(r *bufio.Reader, budget *int) (head, error) {
	h := head{length: -1}
	for {
		line, err := readLine(r, budget)
		if err != nil {
			return h, unexpectedEOF(err)
		}
		if line == "" {
			break
		}
		if len(h.header) == maxFields {
			return h, &MalformedError{Status: StatusRequestHeaderFieldsTooLarge, Reason: "too many header fields"}
		}
		if err := h.addField(line); err != nil {
			return h, err
		}
	}
	// Parsers differ in which of the two fields they follow, which allows request smuggling.
	if h.chunked && h.length >= 0 {
		return h, malformed("both Content-Length and Transfer-Encoding")
	}
	return h, nil
}

// addField parses one header line, adds it, and updates the framing of the body.
func (h *head) addField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) { // also a space before the colon, and a folded line
		return malformed("not a header field: %.40q", line)
	}
	value = strings.Trim(value, " \t")
	h.header = append(h.header, Field{name, value})
	switch {
	case strings.EqualFold(name, "Content-Length"):
		n, err := contentLength(value)
		if err != nil {
			return err
		}
		if h.length >= 0 {
			return malformed("two Content-Length")
		}
		h.length = n
	case strings.EqualFold(name, "Transfer-Encoding"):
		if h.chunked || !strings.EqualFold(value, "chunked") {
			return &MalformedError{Status: StatusNotImplemented, Reason: "unknown Transfer-Encoding"}
		}
		h.chunked = true
	}
	return nil
}

func contentLength(v string) (int64, error) {
	if v == "" || len(v) > 18 || strings.Trim(v, "0123456789") != "" {
		return 0, malformed("Content-Length %.20q is no length", v)
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if n > MaxBodyLength {
		return 0, errBodyTooLarge
	}
	if err != nil {
		return 0, malformed("Content-Length %q is no length", v)
	}
	return n, nil
}

// keepsAlive reports whether the connection persists after the message, by its version and Connection field.
func (h *head) keepsAlive(http10 bool) bool {
	return !h.header.containsToken("Connection", "close") &&
		(!http10 || h.header.containsToken("Connection", "keep-alive"))
}

// ReadRequestHead reads the head of one request; the returned Body reads its body. The error io.EOF means
// that the connection ended before the first byte.
func ReadRequestHead(r *bufio.Reader) (*Request, *Body, error) {
	return ReadRequestHeadWithin(r, maxHead)
}

// ReadRequestHeadWithin is ReadRequestHead for a head of at most budget bytes.
func ReadRequestHeadWithin(r *bufio.Reader, budget int) (*Request, *Body, error) {
	line, err := readLine(r, &budget)
	// Some clients send an extra CRLF after a body (RFC 9112, 2.2).
	for n := 0; err == nil && line == "" && n < maxEmptyLines; n++ {
		line, err = readLine(r, &budget)
	}
	if err != nil {
		return nil, nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	target, version, ok := strings.Cut(rest, " ")
	if !ok || !isToken(method) || strings.Contains(version, " ") {
		return nil, nil, malformed("not a request line: %.40q", line)
	}
	http10 := version == "HTTP/1.0"
	if !http10 && version != "HTTP/1.1" {
		return nil, nil, &MalformedError{Status: StatusHTTPVersionNotSupported,
			Reason: fmt.Sprintf("version %.20q", version)}
	}
	target, host, ok := splitTarget(target)
	if !ok {
		return nil, nil, malformed("target %.40q", target)
	}
	h, err := readHeader(r, &budget)
	if err != nil {
		return nil, nil, err
	}
	switch {
	case host != "": // the host of an absolute target takes precedence over the Host field
		h.header = slices.DeleteFunc(h.header, func(f Field) bool { return strings.EqualFold(f.Name, "Host") })
		h.header = append(h.header, Field{"Host", host})
	case !http10 && h.header.Get("Host") == "":
		return nil, nil, malformed("no Host")
	}
	if http10 && h.chunked {
		return nil, nil, malformed("chunks in HTTP/1.0")
	}
	request := &Request{Method: method, Target: target, Header: h.header, Close: http10 || !h.keepsAlive(http10),
		HTTP10: http10}
	if e := h.header.Get("Expect"); e != "" && !http10 {
		if !strings.EqualFold(e, "100-continue") {
			return nil, nil, &MalformedError{Status: StatusExpectationFailed,
				Reason: fmt.Sprintf("expectation %.20q", e)}
		}
		request.ExpectsContinue = h.chunked || h.length > 0
	}
	return request, newBody(r, &h, false), nil
}

// splitTarget splits a request target into its path with query and, for an absolute target, its host. It
// reports false for a target that is malformed or of another form.
func splitTarget(target string) (path, host string, ok bool) {
	if strings.Trim(target, visibleASCII) != "" {
		return target, "", false
	}
	if target != "" && target[0] == '/' {
		return target, "", true
	}
	const scheme = "http://"
	if len(target) < len(scheme) || !strings.EqualFold(target[:len(scheme)], scheme) {
		return target, "", false
	}
	rest := target[len(scheme):]
	pathStart := strings.IndexAny(rest, "/?")
	if pathStart < 0 {
		pathStart = len(rest)
	}
	host, path = rest[:pathStart], rest[pathStart:]
	if path == "" || path[0] != '/' {
		path = "/" + path
	}
	return path, host, host != "" && !strings.Contains(host, "@")
}

// visibleASCII holds every character that a request target may have.
var visibleASCII = func() string {
	var b []byte
	for c := byte('!'); c <= '~'; c++ {
		b = append(b, c)
	}
	return string(b)
}()

// ReadResponseHead reads the head of the final response to a request of the given method, skipping interim
// responses; the returned Body reads the body.
func ReadResponseHead(r *bufio.Reader, method string) (*Response, *Body, error) {
	for range maxResponseHeads {
		budget := maxHead
		status, http10, err := readStatusLine(r, &budget)
		if err != nil {
			return nil, nil, err
		}
		h, err := readHeader(r, &budget)
		if err != nil {
			return nil, nil, err
		}
		if status < 200 {
			continue
		}
		if http10 && h.chunked {
			return nil, nil, malformed("chunks in HTTP/1.0")
		}
		response, body := newResponse(r, &h, method, status, http10)
		return response, body, nil
	}
	return nil, nil, malformed("too many interim responses")
}

// readStatusLine reads the first line of a response; http10 reports whether its version is HTTP/1.0.
func readStatusLine(r *bufio.Reader, budget *int) (status int, http10 bool, err error) {
	line, err := readLine(r, budget)
	if err != nil {
		return 0, false, unexpectedEOF(err)
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	http10 = version == "HTTP/1.0"
	if !http10 && version != "HTTP/1.1" || err != nil || len(code) != 3 || status < 100 {
		return 0, false, malformed("not a status line: %.40q", line)
	}
	if status == StatusSwitchingProtocols { // requests never ask for an upgrade
		return 0, false, malformed("switching protocols")
	}
	return status, http10, nil
}

// newResponse returns the response with the given head, and the reader of its body.
func newResponse(r *bufio.Reader, h *head, method string, status int, http10 bool) (*Response, *Body) {
	response := &Response{Status: status, Header: h.header, Close: !h.keepsAlive(http10)}
	if method == "HEAD" {
		response.Bodiless, response.Length = true, h.length
	}
	if method == "HEAD" || status == StatusNoContent || status == StatusNotModified {
		h.length, h.chunked = 0, false
	}
	untilClose := !h.chunked && h.length < 0
	response.Close = response.Close || untilClose
	return response, newBody(r, h, untilClose)
}
