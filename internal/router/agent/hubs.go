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
	// isolationTimeout is how long after the last answer of a hub this process counts as isolated. It then
	// also opens links to its seeds and some of the proxies in its directory.
	isolationTimeout = 1500 * time.Millisecond
	// maxContactsWhenIsolated bounds the proxies of the directory to which an isolated process opens links.
	maxContactsWhenIsolated = 3
)

// hubSet holds the links to the hubs: the processes to which all others send their records and whose feeds
// they follow. The hubs are the members of the view; the seeds are added while no view is known or no hub
// answers. Each link has goroutines of its own, which run the methods of hubExchange.
//
// Its methods are safe for concurrent use, except open. The lock guards the set, not the links in it. It may
// be taken after the locks of the subscription and the load table, and never while that of the state is held.
type hubSet struct {
	*process
	state    *state
	endpoint *transport.Endpoint
	exchange *hubExchange // set before the first link is opened, not changed later

	mu           sync.Mutex
	links        map[string]*hub // by IP
	closed       bool            // no more links are opened
	lastAnswerAt time.Duration   // when a hub last answered a ping
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

// addresses returns the IPs to which this process keeps links, without this machine's own: those of the
// members of the view, of the seeds if there are no other members or this process is isolated, and in the
// latter case also of some proxies of the directory.
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
			for _, proxy := range proxies[:min(len(proxies), maxContactsWhenIsolated)] {
				add(proxy.Address)
			}
		})
	}
	return ips
}

// isIsolated reports whether no hub has answered a ping within isolationTimeout.
func (s *hubSet) isIsolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now()-s.lastAnswerAt > isolationTimeout
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

// get returns the link to the hub at an IP, nil if there is none.
func (s *hubSet) get(ip string) *hub {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[ip]
}

// update opens the links that are missing and closes those to machines that are no longer in addresses.
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
			h.resetConnectionState()
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

// responds reports whether there is a link to a machine, and it has answered a ping within contactTimeout.
func (s *hubSet) responds(ip string) bool {
	h := s.get(ip)
	return h != nil && h.isResponsive(s.now())
}

// recordAnswer records the time at which a hub answered a ping.
func (s *hubSet) recordAnswer(now time.Duration) {
	s.mu.Lock()
	s.lastAnswerAt = now
	s.mu.Unlock()
}

// learnView adopts the view in another process's status if it is newer than the known one, and then opens
// links to its members.
func (s *hubSet) learnView(status *peerproto.Status) {
	if s.state.learnView(status.Epoch, status.Members) {
		s.update()
	}
}

// close closes the links to all hubs and prevents new ones.
func (s *hubSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for ip, h := range s.links {
		h.close()
		delete(s.links, ip)
	}
}
