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

// streamHead returns the head of a stream with that server stamp.
func streamHead(req *http1.Request, stamp string) string {
	return responseHead(req, 200, "Cresshub-Server-Stamp: "+stamp, "Content-Type: text/event-stream",
		"Transfer-Encoding: chunked") + "\r\n"
}

// streamChunks responds with a stream of these chunks. It truncates the stream if complete is false.
func streamChunks(stamp string, complete bool, chunks ...string) handler {
	return func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, stamp))
		for _, text := range chunks {
			io.WriteString(w, chunk(text))
		}
		if complete {
			io.WriteString(w, "0\r\n\r\n")
		}
		return complete
	}
}

// resumesUntil responds with the events after Last-Event-Id, up to the one with the id last.
func resumesUntil(last int) handler {
	return func(req *http1.Request, w io.Writer) bool {
		from := parseCount(req.Header.Get(lastEventHeader)) + 1
		return streamEvents(from, last, true)(req, w)
	}
}

func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	next := make(chan bool)
	server := newFakeServer(t, "i-1", "lookup", "", func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "s"))
		for id := 1; id <= 3; id++ {
			io.WriteString(w, chunk(eventText(id)))
			<-next
		}
		io.WriteString(w, "0\r\n\r\n")
		return true
	})
	rig := newRig(t, nil, server)
	client := rig.dial()
	client.send("POST", "/stream/", "a", "")
	response, body, err := http1.ReadResponseHead(client.in, "POST")
	rig.Assert(err, qt.IsNil)
	rig.Assert(response.Header.Get(stampHeader), qt.Equals, "s")
	for id := 1; id <= 3; id++ {
		got := make([]byte, len(eventText(id)))
		_, err := io.ReadFull(body, got)
		rig.Assert(err, qt.IsNil)
		rig.Assert(string(got), qt.Equals, eventText(id)) // before the server sends more
		next <- true
	}
	_, err = body.Read(make([]byte, 1))
	rig.Assert(err, qt.Equals, io.EOF)
	rig.awaitCallsEnded()
	rig.Assert(rig.chooser.firstEvents, qt.Equals, 1)
}

func TestStreamIsResumedAtAnotherServer(t *testing.T) {
	const half = "id: 3\ndata: pie"
	for _, test := range []struct {
		name     string
		handlers []handler
		body     string
		calls    int
	}{
		{"truncated between events",
			[]handler{streamChunks("first", false, eventText(1), eventText(2)), resumesUntil(5)},
			eventsText(1, 5), 2},
		{"truncated within an event",
			[]handler{streamChunks("first", false, eventText(1), eventText(2)+half), resumesUntil(5)},
			eventsText(1, 5), 2},
		{"truncated twice",
			[]handler{streamChunks("first", false, eventText(1)), streamChunks("second", false, eventText(2)),
				resumesUntil(4)},
			eventsText(1, 4), 3},
		{"the next server is full",
			[]handler{streamChunks("first", false, eventText(1)), rejectFull, resumesUntil(4)},
			eventsText(1, 4), 3},
		{"the next server restarts from the first event",
			[]handler{streamChunks("first", false, eventText(1), eventText(2)), streamEvents(1, 4, true)},
			eventsText(1, 4), 2},
		{"no event was missing",
			[]handler{streamChunks("first", false, eventText(1)), streamChunks("second", true)},
			eventsText(1, 1), 2},
		{"nonsense", []handler{func(req *http1.Request, w io.Writer) bool {
			io.WriteString(w, streamHead(req, "first")+chunk(eventText(1))+"no chunk\r\n")
			return false
		}, resumesUntil(4)}, eventsText(1, 4), 2},
		{"a line before an id", []handler{streamChunks("first", false, "versions: 1\n"+eventText(1)),
			streamChunks("second", true, "versions: 2\n"+eventText(2))},
			"versions: 1\n" + eventText(1) + "versions: 2\n" + eventText(2), 2},
		{"comments between", []handler{streamChunks("first", false, eventText(1), ": idle\n\n"), resumesUntil(2)},
			eventText(1) + ": idle\n\n" + eventText(2), 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			servers := newLookupServers(t, inTurn(test.handlers...))
			rig := newRig(t, nil, servers...)
			response := rig.dial().do("POST", "/stream/", "a", "same")
			rig.Assert(string(response.Body), qt.Equals, test.body)
			rig.Assert(response.Header.Get(stampHeader), qt.Equals, "first")
			rig.Assert(requestsReceived(servers), qt.Equals, test.calls)
			rig.awaitCallsEnded()
			for _, server := range servers[1:] {
				for _, req := range server.got() {
					rig.Assert(req.Header.Get(lastEventHeader), qt.Not(qt.Equals), "")
					rig.Assert(req.Header.Get(tryIDHeader), qt.Equals, "a")
					rig.Assert(string(req.Body), qt.Equals, "same")
				}
			}
			rig.Assert(rig.proxy.Stats().Retries, qt.Equals, int64(test.calls-1))
		})
	}
}

func TestStreamsThatCannotBeResumedAreTruncated(t *testing.T) {
	first := streamChunks("first", false, eventText(1), eventText(2))
	for _, test := range []struct {
		name, route string
		retrySlack  float64
		handlers    []handler
		body        string
		calls       int
	}{
		{"firm route", "firm", 100, []handler{first, resumesUntil(5)}, eventsText(1, 2), 1},
		{"no retry left", "stream", 0, []handler{first, resumesUntil(5)}, eventsText(1, 2), 1},
		{"no server left", "stream", 100, []handler{first, rejectFull, rejectFull, resumesUntil(5)},
			eventsText(1, 2), 3},
		{"events missing", "stream", 100, []handler{first, streamEvents(4, 5, true)}, eventsText(1, 2), 3},
		{"another kind of response", "stream", 100, []handler{first, respondOK("all of it")}, eventsText(1, 2), 3},
		{"no id to resume from", "stream", 100, []handler{streamChunks("first", false, "data: x\n\n"),
			resumesUntil(5)},
			"data: x\n\n", 1},
		{"an event without an id", "stream", 100,
			[]handler{streamChunks("first", false, eventText(1), "data: x\n\n"), resumesUntil(5)},
			eventText(1) + "data: x\n\n", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			servers := newLookupServers(t, inTurn(test.handlers...))
			rig := newRig(t, withRetrySlack(test.retrySlack), servers...)
			client := rig.dial()
			client.send("POST", "/"+test.route+"/", "a", "")
			response, err := client.read()
			rig.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
			rig.Assert(string(response.Body), qt.Equals, test.body)
			rig.Assert(requestsReceived(servers), qt.Equals, test.calls)
			rig.awaitCallsEnded()
			rig.Assert(rig.proxy.Stats().Truncated, qt.Equals, int64(1))
		})
	}
}

func TestStalledStreamIsResumedOrTruncated(t *testing.T) {
	ended := make(chan string, 9)
	silent := func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "first")+chunk(eventText(1)))
		return neverAnswer(ended)(req, w)
	}
	for _, test := range []struct {
		route    string
		deadline string
		err      error
		body     string
	}{
		{"stream", "15000", nil, eventsText(1, 3)},
		{"firm", "3000", io.ErrUnexpectedEOF, eventText(1)},
	} {
		t.Run(test.route, func(t *testing.T) {
			t.Parallel()
			servers := newLookupServers(t, inTurn(silent, resumesUntil(3)))
			rig := newRig(t, nil, servers...)
			rig.useMinStreamTimeout(test.route)
			client := rig.dial()
			client.send("POST", "/"+test.route+"/", "a", "", "Cresshub-Deadline-Ms: "+test.deadline)
			response, err := client.read()
			rig.Assert(err, qt.Equals, test.err)
			rig.Assert(string(response.Body), qt.Equals, test.body)
			<-ended
			rig.awaitCallsEnded()
			rig.Assert(rig.chooser.outcomes()[0], qt.Equals, scheduler.TimedOut)
		})
	}
}

func TestClientResumesStream(t *testing.T) {
	servers := newLookupServers(t, inTurn(func(req *http1.Request, w io.Writer) bool {
		from := parseCount(req.Header.Get(lastEventHeader)) + 1
		return streamEvents(from, from+1, false)(req, w)
	}, resumesUntil(16)))
	rig := newRig(t, nil, servers...)
	response := rig.dial().do("POST", "/stream/", "a", "", "Last-Event-Id: 12")
	rig.Assert(string(response.Body), qt.Equals, eventsText(13, 16))
	rig.Assert(servers[0].got()[0].Header.Get(lastEventHeader), qt.Equals, "12")
	rig.Assert(servers[1].got()[0].Header.Get(lastEventHeader), qt.Equals, "14")
	rig.Assert(servers[1].got()[0].Header.Repeated(lastEventHeader), qt.Equals, "")
}

func TestStreamWithContentLengthIsForwarded(t *testing.T) {
	all := eventsText(1, 3) + "id: 4\ndata: without a blank line"
	server := newFakeServer(t, "i-1", "lookup", "", func(req *http1.Request, w io.Writer) bool {
		fmt.Fprint(w, responseHead(req, 200, stamp, "Content-Type: text/event-stream; charset=utf-8"),
			contentLength(all), all)
		return true
	})
	rig := newRig(t, nil, server)
	client := rig.dial()
	rig.Assert(string(client.do("GET", "/stream/", "a", "").Body), qt.Equals, all)
	io.WriteString(client, "GET /stream/ HTTP/1.0\r\nHost: h\r\nCresshub-Try-Id: b\r\n\r\n")
	response, err := client.read()
	rig.Assert(err, qt.IsNil)
	rig.Assert(string(response.Body), qt.Equals, all)
}

func TestEventsInManySmallChunksArriveComplete(t *testing.T) {
	server := newFakeServer(t, "i-1", "lookup", "", func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "s"))
		text := eventsText(1, 200)
		for at := 0; at < len(text); at += 7 {
			io.WriteString(w, chunk(text[at:min(at+7, len(text))]))
		}
		io.WriteString(w, "0\r\n\r\n")
		return true
	})
	rig := newRig(t, nil, server)
	client := rig.dial()
	for id := range 3 {
		rig.Assert(string(client.do("POST", "/firm/", strconv.Itoa(id), "").Body), qt.Equals, eventsText(1, 200))
	}
}

func TestTooLargeEventFailsTheRequest(t *testing.T) {
	huge := make([]byte, maxEventBytes+bufferSize+1)
	for i := range huge {
		huge[i] = 'x'
	}
	server := newFakeServer(t, "i-1", "lookup", "", streamChunks("s", true, string(huge)))
	rig := newRig(t, nil, server)
	rig.Assert(rig.dial().do("POST", "/firm/", "a", "").Status, qt.Equals, 502)
}

// An incomplete response that is delimited only by the end of the connection ends with a reset, even if the
// client's next request has arrived.
func TestHTTP10ClientSeesThatItsStreamWasTruncated(t *testing.T) {
	const request = "GET /firm/ HTTP/1.0\r\nHost: h\r\nCresshub-Try-Id: b\r\n\r\n"
	for _, sent := range []string{request, request + request} {
		next := make(chan bool)
		server := newFakeServer(t, "i-1", "lookup", "", func(req *http1.Request, w io.Writer) bool {
			io.WriteString(w, streamHead(req, "s")+chunk(eventText(1)))
			<-next
			return false
		})
		rig := newRig(t, nil, server)
		client := rig.dial()
		io.WriteString(client, sent)
		_, body, err := http1.ReadResponseHead(client.in, "GET")
		rig.Assert(err, qt.IsNil)
		got := make([]byte, len(eventText(1)))
		_, err = io.ReadFull(body, got)
		rig.Assert(err, qt.IsNil)
		close(next)
		_, err = body.Read(got)
		rig.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
	}
}

// The timeout for a stalled server must not end a stream that no other server could resume.
func TestTimeoutEndsOnlyResumableStreams(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	req := &request{hardDeadline: now.Add(time.Minute), route: &fleetconfig.Route{Kind: fleetconfig.Stream}}
	call := &call{roundTrip: &roundTrip{request: req}}
	r := &relay{request: req, started: true, replaceable: true, order: eventOrder{lastIDKnown: true}}
	c.Assert(r.gapDeadline(call), qt.Equals, req.hardDeadline)
	req.route.Resumable = true
	c.Assert(r.gapDeadline(call).Before(req.hardDeadline), qt.IsTrue)
	r.hasDataWithoutID = true
	c.Assert(r.gapDeadline(call), qt.Equals, req.hardDeadline)
	r.hasDataWithoutID, r.order.lastIDKnown = false, false
	c.Assert(r.gapDeadline(call), qt.Equals, req.hardDeadline)
}

// No other server can send the rest of a response that is not a stream.
func TestLargeResponseOnStreamRouteIsNotResumed(t *testing.T) {
	large := func(req *http1.Request, w io.Writer) bool {
		fmt.Fprint(w, responseHead(req, 200, stamp, "Content-Type: text/plain"), "Content-Length: 300000\r\n\r\n")
		w.Write(make([]byte, 200_000))
		return false
	}
	servers := newLookupServers(t, inTurn(large, resumesUntil(15)))
	rig := newRig(t, nil, servers...)
	client := rig.dial()
	client.send("POST", "/stream/", "a", "", "Last-Event-Id: 12")
	_, err := client.read()
	rig.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
	rig.Assert(requestsReceived(servers), qt.Equals, 1)
}

// TestModelVersionsAreForwarded checks that the version of a server's weights is forwarded in the head and at
// the event where it changes, and that the client has the head of the first server after a resumption.
func TestModelVersionsAreForwarded(t *testing.T) {
	begins := func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, responseHead(req, 200, stamp, "Versions: 7", "Content-Type: text/event-stream",
			"Transfer-Encoding: chunked")+"\r\n"+chunk(eventText(1))+chunk("versions: 8\n"+eventText(2)))
		return false
	}
	servers := newLookupServers(t, inTurn(begins, streamChunks("second", true, eventText(3))))
	rig := newRig(t, nil, servers...)
	response := rig.dial().do("POST", "/stream/", "a", "")
	rig.Assert(response.Header.Get("Versions"), qt.Equals, "7")
	rig.Assert(string(response.Body), qt.Equals, eventText(1)+"versions: 8\n"+eventText(2)+eventText(3))
}
