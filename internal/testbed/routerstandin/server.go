package routerstandin

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/testbed/connserver"
)

const (
	// idleTimeout is how long an idle connection is kept; Keep-Alive tells it in whole seconds.
	idleTimeout = 5 * time.Second
	// writeTimeout bounds how long a caller may take to let an answer in.
	writeTimeout = 5 * time.Second
	// maxBodyBytes bounds the body of a request, in bytes.
	maxBodyBytes = 1 << 20
)

// ServerOptions describe a server. Without an Engine it is an application server.
type ServerOptions struct {
	Service     string
	Address     string // IP:port where it listens; port 0 for any
	Zone        string
	Version     string
	Slots       int // requests that it runs at a time
	Queue       int // requests that may wait for a slot
	MaxConns    int // connections of all callers together
	HealthPath  string
	ReportsLoad bool
	WorkTime    time.Duration // of a request to an application server
	Engine      *Engine

	HeartbeatInterval time.Duration   // between heartbeats
	ControlAddresses  func() []string // the control addresses as the operator's list has them now
	Observations      *Observations
	// DropResponse reports whether the fleet's next response to the server is dropped; nil for never.
	DropResponse func() bool
}

// Engine describes what a model server does.
type Engine struct {
	Stage          string
	PrefillPace    float64       // prompt tokens per ms
	EventInterval  time.Duration // between the events of a stream
	TokensPerEvent int           // tokens of an event
	TransferTime   time.Duration // of a prompt's prefix cache from one server to another
	HandleTTL      time.Duration
	SwitchTime     time.Duration // from the end of the last run to the new stage
	CacheTokens    int           // capacity of the prefix cache, as reported
}

// Server is one incarnation of a server.
type Server struct {
	options  ServerOptions
	id       string
	listener *connserver.Listener
	slots    *slotQueue
	ended    chan struct{} // closed when the process ends
	endOnce  sync.Once

	heartbeatNow chan struct{} // asks for a heartbeat now
	drainAcked   chan struct{} // closed when its drain was acknowledged
	deregister   chan struct{} // closed when it is to deregister

	heartbeats sync.WaitGroup
	engine     *engineState
	tally      serverTally

	mu       sync.Mutex
	draining bool
	ack      drainAck // of its drain
	postmark int64    // of the last heartbeat

	misbehaviour       Misbehaviour
	misbehavedFraction float64 // of the requests
}

// ServerTally is what a server has done.
type ServerTally struct {
	ID             string `json:"id"`
	Service        string `json:"service"`
	Zone           string `json:"zone"`
	Stage          string `json:"stage,omitempty"`
	Arrivals       int    `json:"arrivals"` // calls other than health checks
	Prefills       int    `json:"reads"`    // prefills for another server
	Runs           int    `json:"runs"`
	Rejected       int    `json:"rejected"` // with Cresshub-Not-Run
	Aborted        int    `json:"broken"`   // runs that it did not finish
	ExpiredHandles int    `json:"handles_lapsed"`
}

type serverTally struct {
	mu            sync.Mutex
	nonIdempotent int // requests in progress that must run once
	ServerTally
}

func (t *serverTally) count(change func(*ServerTally)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.ServerTally)
}

func (t *serverTally) addNonIdempotent(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nonIdempotent += n
}

// StartServer starts a server that listens and sends heartbeats.
func StartServer(options ServerOptions) (*Server, error) {
	s := &Server{options: options, id: newServerID(), slots: newSlotQueue(options.Slots, options.Queue),
		ended: make(chan struct{}), heartbeatNow: make(chan struct{}, 1), drainAcked: make(chan struct{}),
		deregister: make(chan struct{})}
	s.tally.ID, s.tally.Service, s.tally.Zone = s.id, options.Service, options.Zone
	if options.Engine != nil {
		s.engine = newEngineState(s, options.Engine)
	}
	var err error
	if s.listener, err = connserver.Listen(options.Address, options.MaxConns, s.serve); err != nil {
		return nil, err
	}
	s.heartbeats.Add(1)
	go func() {
		defer s.heartbeats.Done()
		s.heartbeatLoop()
	}()
	return s, nil
}

func newServerID() string {
	var random [4]byte
	rand.Read(random[:])
	return "i-" + hex.EncodeToString(random[:])
}

// ID is the id of the incarnation.
func (s *Server) ID() string { return s.id }

// Address is where it listens.
func (s *Server) Address() string { return s.listener.Address() }

// Options returns what the server was started with, for a next incarnation at the same address.
func (s *Server) Options() ServerOptions {
	options := s.options
	options.Address = s.Address()
	return options
}

// AtAnyPort returns options for another server at the same IP, at a port that the system chooses.
func (o ServerOptions) AtAnyPort() ServerOptions {
	o.Address = net.JoinHostPort(hostOf(o.Address), "0")
	return o
}

// Tally returns what it has done so far.
func (s *Server) Tally() ServerTally {
	s.tally.mu.Lock()
	defer s.tally.mu.Unlock()
	tally := s.tally.ServerTally
	if s.engine != nil {
		tally.Stage = s.engine.currentStage()
	}
	return tally
}

// RunsNonIdempotent reports whether the server is at work on a request that must run once.
func (s *Server) RunsNonIdempotent() bool {
	s.tally.mu.Lock()
	defer s.tally.mu.Unlock()
	return s.tally.nonIdempotent > 0
}

// Crash ends the server at once, as when its process is killed: callers see a reset.
func (s *Server) Crash() { s.end(true) }

// Stop ends the server when the trial is over.
func (s *Server) Stop() { s.end(false) }

func (s *Server) end(reset bool) {
	s.endOnce.Do(func() { close(s.ended) })
	s.listener.Close(reset)
	s.heartbeats.Wait()
}

// drainAck is the acknowledgement of a drain; the zero value is none.
type drainAck struct {
	at      time.Time
	machine string // IP of the one that gave it
}

func (a drainAck) acknowledged() bool { return !a.at.IsZero() }

// drainAck returns the acknowledgement of its drain, if it has come.
func (s *Server) drainAck() drainAck {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ack
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// serve answers the requests of one connection in turn.
func (s *Server) serve(conn *connbuffer.Conn) {
	for {
		conn.SetReadDeadline(time.Now().Add(idleTimeout))
		request, err := readRequest(conn)
		if err != nil {
			return
		}
		x := newExchange(s, conn, request)
		x.watchCaller()
		x.handle()
		x.stopWatching()
		if x.closesConn || request.Close {
			return
		}
	}
}

func readRequest(conn *connbuffer.Conn) (*http1.Request, error) {
	request, body, err := http1.ReadRequestHead(conn.In)
	if err != nil {
		return nil, err
	}
	request.Body, err = io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err == nil && !body.Complete() {
		err = io.ErrShortBuffer
	}
	return request, err
}

// handle answers a request by its path.
func (x *exchange) handle() {
	s, request := x.server, x.request
	path, _, _ := strings.Cut(request.Target, "?")
	switch {
	case x.misdirected():
		x.reject(421, notRunReason("this is server "+s.id))
	case request.Method == "GET" && path == s.options.HealthPath:
		x.health()
	case s.engine != nil && request.Method == "GET" && path == reportPath:
		x.report()
	case s.engine != nil && request.Method == "POST" && path == orderPath:
		x.order()
	case s.engine != nil && request.Method == "DELETE" && strings.HasPrefix(path, handlePath):
		x.releaseHandle(strings.TrimPrefix(path, handlePath))
	default:
		x.run()
	}
}

// misdirected reports whether the request is meant for another incarnation.
func (x *exchange) misdirected() bool {
	expected := x.request.Header.Get(expectHeader)
	return expected != "" && expected != x.server.id
}

// health answers a health check: it waits for a slot as a request does.
func (x *exchange) health() {
	if x.server.isDraining() {
		x.answer(503, field(serverIDHeader, x.server.id))
		return
	}
	if reason := x.acquireSlot(); reason != admitted {
		x.reject(503, reason)
		return
	}
	defer x.server.slots.release()
	x.answer(200, field(serverIDHeader, x.server.id))
}

// run answers a client's request that the router forwarded.
func (x *exchange) run() {
	x.server.tally.count(func(t *ServerTally) { t.Arrivals++ })
	if x.request.Header.Get(attemptIDHeader) == "" {
		x.reject(400, reasonNoID)
		return
	}
	if x.arrival = x.server.options.Observations.recordArrival(x.server, x.request); x.arrival == nil {
		x.reject(400, reasonUnknownID)
		return
	}
	defer x.server.options.Observations.recordWorkEnded(x.arrival)
	if x.server.engine != nil {
		x.runModel()
		return
	}
	x.runApplication()
}

// hostOf returns the IP of an address.
func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}
