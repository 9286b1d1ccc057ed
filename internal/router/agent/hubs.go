package agent

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

const (
	// isolatedAfter is how long after the last answer of a hub this process counts as isolated, so that it calls
	// its seeds and some known proxies as well.
	isolatedAfter = 1500 * time.Millisecond
	// maxIsolatedContacts bounds the known proxies that an isolated process calls.
	maxIsolatedContacts = 3
)

// hubSet holds the links to the hubs: the processes that all others send their records to and follow. They
// are the members of the view, and the seeds as long as no view is known or no member of it can be reached.
// Each link has goroutines of its own, which run the methods of hubExchange.
//
// Its methods are safe for concurrent use, but for open. The lock guards the set, not the links in it. It may
// be taken after the locks of the subscription and the load table, and never while that of the state is held.
type hubSet struct {
	*process
	state    *state
	endpoint *transport.Endpoint
	exchange *hubExchange // set before the first link is opened, not changed later

	mu          sync.Mutex
	links       map[string]*hub // by IP
	closed      bool            // for good
	lastContact time.Duration   // when a hub last answered a ping
}

func newHubSet(p *process, state *state, endpoint *transport.Endpoint) *hubSet {
	return &hubSet{process: p, state: state, endpoint: endpoint, links: map[string]*hub{}}
}

// includesSelf reports whether this process is a hub itself.
func (s *hubSet) includesSelf() bool {
	view := s.state.currentView()
	if view.epoch == 0 {
		return slices.ContainsFunc(s.seeds(), func(seed string) bool { return hostOf(seed) == s.settings.IP })
	}
	return view.hasMember(s.settings.IP)
}

// addresses returns the IPs of the hubs, without this machine's own.
func (s *hubSet) addresses() []string {
	var ips []string
	add := func(ip string) {
		if ip != s.settings.IP && !slices.Contains(ips, ip) {
			ips = append(ips, ip)
		}
	}
	for _, member := range s.state.currentView().members {
		add(member.Address)
	}
	if len(ips) > 0 && !s.isIsolated() {
		return ips
	}
	for _, seed := range s.seeds() {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			add(ip)
		}
	}
	if s.isIsolated() {
		s.state.read(func(d *directory.Directory) {
			proxies := d.Proxies()
			for _, proxy := range proxies[:min(len(proxies), maxIsolatedContacts)] {
				add(proxy.Address)
			}
		})
	}
	return ips
}

// isIsolated reports whether no hub has answered for isolatedAfter.
func (s *hubSet) isIsolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now()-s.lastContact > isolatedAfter
}

// all returns the links to all hubs, sorted by address.
func (s *hubSet) all() []*hub {
	s.mu.Lock()
	defer s.mu.Unlock()
	hubs := make([]*hub, 0, len(s.links))
	for _, h := range s.links {
		hubs = append(hubs, h)
	}
	slices.SortFunc(hubs, func(x, y *hub) int { return cmp.Compare(x.ip, y.ip) })
	return hubs
}

// at returns the link to a hub, nil if there is none.
func (s *hubSet) at(ip string) *hub {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[ip]
}

// update opens links to new hubs and closes those to processes that are not hubs any more.
func (s *hubSet) update() {
	wanted := s.addresses()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for ip, h := range s.links {
		if !slices.Contains(wanted, ip) {
			h.close()
			delete(s.links, ip)
		}
	}
	for _, ip := range wanted {
		if s.links[ip] == nil {
			s.links[ip] = s.open(ip)
		}
	}
}

// open opens the link to a hub and starts its goroutines; the lock is held.
func (s *hubSet) open(ip string) *hub {
	h := &hub{ip: ip, stop: make(chan struct{})}
	stateChanged := make(chan struct{}, 1)
	h.link = s.endpoint.NewLink(s.peerAddress(ip), transport.LinkCallbacks{
		Hello:              s.hello,
		OnUnsolicitedFrame: func(frame peerproto.Frame) { s.exchange.handleFrame(h, frame) },
		OnStateChange: func(bool) {
			h.forgetConnection()
			select {
			case stateChanged <- struct{}{}:
			default:
			}
		},
	})
	go s.exchange.runPings(h, stateChanged)
	go s.exchange.runPushes(h)
	return h
}

// responds reports whether a machine is a hub that has answered this process within contactTimeout.
func (s *hubSet) responds(ip string) bool {
	h := s.at(ip)
	return h != nil && h.isResponsive(s.now())
}

// recordAnswer records that a hub has just answered a ping.
func (s *hubSet) recordAnswer(now time.Duration) {
	s.mu.Lock()
	s.lastContact = now
	s.mu.Unlock()
}

// learnView learns the view that another process knows. If it is a newer one, links to its members are
// opened.
func (s *hubSet) learnView(status *peerproto.Status) {
	if s.state.learnView(status.Epoch, status.Members) {
		s.update()
	}
}

// close closes the links to all hubs for good.
func (s *hubSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for ip, h := range s.links {
		h.close()
		delete(s.links, ip)
	}
}
