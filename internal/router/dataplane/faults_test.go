package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
)

// fault is what a server does instead of completing its response.
type fault string

const (
	closes fault = "closes"
	resets fault = "resets"
	stalls fault = "stops sending"
)

// framing is how a response indicates its end.
type framing string

const (
	byLength        framing = "by length"
	byChunks        framing = "by chunks"
	byConnectionEnd framing = "by the end of the connection"
)

// encode returns the response to req whose body consists of parts, and the length of its head.
func (f framing) encode(req *http1.Request, mediaType string, parts ...string) (text string, headLength int) {
	fields := []string{stamp, "Content-Type: " + mediaType}
	body := strings.Join(parts, "")
	switch f {
	case byLength:
		fields = append(fields, fmt.Sprintf("Content-Length: %d", len(body)))
	case byChunks:
		fields = append(fields, "Transfer-Encoding: chunked")
		body = ""
		for _, part := range parts {
			body += chunk(part)
		}
		body += "0\r\n\r\n"
	}
	head := responseHead(req, 200, fields...) + "\r\n"
	return head + body, len(head)
}

// faultyAttempt is one attempt of a client, and the fault of the first server that receives it.
type faultyAttempt struct {
	id, route string
	framing   framing
	fault     fault
	point     int // bytes of the response before the fault

	received int // how many times servers have received it so far
}

func (a *faultyAttempt) isStream() bool { return a.route == "stream" || a.route == "firm" }

// encodeResponse returns the complete response to a request of the attempt, and the length of its head.
func (a *faultyAttempt) encodeResponse(req *http1.Request) (text string, headLength int) {
	if !a.isStream() {
		return a.framing.encode(req, "text/plain", "body ", "of "+a.id)
	}
	var events []string
	for piece := parseCount(req.Header.Get(lastEventHeader)) + 1; piece <= 3; piece++ {
		events = append(events, eventWith(a.id, piece))
	}
	return a.framing.encode(req, eventStreamType, events...)
}

// body returns the response body that the client should receive.
func (a *faultyAttempt) body() string {
	if !a.isStream() {
		return "body of " + a.id
	}
	return eventWith(a.id, 1) + eventWith(a.id, 2) + eventWith(a.id, 3)
}

// faultyServers are servers that truncate the first response to each registered attempt, and complete all
// others.
type faultyServers struct {
	mu       sync.Mutex
	attempts map[string]*faultyAttempt
}

// register adds an attempt like template, whose first response the servers truncate after point bytes.
func (s *faultyServers) register(template faultyAttempt, id string, point int) *faultyAttempt {
	attempt := &template
	attempt.id, attempt.point = id, point
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[id] = attempt
	return attempt
}

func (s *faultyServers) serve(req *http1.Request, w io.Writer) bool {
	id := req.Header.Get(tryIDHeader)
	s.mu.Lock()
	attempt := s.attempts[id]
	if attempt != nil {
		attempt.received++
	}
	first := attempt != nil && attempt.received == 1
	s.mu.Unlock()
	if attempt == nil {
		return respondOK("body of "+id)(req, w)
	}
	text, _ := attempt.encodeResponse(req)
	if !first {
		io.WriteString(w, text)
		return attempt.framing != byConnectionEnd
	}
	io.WriteString(w, text[:attempt.point])
	switch attempt.fault {
	case resets:
		w.(*net.TCPConn).SetLinger(0)
	case stalls:
		io.Copy(io.Discard, w.(net.Conn)) // until the proxy closes the connection
		io.WriteString(w, text[attempt.point:])
	}
	return false
}

// stallsMidResponse reports whether the server stops sending before the end of its response. Such a request
// gets a short deadline; one whose response is complete gets none, so that a busy machine can't make it fail.
func (a *faultyAttempt) stallsMidResponse() bool {
	complete := a.point == len(a.text()) && a.framing != byConnectionEnd
	return a.fault == stalls && !complete
}

// isComplete reports whether the truncated response cannot be distinguished from a complete one.
func (a *faultyAttempt) isComplete(text string, headLength int) bool {
	if a.framing != byConnectionEnd {
		return a.point == len(text)
	}
	betweenEvents := a.point == headLength || strings.HasSuffix(text[:a.point], "\n\n")
	return a.fault == closes && a.point >= headLength && (!a.isStream() || betweenEvents)
}

// problemWith describes what is wrong with the result that the client of the attempt got, "" for nothing.
func (a *faultyAttempt) problemWith(got clientResult, text string, headLength int) string {
	atMostOnce := a.route == "unsafe" || a.route == "firm"
	switch {
	case atMostOnce && a.received > 1:
		return "the request ran twice"
	case a.received == 0 && got.status == 503:
		return "" // no time was left to send it
	case a.received > 0 && got.status == 503:
		return "the request was rejected although it may have run"
	case a.isComplete(text, headLength):
		if got.truncated || got.status != 200 || !strings.HasPrefix(a.body(), got.body) || a.received != 1 {
			return "the complete response did not arrive"
		}
		if a.point == len(text) && got.body != a.body() {
			return "only a part of the response arrived"
		}
	case !atMostOnce && a.fault != stalls:
		if got != (clientResult{200, a.body(), false}) || a.received != 2 {
			return "no other server responded in place of the faulty one"
		}
	case got.status == 200 && !(a.isStream() && got.truncated && strings.HasPrefix(a.body(), got.body)):
		return "the truncated response looks complete"
	case got.status != 200 && (got.truncated || got.status != 502 && got.status != 504):
		return "the response is none of the permitted ones"
	}
	return ""
}

// A server closes or resets the connection, or stalls, after any number of bytes of its response, for each
// framing. A truncated response must not be taken for a complete one, a request that must not run twice must
// not be sent again, an idempotent one must be answered by another server, and the next request on the
// client's connection must get its own response.
func TestFaultAtEveryByteOfAResponse(t *testing.T) {
	for _, route := range []string{"safe", "unsafe", "stream", "firm"} {
		for _, framing := range []framing{byLength, byChunks, byConnectionEnd} {
			for _, fault := range []fault{closes, resets, stalls} {
				t.Run(fmt.Sprintf("%s ends %s and its server %s", route, framing, fault), func(t *testing.T) {
					t.Parallel()
					faultAtEveryResponseByte(t, faultyAttempt{route: route, framing: framing, fault: fault})
				})
			}
		}
	}
}

// faultClients is how many clients send requests concurrently.
const faultClients = 8

// faultAtEveryResponseByte makes one attempt like template for each number of bytes of the response before
// the fault.
func faultAtEveryResponseByte(t *testing.T, template faultyAttempt) {
	t.Helper()
	servers := &faultyServers{attempts: map[string]*faultyAttempt{}}
	rig := newRig(t, withRetrySlack(1e6), newLookupServers(t, servers.serve)...)
	// A server that stalls after a complete response does not answer the next request on the connection. That
	// request times out after twice this latency target and is sent to another server.
	rig.route("safe").LatencyTarget = testTimeout / 8
	points := make(chan int)
	var wg sync.WaitGroup
	for range faultClients {
		wg.Go(func() {
			client := &testClient{C: rig.C}
			for point := range points {
				client.attemptWithFault(rig, servers, template, point)
			}
		})
	}
	template.id = "000"
	text, _ := template.encodeResponse(requestOf(template.id))
	for point := range len(text) + 1 {
		points <- point
	}
	close(points)
	wg.Wait()
	rig.awaitCallsEnded()
}

// requestOf returns a request with the id of an attempt.
func requestOf(id string) *http1.Request {
	return &http1.Request{Header: http1.Header{{Name: tryIDHeader, Value: id}}}
}

// stallDeadline is the deadline of a request whose server stops sending.
const stallDeadline = 60 * time.Millisecond

// attemptWithFault makes one attempt with the fault after point bytes, and then sends another request, on the
// same connection if that is still open. It makes the attempt again if the result arrived too late to prove
// anything.
func (c *testClient) attemptWithFault(
	rig *testRig, servers *faultyServers, template faultyAttempt, point int,
) {
	const maxAttempts = 10
	var attempt *faultyAttempt
	var got clientResult
	for number, tooLate := 0, true; tooLate && number < maxAttempts; number++ {
		attempt = servers.register(template, fmt.Sprintf("%x%02x", number, point), point)
		deadline := ""
		if attempt.stallsMidResponse() {
			deadline = fmt.Sprint(stallDeadline.Milliseconds())
		}
		c.reconnect(rig)
		began := time.Now()
		got = c.postAndRead(attempt.route, attempt.id, deadline)
		tooLate = deadline != "" && got.cameTooLate(stallDeadline, began)
	}
	text, headLength := attempt.encodeResponse(requestOf(attempt.id))
	servers.mu.Lock()
	problem := attempt.problemWith(got, text, headLength)
	servers.mu.Unlock()
	if problem != "" {
		rig.Errorf("fault after %d of %d bytes: %s: %+v with %d calls", point, len(text), problem, got,
			attempt.received)
	}
	c.reconnect(rig)
	next := "n" + attempt.id
	if got := c.postAndRead("safe", next, ""); got != (clientResult{200, "body of " + next, false}) {
		rig.Errorf("request after a fault after %d bytes: %+v", point, got)
	}
}

// cameTooLate reports whether a client got no response until after the proxy's write deadline. This process
// was then not scheduled in time, and the result proves nothing.
func (r clientResult) cameTooLate(deadline time.Duration, began time.Time) bool {
	return r.status == 0 && time.Since(began) > deadline-minMargin+writeGrace
}

// reconnect opens a connection if the client has none, and renews the connection's deadline.
func (c *testClient) reconnect(rig *testRig) {
	if c.Conn == nil && !c.connect(rig.address) {
		rig.Error("the proxy does not accept connections")
		return
	}
	c.SetDeadline(time.Now().Add(testTimeout))
}

// postAndRead sends a POST request and reads its response. It closes the connection if it can't be reused.
func (c *testClient) postAndRead(route, id, deadline string) clientResult {
	var fields string
	if deadline != "" {
		fields = deadlineHeader + ": " + deadline + "\r\n"
	}
	fmt.Fprintf(c, "POST /%s/ HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: %s\r\n%s%s", route, id, fields,
		contentLength(""))
	response, err := c.read()
	got := clientResult{truncated: err != nil}
	if response != nil {
		got.status, got.body = response.Status, string(response.Body)
		if got.status != 200 {
			got.body = ""
		}
	}
	if err != nil || response.Close {
		c.Close()
		c.Conn = nil
	}
	return got
}

// The kernel reports a reset that arrives while the request is being sent only once, to the write; later
// reads then end as if the server had closed the connection in order. So after a failed send, a response that
// is delimited only by the end of the connection must not be trusted.
func TestConnectionEndAfterFailedSendIsNotTrusted(t *testing.T) {
	c := qt.New(t)
	req := requestOf("a")
	text, _ := byConnectionEnd.encode(req, "text/plain", "body")
	head, body, err := http1.ReadResponseHead(bufio.NewReader(strings.NewReader(text)), "GET")
	c.Assert(err, qt.IsNil)
	response := serverResponse{head, body}
	c.Assert(classify((&call{}).responseTraits(response)), qt.Equals, classForward)
	c.Assert(classify((&call{partlySent: true}).responseTraits(response)), qt.Equals, classUnusable)
	text, _ = byChunks.encode(req, "text/plain", "body")
	head, body, err = http1.ReadResponseHead(bufio.NewReader(strings.NewReader(text)), "GET")
	c.Assert(err, qt.IsNil)
	response = serverResponse{head, body}
	c.Assert(classify((&call{partlySent: true}).responseTraits(response)), qt.Equals, classForward)
}
