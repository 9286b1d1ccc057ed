package nodesim

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"slices"
	"sync"
	"time"

	"cresshub/internal/callclient"
	"cresshub/internal/callserver"
	"cresshub/internal/http1"
	"cresshub/internal/simnet"
)

const (
	serverPort = 80
	// callTimeout is after what silence servers and operators call the next machine.
	callTimeout = time.Second
	// retryPause is between two calls of one heartbeat.
	retryPause = 100 * time.Millisecond
	// stageSwitch is how long a server takes to change its stage.
	stageSwitch = 1500 * time.Millisecond
	serverSlots = 16
	reading     = "reading"
)

// serverState is how far a server is with its life.
type serverState int

const (
	serving serverState = iota
	drainingState
	gone // has sent DELETE or has died
)

// Server is a simulated server of the one service.
type Server struct {
	ID   string
	IP   string
	Zone string
	// Alternate lets the server ignore forward_to, so that each heartbeat goes to another machine.
	Alternate bool

	fleet   *Fleet
	network *simnet.Process
	end     chan struct{}
	ended   sync.Once

	mu         sync.Mutex
	random     *rand.Rand
	state      serverState
	postmark   int64
	forward    string
	caller     string    // control address that acknowledged last
	heardAt    time.Time // when
	firstHeard time.Time // when a heartbeat was acknowledged for the first time
	longestGap time.Duration
	stage      string
	switching  bool
	fence      uint64 // the highest seen
	orders     []Order
}

// Order is a stage order that reached a server.
type Order struct {
	At     time.Duration
	From   string // IP of the machine
	Holder string
	Fence  uint64
	Status int
}

// heartbeat is the body of a heartbeat.
type heartbeat struct {
	Service  string `json:"depot"`
	Address  string `json:"address"`
	Zone     string `json:"district"`
	Version  string `json:"edition"`
	Slots    int    `json:"bays"`
	State    string `json:"state"`
	Stage    string `json:"stage,omitempty"`
	Postmark int64  `json:"postmark"`
}

// AddServer starts a server, whose first heartbeat goes to the control address named, if any.
func (f *Fleet) AddServer(id string, first ...string) *Server {
	number := len(f.Servers)
	s := &Server{ID: id, IP: fmt.Sprintf("10.1.%d.%d", number/200, number%200+1),
		Zone: fmt.Sprintf("zone-%d", number%zoneCount), fleet: f, end: make(chan struct{}),
		random: rand.New(rand.NewSource(f.Random.Int63()))}
	s.network = f.Network.Host(s.IP).NewProcess()
	if f.Options.Stages {
		s.stage = reading
	}
	s.listen()
	if len(first) > 0 {
		s.forward = first[0]
	}
	f.mu.Lock()
	f.Servers = append(f.Servers, s)
	f.mu.Unlock()
	f.others.Go(s.run)
	return s
}

// Calls tells whether the server sends heartbeats as one that wants requests.
func (s *Server) Calls() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == serving
}

// ReportTo has the next heartbeats go to a machine as if an answer had named it.
func (s *Server) ReportTo(m *Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forward = m.Control()
}

// told returns the state that heartbeats tell, "" once there are none.
func (s *Server) told() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return [...]string{serving: "ready", drainingState: "draining", gone: ""}[s.state]
}

// Caller returns the control address that acknowledged the last heartbeat.
func (s *Server) Caller() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.caller
}

// LongestGap returns the longest time between two acknowledgements so far.
func (s *Server) LongestGap() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longestGap
}

// Orders returns the orders that have come so far.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

// Ordered tells whether the server took an order within a time until now.
func (s *Server) Ordered(within time.Duration) bool {
	now := s.fleet.Now()
	return slices.ContainsFunc(s.Orders(), func(o Order) bool { return o.Status == 202 && now-o.At < within })
}

func (f *Fleet) serverByID(id string) *Server {
	for _, s := range f.allServers() {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// callingServers returns the ids of the servers that are to get requests, sorted.
func (f *Fleet) callingServers() []string {
	var ids []string
	for _, s := range f.Servers {
		if s.Calls() {
			ids = append(ids, s.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

func (s *Server) run() {
	time.Sleep(s.draw(Beat))
	for {
		if state := s.told(); state != "" {
			s.beat(s.heartbeat(state))
		}
		select {
		case <-s.fleet.over:
			return
		case <-s.end:
			return
		case <-time.After(Beat - Beat/20 + s.draw(Beat/10)):
		}
	}
}

// draw returns a random time up to a bound.
func (s *Server) draw(most time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int63n(int64(most)))
}

// heartbeat returns the next heartbeat.
func (s *Server) heartbeat(state string) *heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.postmark++
	return &heartbeat{Service: serviceName, Address: s.address(), Zone: s.Zone, Version: "v1",
		Slots: serverSlots, State: state, Stage: s.stage, Postmark: s.postmark}
}

func (s *Server) address() string { return fmt.Sprintf("%s:%d", s.IP, serverPort) }

// beat sends a heartbeat to machine after machine until one acknowledges it, and tells whether one did
// before the next heartbeat is due.
func (s *Server) beat(h *heartbeat, first ...string) bool {
	body, err := json.Marshal(h)
	if err != nil {
		s.fleet.TB.Error(err)
		return false
	}
	return s.tell(callclient.Call{Method: "PUT", Target: "/api/servers/" + s.ID, Body: body}, first)
}

// tell makes a call at machine after machine, those named first, until one acknowledges it.
func (s *Server) tell(call callclient.Call, first []string) bool {
	targets := slices.Clone(first)
	s.mu.Lock()
	if s.forward != "" && !s.Alternate {
		targets = append(targets, s.forward)
	}
	s.mu.Unlock()
	machines := s.fleet.allMachines()
	s.mu.Lock()
	order := s.random.Perm(len(machines))
	s.mu.Unlock()
	for _, i := range order {
		targets = append(targets, machines[i].Control())
	}
	for _, target := range targets {
		if s.call(target, call) {
			return true
		}
		time.Sleep(retryPause)
	}
	return false
}

func (s *Server) call(target string, call callclient.Call) bool {
	answer, err := callFrom(s.network, target, call)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || answer.Status/100 != 2 {
		if target == s.forward {
			s.forward = ""
		}
		return false
	}
	var told struct {
		Forward string `json:"forward_to"`
	}
	if json.Unmarshal(answer.Body, &told) == nil && told.Forward != "" {
		s.forward = told.Forward
	}
	now := time.Now()
	if !s.heardAt.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.heardAt))
	}
	if s.firstHeard.IsZero() {
		s.firstHeard = now
	}
	s.caller, s.heardAt = target, now
	return true
}

// known tells whether heartbeats were acknowledged for so long.
func (s *Server) known(long time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.firstHeard.IsZero() && time.Since(s.firstHeard) > long
}

// callFrom makes a call as a process of the network, within callTimeout.
func callFrom(process *simnet.Process, target string, call callclient.Call) (*http1.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	dial := func(_ context.Context, address string) (net.Conn, error) {
		return process.Dial(address, callTimeout)
	}
	return callclient.DoOver(ctx, dial, target, call)
}

// Crash ends the server without a word.
func (s *Server) Crash() {
	s.mu.Lock()
	s.state = gone
	s.mu.Unlock()
	s.network.Kill()
	s.ended.Do(func() { close(s.end) })
}

// Drain says draining at machines, those named first, and tells whether that was acknowledged.
func (s *Server) Drain(first ...string) bool {
	s.mu.Lock()
	s.state = drainingState
	s.mu.Unlock()
	return s.beat(s.heartbeat("draining"), first...)
}

// Delete says that the server ends, at machines, those named first, and tells whether that was acknowledged.
func (s *Server) Delete(first ...string) bool {
	s.mu.Lock()
	s.state = gone
	s.mu.Unlock()
	return s.tell(callclient.Call{Method: "DELETE", Target: "/api/servers/" + s.ID}, first)
}

// Late is a heartbeat that is long on its way.
type Late struct{ heartbeat *heartbeat }

// SendLate returns a heartbeat that arrives only when it is delivered.
func (s *Server) SendLate() Late { return Late{s.heartbeat("ready")} }

// Deliver has a late heartbeat arrive at a machine, and tells whether it was acknowledged.
func (s *Server) Deliver(late Late, m *Machine) bool { return s.beat(late.heartbeat, m.Control()) }

// listen takes orders and answers health checks.
func (s *Server) listen() {
	listener, err := s.network.Listen(s.address())
	if err != nil {
		s.fleet.TB.Fatal(err)
	}
	s.fleet.others.Go(func() {
		<-s.fleet.over
		s.network.Kill()
	})
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
			handle := func(call *callserver.Call) *http1.Response { return s.answer(from, call) }
			server := &callserver.Server{MaxBody: 4096, Handle: handle}
			server.Serve(&oneConnection{Listener: listener, conn: c})
		}
	}()
}

// oneConnection is a listener that accepts one connection.
type oneConnection struct {
	net.Listener
	conn net.Conn
}

// Accept implements net.Listener.
func (l *oneConnection) Accept() (net.Conn, error) {
	c := l.conn
	if c == nil {
		return nil, io.EOF
	}
	l.conn = nil
	return c, nil
}

// answer answers a call of another machine.
func (s *Server) answer(from string, call *callserver.Call) *http1.Response {
	if call.Method == "POST" && call.Path == "/api/order" {
		return s.takeOrder(from, call)
	}
	answer := callserver.Text(200, "well")
	answer.Header = append(answer.Header, http1.Field{Name: "Cresshub-Server-Id", Value: s.ID})
	return answer
}

func (s *Server) takeOrder(from string, call *callserver.Call) *http1.Response {
	var body struct {
		Order, Stage, Holder string
		Fence                uint64
	}
	if json.Unmarshal(call.Body, &body) != nil || body.Holder == "" || body.Fence == 0 {
		return callserver.Text(400, "no holder or no fence")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.judge(body.Stage, body.Fence)
	s.orders = append(s.orders, Order{s.fleet.Now(), from, body.Holder, body.Fence, status})
	s.fleet.Note("%s got an order of %s, fence %d: %d", s.ID, from, body.Fence, status)
	if status == 202 {
		s.switching = true
		time.AfterFunc(stageSwitch, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.stage, s.switching = body.Stage, false
		})
	}
	return callserver.Text(status, "")
}

// judge returns the status for an order; the lock is held.
func (s *Server) judge(stage string, fence uint64) int {
	switch {
	case s.fleet.Options.Fenced && fence < s.fence:
		return 412
	case s.switching:
		return 409
	}
	s.fence = max(s.fence, fence)
	if stage == s.stage {
		return 200
	}
	return 202
}

// SetStage gives the server a stage as if it had been restarted with it.
func (s *Server) SetStage(stage string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stage = stage
}
