package routerstandin

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/controlserver"
	"cresshub/internal/router/fleetconfig"
)

// patience bounds every wait of a test; no verdict depends on how much of it is used.
const patience = 20 * time.Second

const testHost = "h.example"

// The kinds of the tests. Their targets and deadlines are those of a process that may be stalled for seconds.
var (
	safeKind = &Kind{Name: "safe", Host: testHost, Prefix: "/safe/", Class: fleetconfig.Safe,
		LatencyTarget: patience, Deadline: patience, BodyBytes: 100}
	unsafeKind = &Kind{Name: "unsafe", Host: testHost, Prefix: "/unsafe/", Class: fleetconfig.Unsafe,
		LatencyTarget: patience, Deadline: patience, BodyBytes: 100}
	onceOnlyStreamKind = &Kind{Name: "firm", Host: testHost, Prefix: "/firm/", Class: fleetconfig.Stream,
		LatencyTarget: patience, GapTarget: patience, Deadline: patience, OwnTokens: 10, OutputTokens: 7}
	resumableStreamKind = &Kind{Name: "resumable", Host: testHost, Prefix: "/resumable/",
		Class: fleetconfig.Stream, Resumable: true, LatencyTarget: patience, GapTarget: patience,
		Deadline: patience, Retries: 1, OwnTokens: 10, OutputTokens: 7}
	testKinds = []*Kind{safeKind, unsafeKind, onceOnlyStreamKind, resumableStreamKind}
)

// testBounds has short bounds where a test waits until they have passed, and long ones where a violation must
// not depend on how fast this process runs.
var testBounds = Bounds{
	Bounds: agentsettings.Bounds{Drain: 20 * time.Millisecond, Config: 20 * time.Millisecond, Lost: time.Second,
		Grace: time.Minute, Ack: time.Minute, RetryRatio: 0.1, RetryWindow: time.Minute, RetrySlack: 4,
		Lease: time.Minute, Fenced: true},
	Recovery: time.Millisecond,
}

// testWorld is a small deployment of servers, a client and an operator around one proxy, in this process. Its
// assertions end the test.
type testWorld struct {
	*qt.C
	observations  *Observations
	operator      *Operator
	control       *fakeControl
	proxy         *fakeProxy
	client        *Client
	prefillServer *Server
	decodeServer  *Server
	lookup        *Server
	other         *Server // of a service that no route names
	number        int     // of the last request
}

// newTestWorld starts a deployment, with testDocument in force, for the time of the test.
func newTestWorld(t *testing.T) *testWorld {
	t.Helper()
	world := &testWorld{C: qt.New(t), observations: NewObservations(testBounds)}
	world.control = newFakeControl(world.C)
	world.operator = NewOperator(world.control.addresses, world.observations)
	world.prefillServer = world.server("model", StagePrefill)
	world.decodeServer = world.server("model", StageDecode)
	world.lookup = world.server("lookup", "")
	world.other = world.server("other", "")
	world.proxy = newFakeProxy(world)
	entry := NewEntry([]Proxy{world.proxy.asProxy()})
	world.client = NewClient(1, "", entry, world.observations)
	world.Cleanup(world.client.Close)
	world.Assert(world.operator.Put(world.timeoutContext(), testDocument(1)), qt.IsNil)
	return world
}

// testDocument is a configuration with a route for each kind.
func testDocument(version int64, more ...RouteDoc) *Document {
	document := &Document{Version: version}
	for _, kind := range testKinds {
		service := "lookup"
		if kind.isStream() {
			service = "model"
		}
		document.Routes = append(document.Routes, RouteOf(kind, service, 2))
	}
	document.Routes = append(document.Routes, more...)
	for _, name := range []string{"lookup", "model", "other"} {
		document.Services = append(document.Services, ServiceDoc{Name: name})
	}
	return document
}

// server starts a server of a service; with a stage it has an engine in that stage.
func (w *testWorld) server(service, stage string) *Server {
	options := ServerOptions{Service: service, Address: "127.0.0.1:0", Slots: 4, Queue: 2, HealthPath: "/health",
		ReportsLoad: true, WorkTime: time.Millisecond, HeartbeatInterval: 20 * time.Millisecond,
		ControlAddresses: w.control.addresses,
		Observations:     w.observations}
	if stage != "" {
		options.Engine = &Engine{Stage: stage, PrefillPace: 100, EventInterval: time.Millisecond, TokensPerEvent: 2,
			HandleTTL: time.Minute, SwitchTime: time.Millisecond}
	}
	server, err := StartServer(options)
	w.Assert(err, qt.IsNil)
	w.Cleanup(server.Stop)
	return server
}

// timeoutContext returns a context that ends after patience.
func (w *testWorld) timeoutContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	w.Cleanup(cancel)
	return ctx
}

// do sends a request of a kind through the proxy.
func (w *testWorld) do(kind *Kind) Result {
	w.number++
	return w.client.Do(w.timeoutContext(), NewRequest(kind, w.number))
}

// eventually waits until holds returns true, for what happens on other goroutines; after patience it fails
// the test with the description what.
func (w *testWorld) eventually(what string, holds func() bool) {
	w.Helper()
	for end := time.Now().Add(patience); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			w.Fatalf("never: %s", what)
		}
	}
}

// waitUntil waits until a moment has passed.
func (w *testWorld) waitUntil(moment time.Time) {
	w.eventually("the time passes", func() bool { return time.Now().After(moment) })
}

// brokenRules returns the rules that were broken.
func (w *testWorld) brokenRules() []Rule {
	var rules []Rule
	for _, verdict := range w.observations.Judge() {
		if verdict.Violations > 0 {
			rules = append(rules, verdict.Rule)
			w.Logf("%s broken %d times: %s", verdict.Rule, verdict.Violations, strings.Join(verdict.Details, "; "))
		}
	}
	return rules
}

// fakeControl takes the calls of servers and operators, and answers them by a handler that a test may change.
type fakeControl struct {
	address string
	mu      sync.Mutex
	calls   []*controlserver.Call
	config  []byte // that was last sent
	answer  controlserver.Handler
}

// newFakeControl starts a control service for the time of the test.
func newFakeControl(c *qt.C) *fakeControl {
	control := &fakeControl{}
	control.address = listenFor(c, control.handle)
	return control
}

// listenFor answers calls on loopback until the test ends.
func listenFor(c *qt.C, handle controlserver.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	served := make(chan struct{})
	go func() {
		defer close(served)
		(&controlserver.Server{MaxBodyBytes: 1 << 20, Handler: handle}).Serve(listener)
	}()
	c.Cleanup(func() {
		listener.Close()
		<-served
	})
	return listener.Addr().String()
}

func (f *fakeControl) addresses() []string { return []string{f.address} }

func (f *fakeControl) handle(call *controlserver.Call) *http1.Response {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
	switch {
	case f.answer != nil:
		return f.answer(call)
	case call.Path == configPath && call.Method == "PUT":
		f.config = call.Body
	case call.Path == configPath:
		return controlserver.JSON(200, f.config)
	}
	return controlserver.JSON(200, []byte("{}"))
}

// set has a handler answer all further calls.
func (f *fakeControl) set(answer controlserver.Handler) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer = answer
}

// got returns the calls whose method and path begin so.
func (f *fakeControl) got(prefix string) []*controlserver.Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	var calls []*controlserver.Call
	for _, call := range f.calls {
		if strings.HasPrefix(fmt.Sprint(call.Method, " ", call.Path), prefix) {
			calls = append(calls, call)
		}
	}
	return calls
}
