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

// routeTimeout is the timeout of the routes, and their latency and gap targets. The timeouts that the proxy
// derives from them are longer than any wait of a test, so that none of them ends a call on a busy machine.
// Tests of these timeouts set shorter ones, by useMinResponseTimeout, useMinStreamTimeout,
// useMinPrefillTimeout or Cresshub-Deadline-Ms.
const routeTimeout = 3 * testTimeout

// testRoute is a route of the test configuration. Its name is also the first segment of its path.
type testRoute struct {
	name, kind, service string
	maxAttempts         int
	resumable           bool
}

// testRoutes are the routes of the test configuration. Streams of "firm" and "modelfirm" cannot be resumed,
// so their requests must not run twice. "single" allows one attempt, and the service of "unbound" has no
// limit of connections.
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

// testConfig returns the test configuration with the given limits, which are a JSON object.
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

// fakeState is a State that returns fixed values and records the reports of a Proxy. Its methods may be
// called from any goroutine.
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

// testRig is a Proxy that listens on loopback, with a fakeChooser in place of its scheduler and the servers
// of a test in its table. Its assertions end the test.
type testRig struct {
	*qt.C
	proxy    *Proxy
	chooser  *fakeChooser
	state    *fakeState
	address  string
	listener net.Listener
}

// newRig starts a Proxy with the servers, and stops it at the end of the test. Unless change is nil, it is
// called to modify the settings and the state first.
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
	rig.proxy.started = rig.proxy.started.Add(-time.Minute) // the shared slack may be used already
	rig.proxy.prefillTimes.record("language", testTimeout)  // no prefill call times out
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

// withRetrySlack returns a change for newRig that sets the retry slack: how many retries per window all
// proxies together may make in addition to a fraction of the requests.
func withRetrySlack(retries float64) func(*agentsettings.Settings, *fakeState) {
	return func(settings *agentsettings.Settings, _ *fakeState) { settings.Bounds.RetrySlack = retries }
}

// shortTarget is a latency or gap target so short that the timeouts derived from it have their minimum.
const shortTarget = 300 * time.Millisecond

// useMinResponseTimeout makes calls of a route time out after minResponseTimeout. This also shortens the dial
// timeout: if a dial times out on a busy machine, another server is called instead.
func (r *testRig) useMinResponseTimeout(route string) { r.route(route).LatencyTarget = shortTarget }

// useMinStreamTimeout makes streams of a route time out after a pause of minStreamTimeout.
func (r *testRig) useMinStreamTimeout(route string) { r.route(route).GapTarget = shortTarget }

// route returns the configuration of a route, which a test may change between requests.
func (r *testRig) route(name string) *fleetconfig.Route {
	return r.state.config.Match("h", "/"+name+"/")
}

// useMinPrefillTimeout makes prefill calls time out after minPrefillTimeout, by forgetting how long they
// take.
func (r *testRig) useMinPrefillTimeout() { r.proxy.prefillTimes = newPrefillTimes() }

// tableOf returns a table of the servers.
func tableOf(servers []*fakeServer) *catalog.Table {
	var all []*catalog.Server
	for _, server := range servers {
		all = append(all, server.Server)
	}
	return catalog.NewTable(all)
}

// awaitCallsEnded waits until every call has ended exactly once.
func (r *testRig) awaitCallsEnded() {
	r.Helper()
	r.eventually("each call has ended once", r.chooser.allCallsEndedOnce)
}

// eventually waits until condition returns true, for effects of other goroutines. After testTimeout it fails
// the test with the description of the condition.
func (r *testRig) eventually(description string, condition func() bool) {
	r.Helper()
	for end := time.Now().Add(testTimeout); !condition(); runtime.Gosched() {
		if time.Now().After(end) {
			r.Fatalf("timed out waiting until %s", description)
		}
	}
}

// retryUntilReceived calls send, which sends a request with that deadline and returns the status of its
// response, until a request has reached a server. On a busy machine a short deadline may pass before, which
// is answered 503; the request is then sent again with twice the time. A 503 that comes long before the
// deadline has another cause and is left to the caller.
func (r *testRig) retryUntilReceived(deadline time.Duration, servers []*fakeServer,
	send func(deadline time.Duration) int) {
	r.Helper()
	r.eventually("a request has reached a server before its deadline", func() bool {
		began := time.Now()
		status := send(deadline)
		early := time.Since(began) < deadline/4
		deadline *= 2
		return status != 503 || early || requestsReceived(servers) > 0
	})
}

// testClient is a client of the Proxy with one connection, on which it sends requests and reads responses. It
// must be used by one goroutine at a time.
type testClient struct {
	net.Conn
	in *bufio.Reader
	*qt.C
}

// dial connects a client until the end of the test. Its reads and writes time out after testTimeout.
func (r *testRig) dial() *testClient {
	conn, err := net.Dial("tcp", r.address)
	r.Assert(err, qt.IsNil)
	conn.SetDeadline(time.Now().Add(testTimeout))
	r.Cleanup(func() { conn.Close() })
	return &testClient{Conn: conn, in: bufio.NewReader(conn), C: r.C}
}

// connect opens a new connection. It returns false if that fails.
func (c *testClient) connect(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	c.Conn, c.in = conn, bufio.NewReader(conn)
	return true
}

// send writes a request with id as its Cresshub-Try-Id and further fields. A body has a Content-Length.
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

// read reads one response. If no head arrives, it returns nil and an error. If the body is truncated, it
// returns the received part of the body and an error.
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

// do sends a request and returns its response, which must be complete.
func (c *testClient) do(method, target, id, body string, fields ...string) *http1.Response {
	c.Helper()
	c.send(method, target, id, body, fields...)
	response, err := c.read()
	c.Assert(err, qt.IsNil)
	return response
}

// post writes a POST request with a body to a route. Unlike send, it ignores a write error.
func (c *testClient) post(route, id, body string) {
	fmt.Fprintf(c, "POST /%s/ HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: %s\r\n%s%s", route, id,
		contentLength(body), body)
}
