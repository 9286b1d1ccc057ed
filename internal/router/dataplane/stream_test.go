package dataplane

import (
	"fmt"
	"io"
	"strconv"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/scheduler"
)

// streamHead begins a stream that names its server in its stamp.
func streamHead(req *http1.Request, stamp string) string {
	return head(req, 200, "Cresshub-Server-Stamp: "+stamp, "Content-Type: text/event-stream",
		"Transfer-Encoding: chunked") + "\r\n"
}

// streams answers with these chunks and then ends the stream or breaks off.
func streams(stamp string, whole bool, chunks ...string) handler {
	return func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, stamp))
		for _, text := range chunks {
			io.WriteString(w, chunk(text))
		}
		if whole {
			io.WriteString(w, "0\r\n\r\n")
		}
		return whole
	}
}

// resumesUntil answers with the events after Last-Event-Id up to the last one.
func resumesUntil(last int) handler {
	return func(req *http1.Request, w io.Writer) bool {
		from := parseCount(req.Header.Get(lastEventHeader)) + 1
		return events(from, last, true)(req, w)
	}
}

func TestEventsAreForwardedAsTheyCome(t *testing.T) {
	next := make(chan bool)
	s := newServer(t, "i-1", "lookup", "", func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "s"))
		for id := 1; id <= 3; id++ {
			io.WriteString(w, chunk(event(id)))
			<-next
		}
		io.WriteString(w, "0\r\n\r\n")
		return true
	})
	r := newRig(t, nil, s)
	p := r.dial()
	p.send("POST", "/stream/", "a", "")
	answer, body, err := http1.ReadResponseHead(p.in, "POST")
	r.Assert(err, qt.IsNil)
	r.Assert(answer.Header.Get(stampHeader), qt.Equals, "s")
	for id := 1; id <= 3; id++ {
		got := make([]byte, len(event(id)))
		_, err := io.ReadFull(body, got)
		r.Assert(err, qt.IsNil)
		r.Assert(string(got), qt.Equals, event(id)) // while its server waits
		next <- true
	}
	_, err = body.Read(make([]byte, 1))
	r.Assert(err, qt.Equals, io.EOF)
	r.awaitCallsEnded()
	r.Assert(r.chooser.firstEvents, qt.Equals, 1)
}

func TestStreamIsResumedAtAnotherServer(t *testing.T) {
	const half = "id: 3\ndata: pie"
	for _, test := range []struct {
		name    string
		answers []handler
		body    string
		calls   int
	}{
		{"broken between events", []handler{streams("first", false, event(1), event(2)), resumesUntil(5)},
			eventsText(1, 5), 2},
		{"broken within an event", []handler{streams("first", false, event(1), event(2)+half), resumesUntil(5)},
			eventsText(1, 5), 2},
		{"broken twice",
			[]handler{streams("first", false, event(1)), streams("second", false, event(2)), resumesUntil(4)},
			eventsText(1, 4), 3},
		{"the next one is full", []handler{streams("first", false, event(1)), full, resumesUntil(4)}, eventsText(1,
			4), 3},
		{"the next one begins again", []handler{streams("first", false, event(1), event(2)), events(1, 4, true)},
			eventsText(1, 4), 2},
		{"nothing was missing", []handler{streams("first", false, event(1)), streams("second", true)},
			eventsText(1, 1), 2},
		{"nonsense", []handler{func(req *http1.Request, w io.Writer) bool {
			io.WriteString(w, streamHead(req, "first")+chunk(event(1))+"no chunk\r\n")
			return false
		}, resumesUntil(4)}, eventsText(1, 4), 2},
		{"a line before an id", []handler{streams("first", false, "versions: 1\n"+event(1)),
			streams("second", true, "versions: 2\n"+event(2))},
			"versions: 1\n" + event(1) + "versions: 2\n" + event(2), 2},
		{"comments between", []handler{streams("first", false, event(1), ": idle\n\n"), resumesUntil(2)},
			event(1) + ": idle\n\n" + event(2), 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			servers := newLookupServers(t, inTurn(test.answers...))
			r := newRig(t, nil, servers...)
			answer := r.dial().ask("POST", "/stream/", "a", "same")
			r.Assert(string(answer.Body), qt.Equals, test.body)
			r.Assert(answer.Header.Get(stampHeader), qt.Equals, "first")
			r.Assert(requestsReceived(servers), qt.Equals, test.calls)
			r.awaitCallsEnded()
			for _, s := range servers[1:] {
				for _, req := range s.got() {
					r.Assert(req.Header.Get(lastEventHeader), qt.Not(qt.Equals), "")
					r.Assert(req.Header.Get(tryIDHeader), qt.Equals, "a")
					r.Assert(string(req.Body), qt.Equals, "same")
				}
			}
			r.Assert(r.proxy.Stats().Retries, qt.Equals, int64(test.calls-1))
		})
	}
}

func TestStreamsThatCannotBeResumedAreTruncated(t *testing.T) {
	first := streams("first", false, event(1), event(2))
	for _, test := range []struct {
		name, route string
		slack       float64
		answers     []handler
		body        string
		calls       int
	}{
		{"firm route", "firm", 100, []handler{first, resumesUntil(5)}, eventsText(1, 2), 1},
		{"no retry left", "stream", 0, []handler{first, resumesUntil(5)}, eventsText(1, 2), 1},
		{"no server left", "stream", 100, []handler{first, full, full, resumesUntil(5)}, eventsText(1, 2), 3},
		{"events missing", "stream", 100, []handler{first, events(4, 5, true)}, eventsText(1, 2), 3},
		{"another kind of response", "stream", 100, []handler{first, ok("all of it")}, eventsText(1, 2), 3},
		{"no id to resume from", "stream", 100, []handler{streams("first", false, "data: x\n\n"), resumesUntil(5)},
			"data: x\n\n", 1},
		{"an event without an id", "stream", 100,
			[]handler{streams("first", false, event(1), "data: x\n\n"), resumesUntil(5)}, event(1) + "data: x\n\n", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			servers := newLookupServers(t, inTurn(test.answers...))
			r := newRig(t, slack(test.slack), servers...)
			p := r.dial()
			p.send("POST", "/"+test.route+"/", "a", "")
			answer, err := p.read()
			r.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
			r.Assert(string(answer.Body), qt.Equals, test.body)
			r.Assert(requestsReceived(servers), qt.Equals, test.calls)
			r.awaitCallsEnded()
			r.Assert(r.proxy.Stats().Truncated, qt.Equals, int64(1))
		})
	}
}

func TestStreamThatTimesOut(t *testing.T) {
	ended := make(chan string, 9)
	silent := func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "first")+chunk(event(1)))
		return neverAnswer(ended)(req, w)
	}
	for _, test := range []struct {
		route string
		err   error
		body  string
	}{
		{"stream", nil, eventsText(1, 3)},
		{"firm", io.ErrUnexpectedEOF, event(1)},
	} {
		t.Run(test.route, func(t *testing.T) {
			t.Parallel()
			servers := newLookupServers(t, inTurn(silent, resumesUntil(3)))
			r := newRig(t, nil, servers...)
			p := r.dial()
			p.send("POST", "/"+test.route+"/", "a", "", "Cresshub-Deadline-Ms: 3000")
			answer, err := p.read()
			r.Assert(err, qt.Equals, test.err)
			r.Assert(string(answer.Body), qt.Equals, test.body)
			<-ended
			r.awaitCallsEnded()
			r.Assert(r.chooser.outcomes()[0], qt.Equals, scheduler.TimedOut)
		})
	}
}

func TestClientResumesItself(t *testing.T) {
	servers := newLookupServers(t, inTurn(func(req *http1.Request, w io.Writer) bool {
		from := parseCount(req.Header.Get(lastEventHeader)) + 1
		return events(from, from+1, false)(req, w)
	}, resumesUntil(16)))
	r := newRig(t, nil, servers...)
	answer := r.dial().ask("POST", "/stream/", "a", "", "Last-Event-Id: 12")
	r.Assert(string(answer.Body), qt.Equals, eventsText(13, 16))
	r.Assert(servers[0].got()[0].Header.Get(lastEventHeader), qt.Equals, "12")
	r.Assert(servers[1].got()[0].Header.Get(lastEventHeader), qt.Equals, "14")
	r.Assert(servers[1].got()[0].Header.Repeated(lastEventHeader), qt.Equals, "")
}

func TestStreamWithALengthAndAnHTTP10Client(t *testing.T) {
	all := eventsText(1, 3) + "id: 4\ndata: without a blank line"
	s := newServer(t, "i-1", "lookup", "", func(req *http1.Request, w io.Writer) bool {
		fmt.Fprint(w, head(req, 200, stamp, "Content-Type: text/event-stream; charset=utf-8"), length(all), all)
		return true
	})
	r := newRig(t, nil, s)
	p := r.dial()
	r.Assert(string(p.ask("GET", "/stream/", "a", "").Body), qt.Equals, all)
	io.WriteString(p, "GET /stream/ HTTP/1.0\r\nHost: h\r\nCresshub-Try-Id: b\r\n\r\n")
	answer, err := p.read()
	r.Assert(err, qt.IsNil)
	r.Assert(string(answer.Body), qt.Equals, all)
}

func TestManySmallChunks(t *testing.T) {
	s := newServer(t, "i-1", "lookup", "", func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "s"))
		text := eventsText(1, 200)
		for at := 0; at < len(text); at += 7 {
			io.WriteString(w, chunk(text[at:min(at+7, len(text))]))
		}
		io.WriteString(w, "0\r\n\r\n")
		return true
	})
	r := newRig(t, nil, s)
	p := r.dial()
	for id := range 3 {
		r.Assert(string(p.ask("POST", "/firm/", strconv.Itoa(id), "").Body), qt.Equals, eventsText(1, 200))
	}
}

func TestEventBeyondBoundsIsNoEvent(t *testing.T) {
	huge := make([]byte, maxEventBytes+bufferSize+1)
	for i := range huge {
		huge[i] = 'x'
	}
	s := newServer(t, "i-1", "lookup", "", streams("s", true, string(huge)))
	r := newRig(t, nil, s)
	r.Assert(r.dial().ask("POST", "/firm/", "a", "").Status, qt.Equals, 502)
}

// What only the end of the connection ends is reset where it is not complete, also where the client's next
// request has arrived.
func TestHTTP10ClientSeesThatItsStreamWasTruncated(t *testing.T) {
	const request = "GET /firm/ HTTP/1.0\r\nHost: h\r\nCresshub-Try-Id: b\r\n\r\n"
	for _, sent := range []string{request, request + request} {
		next := make(chan bool)
		s := newServer(t, "i-1", "lookup", "", func(req *http1.Request, w io.Writer) bool {
			io.WriteString(w, streamHead(req, "s")+chunk(event(1)))
			<-next
			return false
		})
		r := newRig(t, nil, s)
		p := r.dial()
		io.WriteString(p, sent)
		_, body, err := http1.ReadResponseHead(p.in, "GET")
		r.Assert(err, qt.IsNil)
		got := make([]byte, len(event(1)))
		_, err = io.ReadFull(body, got)
		r.Assert(err, qt.IsNil)
		close(next)
		_, err = body.Read(got)
		r.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
	}
}

// A server that has stalled is no reason to end a stream that no other server could resume.
func TestTimeoutEndsOnlyResumableStreams(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	req := &request{hardDeadline: now.Add(time.Minute), route: &fleetconfig.Route{Kind: fleetconfig.Stream}}
	call := &call{roundTrip: &roundTrip{request: req}}
	r := &relay{request: req, started: true, replaceable: true, order: eventOrder{hasLast: true}}
	c.Assert(r.gapDeadline(call), qt.Equals, req.hardDeadline)
	req.route.Resumable = true
	c.Assert(r.gapDeadline(call).Before(req.hardDeadline), qt.IsTrue)
	r.hasUnnumbered = true
	c.Assert(r.gapDeadline(call), qt.Equals, req.hardDeadline)
	r.hasUnnumbered, r.order.hasLast = false, false
	c.Assert(r.gapDeadline(call), qt.Equals, req.hardDeadline)
}

// The rest of a response that is no stream cannot be had from another server.
func TestLargeResponseOnAStreamRouteIsNotMixed(t *testing.T) {
	large := func(req *http1.Request, w io.Writer) bool {
		fmt.Fprint(w, head(req, 200, stamp, "Content-Type: text/plain"), "Content-Length: 300000\r\n\r\n")
		w.Write(make([]byte, 200_000))
		return false
	}
	servers := newLookupServers(t, inTurn(large, resumesUntil(15)))
	r := newRig(t, nil, servers...)
	p := r.dial()
	p.send("POST", "/stream/", "a", "", "Last-Event-Id: 12")
	_, err := p.read()
	r.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
	r.Assert(requestsReceived(servers), qt.Equals, 1)
}
