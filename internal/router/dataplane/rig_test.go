package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"cresshub/internal/http1"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/stallclock"
)

// testTimeout bounds every wait of a test; no result depends on how much of it is used.
const testTimeout = 20 * time.Second

// routeTimeout is the timeout of the routes, and their targets. The timeouts that the proxy derives from them
// are longer than any wait of a test, so that a busy machine makes none of them end a call. Tests of these
// timeouts set shorter ones: useMinResponseTimeout, useMinStreamTimeout, useMinPrefillTimeout, Cresshub-Deadline-Ms.
const routeTimeout = 3 * testTimeout

// testRoute is a route of the test configuration. Its name is also the first part of its path.
type testRoute struct {
	name, kind, service string
	maxAttempts         int
	resumable           bool
}

var testRoutes = []testRoute{
	{"safe", "safe", "lookup", 3, false},
	{"unsafe", "unsafe", "lookup", 3, false},
	{"firm", "stream", "lookup", 3, false},
	{"stream", "stream", "lookup", 3, true},
	{"model", "stream", "language", 3, true},
	{"modelfirm", "stream", "language", 3, false},
	{"single", "stream", "language", 1, true},
	{"unbound", "safe", "unbound", 3, false},
}

// testConfig returns the configuration of all tests with the given limits, a JSON object.
func testConfig(limits string) string {
	var routes []string
	for _, route := range testRoutes {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"town":"h","street_prefix":"/%s/","mail_class":%q,
			"timeout_ms":%[7]d,"target_ms":%[7]d,"depot":%[4]q,"delivery_tries":%[5]d,"redeliver":%[6]t,
			"gap_aim_ms":%[7]d}`, route.name, route.name, route.kind, route.service, route.maxAttempts,
			route.resumable, routeTimeout.Milliseconds()))
	}
	return fmt.Sprintf(`{"edition":1,"routes":[%s],"depots_list":[{"name":"lookup","line_cap":100},
		{"name":"language","line_cap":100,"engine":{"bays":8,"claim_s":60}},{"name":"unbound"}],"size_limits":%s}`,
		strings.Join(routes, ","), limits)
}

const testLimits = `{"envelope_bytes":4096,"contents_bytes":200000,"envelope_ms":20000,"idle_ms":20000}`

const testSettings = `{"office":"n","ip":"127.0.0.1","size_limits":{"memory_mb":64,"fds":1000},
"counters":{},"inner_ports":[1,2],
"bounds":{"retry_ratio":0.2,"retry_window_s":10,"retry_slack":100,"grace_s":8}}`

// fakeState stands in for the agent: it holds what a Proxy asks of it and records what a Proxy reports. Its
// methods may be called from any goroutine.
type fakeState struct {
	mu        sync.Mutex
	config    *fleetconfig.Config
	table     *catalog.Table
	proxies   int
	replaced  []string
	suspected []string
}

func (s *fakeState) Config() *fleetconfig.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

func (s *fakeState) Servers() *catalog.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

func (s *fakeState) Proxies() int { return s.proxies }

func (s *fakeState) ReportReplaced(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced = append(s.replaced, server)
}

func (s *fakeState) Suspect(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspected = append(s.suspected, server)
}

func (s *fakeState) Replaced() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.replaced...)
}

// testRig is a Proxy on loopback with a fakeChooser in place of its scheduler, and the servers of a test in
// its table. Its assertions end the test.
type testRig struct {
	*qt.C
	proxy    *Proxy
	chooser  *fakeChooser
	state    *fakeState
	address  string
	listener net.Listener
}

// newRig starts a Proxy with servers, for the time of the test. Where change is not nil it alters the
// settings and the state before.
func newRig(tb testing.TB, change func(*agentsettings.Settings, *fakeState),
	servers ...*fakeServer) *testRig {
	tb.Helper()
	c := qt.New(tb)
	config, err := fleetconfig.Parse([]byte(testConfig(testLimits)))
	c.Assert(err, qt.IsNil)
	settings, err := agentsettings.Parse([]byte(testSettings))
	c.Assert(err, qt.IsNil)
	state := &fakeState{config: config, proxies: 1, table: tableOf(servers)}
	if change != nil {
		change(settings, state)
	}
	clock := stallclock.New(nil)
	rig := &testRig{C: c, state: state, proxy: New(settings, state, clock, zerolog.Nop()),
		chooser: newFakeChooser()}
	rig.proxy.chooser.inner = rig.chooser
	rig.proxy.started = rig.proxy.started.Add(-time.Minute) // past the delay of the shared slack
	rig.proxy.prefillTimes.record("language", testTimeout)  // no prefill times out
	rig.listener, err = net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	rig.address = rig.listener.Addr().String()
	served, done, clockEnded := make(chan error, 1), make(chan struct{}), make(chan struct{})
	go func() { served <- rig.proxy.Serve(rig.listener) }()
	go func() {
		defer close(clockEnded)
		clock.Run(done)
	}()
	c.Cleanup(func() {
		close(done)
		<-clockEnded
		rig.listener.Close()
		c.Check(<-served, qt.IsNil)
	})
	return rig
}

// withRetrySlack is a change for newRig: the retries of a window that all proxies together may make besides
// their share of the requests.
func withRetrySlack(repeats float64) func(*agentsettings.Settings, *fakeState) {
	return func(settings *agentsettings.Settings, _ *fakeState) { settings.Bounds.RetrySlack = repeats }
}

// shortTarget is a target from which the minimum of a timeout follows.
const shortTarget = 300 * time.Millisecond

// useMinResponseTimeout has calls of a route time out after minResponseTimeout. The time in which a connection
// has to open is short, too: where a busy machine misses it another server is called instead.
func (r *testRig) useMinResponseTimeout(route string) { r.route(route).LatencyTarget = shortTarget }

// useMinStreamTimeout has streams of a route time out after minStreamTimeout.
func (r *testRig) useMinStreamTimeout(route string) { r.route(route).GapTarget = shortTarget }

// route returns the configuration of a route, which a test may change between requests.
func (r *testRig) route(name string) *fleetconfig.Route {
	return r.state.config.Match("h", "/"+name+"/")
}

// useMinPrefillTimeout has prefill time out after minPrefillTimeout, as where its usual time is not known.
func (r *testRig) useMinPrefillTimeout() { r.proxy.prefillTimes = newPrefillTimes() }

// tableOf returns a table of these servers.
func tableOf(servers []*fakeServer) *catalog.Table {
	var all []*catalog.Server
	for _, server := range servers {
		all = append(all, server.Server)
	}
	return catalog.NewTable(all)
}

// awaitCallsEnded waits until every call has ended and checks that each ended once.
func (r *testRig) awaitCallsEnded() {
	r.Helper()
	r.eventually("each call ends once", r.chooser.allCallsEndedOnce)
}

// eventually waits until holds returns true, for what happens on other goroutines; after testTimeout it fails
// the test with the description what.
func (r *testRig) eventually(what string, holds func() bool) {
	r.Helper()
	for end := time.Now().Add(testTimeout); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			r.Fatalf("never: %s", what)
		}
	}
}

// retryUntilReceived sends a request with a short deadline until one has reached a server: on a busy machine its
// time may be over before, which is answered 503, and it is sent again with twice the time. A 503 that comes
// long before the deadline is no excuse, and left to the caller. send returns the status of the response.
func (r *testRig) retryUntilReceived(deadline time.Duration, servers []*fakeServer,
	send func(deadline time.Duration) int) {
	r.Helper()
	r.eventually("a request reaches a server in its time", func() bool {
		began := time.Now()
		status := send(deadline)
		early := time.Since(began) < deadline/4
		deadline *= 2
		return status != 503 || early || requestsReceived(servers) > 0
	})
}

// testClient is a client of the Proxy with one connection, on which it sends requests and reads responses. It
// is used by one goroutine at a time.
type testClient struct {
	net.Conn
	in *bufio.Reader
	*qt.C
}

// dial connects a client for the time of the test; its reads and writes end after testTimeout.
func (r *testRig) dial() *testClient {
	conn, err := net.Dial("tcp", r.address)
	r.Assert(err, qt.IsNil)
	conn.SetDeadline(time.Now().Add(testTimeout))
	r.Cleanup(func() { conn.Close() })
	return &testClient{Conn: conn, in: bufio.NewReader(conn), C: r.C}
}

// connect opens a new connection; it returns false where nobody listens.
func (c *testClient) connect(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	c.Conn, c.in = conn, bufio.NewReader(conn)
	return true
}

// send writes a request of the attempt id, with further fields; a body has a Content-Length.
func (c *testClient) send(method, target, id, body string, fields ...string) {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: %s\r\n", method, target, id)
	for _, f := range fields {
		text += f + "\r\n"
	}
	if body != "" || method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := io.WriteString(c, text+"\r\n"+body)
	c.Assert(err, qt.IsNil)
}

// read reads one response. It returns nil and an error where no head arrived, and what arrived of the body
// with an error where it was truncated.
func (c *testClient) read() (*http1.Response, error) {
	head, body, err := http1.ReadResponseHead(c.in, "GET")
	if err != nil {
		return nil, err
	}
	head.Body, err = io.ReadAll(body)
	if err == nil && !body.Complete() {
		err = io.ErrUnexpectedEOF
	}
	return head, err
}

// do sends a request and returns its response, which has to be complete.
func (c *testClient) do(method, target, id, body string, fields ...string) *http1.Response {
	c.Helper()
	c.send(method, target, id, body, fields...)
	response, err := c.read()
	c.Assert(err, qt.IsNil)
	return response
}

// post writes a POST request with a body, on a route.
func (c *testClient) post(route, id, body string) {
	fmt.Fprintf(c, "POST /%s/ HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: %s\r\n%s%s", route, id,
		contentLength(body), body)
}
