package agentsim

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"cresshub/internal/router/controlclient"
	"cresshub/internal/simulation/simnet"
)

const (
	serverPort = 80
	// callTimeout is after what time without an answer servers and operators call the next machine.
	callTimeout = time.Second
	// retryInterval is the time between two attempts to send one heartbeat.
	retryInterval = 100 * time.Millisecond
	// stageSwitch is how long a server takes to switch its stage.
	stageSwitch  = 1500 * time.Millisecond
	serverSlots  = 16
	prefillStage = "reading"
)

// serverState is the state of a server.
type serverState int

const (
	stateServing serverState = iota
	stateDraining
	stateEnded // it has sent DELETE or has crashed
)

// Server is a simulated server of the one service.
type Server struct {
	ID   string
	IP   string
	Zone string
	// Alternate has the server ignore forward_to, so that each heartbeat goes to another machine.
	Alternate bool

	fleet    *Fleet
	network  *simnet.Process
	stop     chan struct{}
	stopOnce sync.Once

	mu         sync.Mutex // guards what follows
	random     *rand.Rand
	state      serverState
	sequence   int64         // of the newest heartbeat
	forward    string        // control address that an answer named for the next call, or ""
	ackedBy    string        // control address that acknowledged last
	lastAcked  time.Time     // when that was
	firstAcked time.Time     // when a heartbeat was acknowledged for the first time
	longestGap time.Duration // between two acknowledgements
	stage      string        // "" in a fleet without stages
	switching  bool          // an accepted order is being carried out
	fence      uint64        // the highest observed
	orders     []Order       // all that have come
}

// AddServer starts a server, whose first heartbeat goes to the control address named, if any.
func (f *Fleet) AddServer(id string, first ...string) *Server {
	number := len(f.Servers)
	s := &Server{ID: id, IP: fmt.Sprintf("10.1.%d.%d", number/200, number%200+1),
		Zone: fmt.Sprintf("zone-%d", number%zoneCount), fleet: f, stop: make(chan struct{}),
		random: rand.New(rand.NewSource(f.Random.Int63()))}
	s.network = f.Network.Host(s.IP).NewProcess()
	if f.Options.Stages {
		s.stage = prefillStage
	}
	s.listen()
	if len(first) > 0 {
		s.forward = first[0]
	}
	f.mu.Lock()
	f.Servers = append(f.Servers, s)
	f.mu.Unlock()
	f.background.Go(s.run)
	return s
}

// Serving reports whether the server sends heartbeats and takes new requests.
func (s *Server) Serving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == stateServing
}

// ReportTo has the next heartbeats go to a machine, as an answer with forward_to does.
func (s *Server) ReportTo(m *Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forward = m.Control()
}

// announcedState returns the state in heartbeats, "" once there are none.
func (s *Server) announcedState() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return [...]string{stateServing: "ready", stateDraining: "draining", stateEnded: ""}[s.state]
}

// AckedBy returns the control address that acknowledged the last heartbeat.
func (s *Server) AckedBy() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ackedBy
}

// LongestGap returns the longest time between two acknowledgements so far.
func (s *Server) LongestGap() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longestGap
}

// serverByID returns a server, nil if there is none of that id.
func (f *Fleet) serverByID(id string) *Server {
	for _, s := range f.allServers() {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// servingIDs returns the ids of the servers that serve, sorted.
func (f *Fleet) servingIDs() []string {
	var ids []string
	for _, s := range f.Servers {
		if s.Serving() {
			ids = append(ids, s.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// run sends heartbeats until the server or the fleet ends.
func (s *Server) run() {
	time.Sleep(s.randomUpTo(HeartbeatInterval))
	for {
		if state := s.announcedState(); state != "" {
			s.sendHeartbeat(s.heartbeat(state))
		}
		select {
		case <-s.fleet.done:
			return
		case <-s.stop:
			return
		case <-time.After(HeartbeatInterval - HeartbeatInterval/20 + s.randomUpTo(HeartbeatInterval/10)):
		}
	}
}

// randomUpTo draws a duration below a bound.
func (s *Server) randomUpTo(bound time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int63n(int64(bound)))
}

func (s *Server) address() string { return fmt.Sprintf("%s:%d", s.IP, serverPort) }

// Crash ends the server without notice.
func (s *Server) Crash() {
	s.mu.Lock()
	s.state = stateEnded
	s.mu.Unlock()
	s.network.Kill()
	s.stopOnce.Do(func() { close(s.stop) })
}

// Drain announces the drain to machines, those named first, and reports whether that was acknowledged.
func (s *Server) Drain(first ...string) bool {
	s.mu.Lock()
	s.state = stateDraining
	s.mu.Unlock()
	return s.sendHeartbeat(s.heartbeat("draining"), first...)
}

// Delete announces the end to machines, those named first, and reports whether that was acknowledged.
func (s *Server) Delete(first ...string) bool {
	s.mu.Lock()
	s.state = stateEnded
	s.mu.Unlock()
	return s.callAny(controlclient.Call{Method: "DELETE", Target: "/api/servers/" + s.ID}, first)
}
