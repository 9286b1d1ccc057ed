package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func reader(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 4096) }

// describeError returns an error in a form to compare: the status of a MalformedError, else the error's text.
func describeError(err error) string {
	var m *MalformedError
	if errors.As(err, &m) {
		return fmt.Sprint(m.Status)
	}
	return fmt.Sprint(err)
}

func TestReadRequest(t *testing.T) {
	const host = "Host: h\r\n"
	tooManyFields := strings.Repeat("A: b\r\n", maxFields+1)
	for _, c := range []struct {
		name, in string
		want     *Request
		err      string
	}{
		{"get", "GET /a?b=c HTTP/1.1\r\n" + host + "\r\n",
			&Request{Method: "GET", Target: "/a?b=c", Header: Header{{"Host", "h"}}}, "<nil>"},
		{"body", "POST / HTTP/1.1\r\nhost:h\r\nCONTENT-LENGTH:\t3 \r\nConnection: x, Close\r\n\r\nabcd",
			&Request{Method: "POST", Target: "/", Body: []byte("abc"), Close: true,
				Header: Header{{"host", "h"}, {"CONTENT-LENGTH", "3"}, {"Connection", "x, Close"}}}, "<nil>"},
		{"chunked", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n" +
			"2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: u\r\n\r\n",
			&Request{Method: "POST", Target: "/", Body: []byte("abc"),
				Header: Header{{"Host", "h"}, {"Transfer-Encoding", "chunked"}}}, "<nil>"},
		{"nothing", "", nil, "EOF"},
		{"truncated line", "GET / HT", nil, "unexpected EOF"},
		{"truncated head", "GET / HTTP/1.1\r\n" + host, nil, "unexpected EOF"},
		{"truncated body", "POST / HTTP/1.1\r\n" + host + "Content-Length: 2\r\n\r\na", nil, "unexpected EOF"},
		{"bare line feed", "GET / HTTP/1.1\n" + host + "\r\n", nil, "400"},
		{"bare carriage return", "GET / HTTP/1.1\r\n" + host + "A: b\rc\r\n\r\n", nil, "400"},
		{"two spaces", "GET  / HTTP/1.1\r\n" + host + "\r\n", nil, "400"},
		{"no version", "GET /\r\n" + host + "\r\n", nil, "400"},
		{"version 1.0", "GET / HTTP/1.0\r\n\r\n", &Request{Method: "GET", Target: "/", Close: true, HTTP10: true},
			"<nil>"},
		{"version 1.0 with chunks", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", nil, "400"},
		{"version before 1.0", "GET / HTTP/0.9\r\n\r\n", nil, "505"},
		{"version after 1.1", "GET / HTTP/2.0\r\n\r\n", nil, "505"},
		{"absolute target", "GET HTTP://x:1?a=b HTTP/1.1\r\n" + host + "\r\n",
			&Request{Method: "GET", Target: "/?a=b", Header: Header{{"Host", "x:1"}}}, "<nil>"},
		{"target with a user", "GET http://u@h/ HTTP/1.1\r\n" + host + "\r\n", nil, "400"},
		{"target of another scheme", "GET ftp://h/ HTTP/1.1\r\n" + host + "\r\n", nil, "400"},
		{"empty lines before", "\r\n\r\nGET / HTTP/1.1\r\n" + host + "\r\n",
			&Request{Method: "GET", Target: "/", Header: Header{{"Host", "h"}}}, "<nil>"},
		{"nothing but empty lines", strings.Repeat("\r\n", 99), nil, "400"},
		{"long line", "GET / HTTP/1.1\r\n" + host + "A: " + strings.Repeat("b", 9000) + "\r\n\r\n",
			&Request{Method: "GET", Target: "/", Header: Header{{"Host", "h"}, {"A", strings.Repeat("b", 9000)}}},
			"<nil>"},
		{"expects", "POST / HTTP/1.1\r\n" + host + "Expect: 100-Continue\r\nContent-Length: 1\r\n\r\na",
			&Request{Method: "POST", Target: "/", Body: []byte("a"), ExpectsContinue: true,
				Header: Header{{"Host", "h"},
					{"Expect", "100-Continue"}, {"Content-Length", "1"}}}, "<nil>"},
		{"unknown expectation", "POST / HTTP/1.1\r\n" + host + "Expect: more\r\n\r\n", nil, "417"},
		{"same length twice", "POST / HTTP/1.1\r\n" + host + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
			nil, "400"},
		{"list of lengths", "POST / HTTP/1.1\r\n" + host + "Content-Length: 1, 1\r\n\r\na", nil, "400"},
		{"negative length", "POST / HTTP/1.1\r\n" + host + "Content-Length: -1\r\n\r\na", nil, "400"},
		{"length that overflows", "POST / HTTP/1.1\r\n" + host + "Content-Length: 99999999999999999999\r\n\r\n",
			nil, "400"},
		{"chunk that overflows", "POST / HTTP/1.1\r\n" + host +
			"Transfer-Encoding: chunked\r\n\r\n8000000000000001\r\n", nil, "400"},
		{"length above limit", "POST / HTTP/1.1\r\n" + host + "Content-Length: 67108865\r\n\r\n", nil, "413"},
		{"chunk above limit", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n4000001\r\n", nil,
			"413"},
		{"signed chunk", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", nil, "400"},
		{"target beyond ASCII", "GET /\xc3\xa4 HTTP/1.1\r\n" + host + "\r\n", nil, "400"},
		{"no host", "GET / HTTP/1.1\r\n\r\n", nil, "400"},
		{"space before colon", "GET / HTTP/1.1\r\n" + host + "A : b\r\n\r\n", nil, "400"},
		{"folded line", "GET / HTTP/1.1\r\n" + host + "A: b\r\n c\r\n\r\n", nil, "400"},
		{"two lengths", "POST / HTTP/1.1\r\n" + host +
			"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", nil, "400"},
		{"signed length", "POST / HTTP/1.1\r\n" + host + "Content-Length: +1\r\n\r\na", nil, "400"},
		{"length and chunked", "POST / HTTP/1.1\r\n" + host +
			"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", nil, "400"},
		{"unknown coding", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip\r\n\r\n", nil, "501"},
		{"chunk without size", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n\r\n", nil, "400"},
		{"chunk too long", "POST / HTTP/1.1\r\n" + host +
			"Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", nil, "400"},
		{"body too large", "POST / HTTP/1.1\r\n" + host + "Content-Length: 65537\r\n\r\n", nil, "413"},
		{"chunks too large", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n10001\r\n" +
			strings.Repeat("a", MaxBufferedBody+1) + "\r\n0\r\n\r\n", nil, "413"},
		{"line too long", "GET /" + strings.Repeat("a", 20000) + " HTTP/1.1\r\n", nil, "431"},
		{"too many fields", "GET / HTTP/1.1\r\n" + tooManyFields + "\r\n", nil, "431"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := ReadRequest(reader(c.in))
			if diff := cmp.Diff(c.err, describeError(err)); diff != "" {
				t.Fatal(diff)
			}
			if err == nil {
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Error(diff)
				}
			}
		})
	}
}

func TestReadResponse(t *testing.T) {
	for _, c := range []struct {
		name, in string
		want     *Response
		err      string
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabc",
			&Response{Status: 200, Body: []byte("ab"), Header: Header{{"Content-Length", "2"}}}, "<nil>"},
		{"until the connection ends", "HTTP/1.1 200 OK\r\n\r\nab",
			&Response{Status: 200, Body: []byte("ab"), Close: true}, "<nil>"},
		{"version 1.0", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na", &Response{Status: 200, Close: true,
			Body: []byte("a"), Header: Header{{"Content-Length", "1"}}}, "<nil>"},
		{"version 1.0 that persists", "HTTP/1.0 200 OK\r\nConnection: x, Keep-Alive\r\nContent-Length: 0\r\n\r\n",
			&Response{Status: 200, Header: Header{{"Connection", "x, Keep-Alive"}, {"Content-Length", "0"}}}, "<nil>"},
		{"not modified", "HTTP/1.1 304 x\r\nContent-Length: 5\r\n\r\n",
			&Response{Status: 304, Header: Header{{"Content-Length", "5"}}}, "<nil>"},
		{"status switching protocols", "HTTP/1.1 101 x\r\n\r\nab", nil, "400"},
		{"too many interim responses", strings.Repeat("HTTP/1.1 102 x\r\n\r\n", 99), nil, "400"},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nab", nil, "413"},
		{"after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
			&Response{Status: 204}, "<nil>"},
		{"nothing", "", nil, "unexpected EOF"},
		{"cut", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na", nil, "unexpected EOF"},
		{"truncated chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n", nil,
			"unexpected EOF"},
		{"no status", "HTTP/1.1 OK\r\n\r\n", nil, "400"},
		{"another protocol", "SSH-2.0-x\r\n\r\n", nil, "400"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := ReadResponse(reader(c.in))
			if diff := cmp.Diff(c.err, describeError(err)); diff != "" {
				t.Fatal(diff)
			}
			if err == nil {
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Error(diff)
				}
			}
		})
	}
}

func TestReadStream(t *testing.T) {
	const in = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\nb\r\n1\r\n\n\r\n0\r\n\r\n"
	status, body, err := ReadStream(reader(in))
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(body)
	if diff := cmp.Diff("200 a\nb\n <nil>", fmt.Sprint(status, " ", string(got), " ", err)); diff != "" {
		t.Error(diff)
	}
}

// A request and a response are written with their framing fields and the exact bytes of the wire format.
func TestWrite(t *testing.T) {
	var b bytes.Buffer
	w := bufio.NewWriter(&b)
	q := &Request{Method: "POST", Target: "/x", Header: Header{{"Host", "h"}}, Body: []byte("ab"), Close: true}
	a := &Response{Status: 503, Header: Header{{"Retry-After", "0.2"}}}
	if err := errors.Join(q.Write(w), a.Write(w), w.Flush()); err != nil {
		t.Fatal(err)
	}
	const want = "POST /x HTTP/1.1\r\nContent-Length: 2\r\nHost: h\r\nConnection: close\r\n\r\nab" +
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.2\r\n\r\n"
	if diff := cmp.Diff(want, b.String()); diff != "" {
		t.Error(diff)
	}
}

func TestEndToEnd(t *testing.T) {
	h := Header{{"Host", "h"}, {"connection", "X-Own"}, {"x-own", "1"}, {"TE", "t"}, {"content-length", "1"},
		{"X-Timeout", "1"}, {"X-Request-ID", "7"}}
	want := Header{{"Host", "h"}, {"X-Request-ID", "7"}}
	if diff := cmp.Diff(want, h.EndToEnd("X-Timeout")); diff != "" {
		t.Error(diff)
	}
}

// A body is read the same whatever the sizes of the reads that deliver it, and a truncated body never counts
// as complete.
func TestBodyInPieces(t *testing.T) {
	want := strings.Repeat("0123456789", 1000)
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	for start := 0; start < len(want); start += 999 {
		piece := want[start:min(start+999, len(want))]
		chunked += fmt.Sprintf("%x ;x=\"y\"\r\n%s\r\n", len(piece), piece)
	}
	for _, in := range []string{chunked + "0\r\nT: u\r\n\r\n",
		"Content-Length: 10000\r\n\r\n" + want} {
		in = "HTTP/1.1 200 OK\r\n" + in
		for size := 1; size < len(in); size = size*3 + 1 {
			_, b, err := ReadResponseHead(bufio.NewReaderSize(&piecewiseReader{in, size}, 16), "GET")
			if err != nil {
				t.Fatal(err)
			}
			if got, err := io.ReadAll(b); err != nil || string(got) != want || !b.Complete() {
				t.Errorf("in pieces of %d: %d bytes, %v", size, len(got), err)
			}
		}
		bodyStart := strings.Index(in, "\r\n\r\n") + 4
		for cut := bodyStart; cut < len(in); cut += 97 {
			_, b, err := ReadResponseHead(reader(in[:cut]), "GET")
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(b); err != io.ErrUnexpectedEOF || b.Complete() {
				t.Errorf("cut at %d: %v", cut, err)
			}
		}
	}
}

// Buffered is true only where the bytes already received let the next Read return data or the end of the
// body.
func TestBuffered(t *testing.T) {
	for in, want := range map[string]bool{"": false, "5": false, "5\r": false, "5\r\n": false, "5\r\np": true,
		"5\r\npiece": false, "5\r\npiece\r\n": false, "5\r\npiece\r\n2": false, "5\r\npiece\r\n2\r\n": false,
		"5\r\npiece\r\n2\r\nx": true, "5\r\npiece\r\n0\r\n\r\n": true} {
		_, b, err := ReadResponseHead(reader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+in), "GET")
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(in, "5\r\npiece") {
			io.ReadFull(b, make([]byte, 5))
		}
		if b.Buffered() != want {
			t.Errorf("%q: %v", in, b.Buffered())
		}
	}
}

// piecewiseReader returns at most size bytes of text from each Read.
type piecewiseReader struct {
	text string
	size int
}

func (p *piecewiseReader) Read(to []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	n := copy(to[:min(len(to), p.size)], p.text)
	p.text = p.text[n:]
	return n, nil
}

// A streaming body is framed by its length, by chunks or, for an HTTP/1.0 client, by the end of the
// connection. Writing more or fewer bytes than the header states is an error, so that a truncated body never
// counts as complete.
func TestBegin(t *testing.T) {
	for _, c := range []struct {
		length      int64
		http10      bool
		write, want string
		err         error
	}{
		{5, false, "cde", "Content-Length: 5\r\n\r\nabcde", nil},
		{4, false, "cde", "Content-Length: 4\r\n\r\nab", io.ErrShortWrite},
		{6, false, "cde", "Content-Length: 6\r\n\r\nabcde", io.ErrUnexpectedEOF},
		{-1, false, "cde", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n", nil},
		{-1, true, "cde", "Connection: close\r\n\r\nabcde", nil},
	} {
		var b bytes.Buffer
		w := bufio.NewWriter(&b)
		a := &Response{Status: 200, Body: []byte("ab"), Streaming: true, Length: c.length}
		body, err := a.Begin(w, c.http10)
		if err == nil {
			_, err = body.Write([]byte(c.write))
		}
		if err == nil {
			err = body.Close()
		}
		w.Flush()
		if diff := cmp.Diff("HTTP/1.1 200 OK\r\n"+c.want, b.String()); diff != "" || err != c.err {
			t.Errorf("%v: %s", err, diff)
		}
	}
	var b bytes.Buffer
	w := bufio.NewWriter(&b)
	(&Response{Status: 200, Bodiless: true, Length: 7}).Write(w)
	w.Flush()
	if b.String() != "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n" {
		t.Errorf("to HEAD: %q", b.String())
	}
}

func FuzzReadRequest(f *testing.F) {
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		q, err := ReadRequest(reader(in))
		if err == nil && (q.Method == "" || q.Target == "" || len(q.Body) > MaxBufferedBody) {
			t.Errorf("accepted %q as %+v", in, q)
		}
	})
}

func TestRequestHeadWithin(t *testing.T) {
	const text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for budget, want := range map[int]int{len(text): 0, len(text) - 1: 431, 5: 431} {
		_, _, err := ReadRequestHeadWithin(bufio.NewReader(strings.NewReader(text)), budget)
		var malformed *MalformedError
		status := 0
		if errors.As(err, &malformed) {
			status = malformed.Status
		}
		if status != want || want == 0 && err != nil {
			t.Errorf("budget of %d bytes: %v, want status %d", budget, err, want)
		}
	}
}
