package agentsim

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlserver"
)

// Order is a stage order that reached a server.
type Order struct {
	At     time.Duration
	From   string // IP of the machine
	Holder string // of the lease, as the order names it
	Fence  uint64 // fencing token of the lease
	Status int    // of the server's response
	Expect string // the server that the order names
}

// Orders returns the orders that have come so far.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

// Ordered reports whether the server accepted an order within a duration until now.
func (s *Server) Ordered(within time.Duration) bool {
	now := s.fleet.Now()
	return slices.ContainsFunc(s.Orders(), func(o Order) bool {
		return o.Status == http.StatusAccepted && now-o.At < within
	})
}

// listen serves stage orders and health checks until the fleet ends or the server crashes.
func (s *Server) listen() {
	listener, err := s.network.Listen(s.address())
	if err != nil {
		s.fleet.TB.Fatal(err)
	}
	s.fleet.background.Go(func() {
		<-s.fleet.done
		s.network.Kill()
	})
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
			handle := func(call *controlserver.Call) *http1.Response { return s.answer(from, call) }
			server := &controlserver.Server{MaxBodyBytes: 4096, Handler: handle}
			_ = server.Serve(&oneConnection{Listener: listener, conn: c}) // returns net.ErrClosed, always
		}
	}()
}

// oneConnection is a listener that accepts one connection and is closed then.
type oneConnection struct {
	net.Listener
	conn net.Conn
}

// Accept implements net.Listener.
func (l *oneConnection) Accept() (net.Conn, error) {
	c := l.conn
	if c == nil {
		return nil, net.ErrClosed
	}
	l.conn = nil
	return c, nil
}

// answer handles a call to the server.
func (s *Server) answer(from string, call *controlserver.Call) *http1.Response {
	if call.Method == "POST" && call.Path == "/api/order" {
		return s.takeOrder(from, call)
	}
	answer := controlserver.Text(http.StatusOK, "well")
	answer.Header = append(answer.Header, http1.Field{Name: "Cresshub-Server-Id", Value: s.ID})
	return answer
}

// takeOrder handles a stage order and records it.
func (s *Server) takeOrder(from string, call *controlserver.Call) *http1.Response {
	var body struct {
		Order, Stage, Holder string
		Fence                uint64
	}
	if json.Unmarshal(call.Body, &body) != nil || body.Holder == "" || body.Fence == 0 {
		return controlserver.Text(http.StatusBadRequest, "no holder or no fence")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	expect := call.Header.Get("Cresshub-Expect-Server")
	status := s.orderStatus(body.Stage, body.Fence)
	if expect != "" && expect != s.ID {
		status = http.StatusMisdirectedRequest
	}
	s.orders = append(s.orders, Order{s.fleet.Now(), from, body.Holder, body.Fence, status, expect})
	s.fleet.Logf("%s got an order of %s, fence %d: %d", s.ID, from, body.Fence, status)
	if status == http.StatusAccepted {
		s.switching = true
		time.AfterFunc(stageSwitch, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.stage, s.switching = body.Stage, false
		})
	}
	return controlserver.Text(status, "")
}

// orderStatus returns the status of the answer to an order. The lock is held.
func (s *Server) orderStatus(stage string, fence uint64) int {
	switch {
	case s.fleet.Options.Fenced && fence < s.fence:
		return http.StatusPreconditionFailed
	case s.switching:
		return http.StatusConflict
	}
	s.fence = max(s.fence, fence)
	if stage == s.stage {
		return http.StatusOK
	}
	return http.StatusAccepted
}

// SetStage sets the stage, as a restart of the server with it does.
func (s *Server) SetStage(stage string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stage = stage
}
