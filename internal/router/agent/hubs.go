package agent

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"time"

	"cresshub/internal/router/directory"
)

// The hubs are the processes that all others report to and follow: those that keep the control state, and the
// seeds until a view of the control state is known or while none of its members can be reached.

// isolatedAfter is how long no hub answers until any known process will do.
const isolatedAfter = 1500 * time.Millisecond

// peerAddress returns where the process of a machine takes calls of others.
func (a *Agent) peerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(a.settings.InnerPorts[0]))
}

// hubAddresses returns the IPs of the hubs but for this machine's own.
func (a *Agent) hubAddresses() []string {
	var ips []string
	add := func(ip string) {
		if ip != a.settings.IP && !slices.Contains(ips, ip) {
			ips = append(ips, ip)
		}
	}
	for _, member := range a.state.currentView().members {
		add(member.Address)
	}
	if len(ips) > 0 && !a.isIsolated() {
		return ips
	}
	for _, seed := range a.seeds() {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			add(ip)
		}
	}
	if a.isIsolated() {
		a.state.read(func(d *directory.Directory) {
			for i, proxy := range d.Proxies() {
				if i < 3 {
					add(proxy.Address)
				}
			}
		})
	}
	return ips
}

// isHub tells whether this process is one that others report to.
func (a *Agent) isHub() bool {
	view := a.state.currentView()
	if view.epoch == 0 {
		return slices.ContainsFunc(a.seeds(), func(seed string) bool {
			ip, _, _ := net.SplitHostPort(seed)
			return ip == a.settings.IP
		})
	}
	return view.hasMember(a.settings.IP)
}

// isIsolated tells whether no hub has answered for long.
func (a *Agent) isIsolated() bool {
	a.hubsMu.Lock()
	defer a.hubsMu.Unlock()
	return a.now()-a.lastHubContact > isolatedAfter
}

// currentHubs returns the links to all hubs, sorted by address.
func (a *Agent) currentHubs() []*hub {
	a.hubsMu.Lock()
	defer a.hubsMu.Unlock()
	hubs := make([]*hub, 0, len(a.hubs))
	for _, h := range a.hubs {
		hubs = append(hubs, h)
	}
	slices.SortFunc(hubs, func(a, b *hub) int { return cmp.Compare(a.ip, b.ip) })
	return hubs
}

// hubAt returns the link to a hub, nil where there is none.
func (a *Agent) hubAt(ip string) *hub {
	a.hubsMu.Lock()
	defer a.hubsMu.Unlock()
	return a.hubs[ip]
}

// updateHubs opens links to new hubs and closes those to processes that are hubs no more.
func (a *Agent) updateHubs() {
	wanted := a.hubAddresses()
	a.hubsMu.Lock()
	defer a.hubsMu.Unlock()
	if a.linksClosed {
		return
	}
	for ip, h := range a.hubs {
		if !slices.Contains(wanted, ip) {
			close(h.stop)
			h.link.Stop()
			delete(a.hubs, ip)
		}
	}
	for _, ip := range wanted {
		if a.hubs[ip] == nil {
			a.hubs[ip] = a.newHub(ip)
		}
	}
}

// closeLinks closes the links to all hubs for good.
func (a *Agent) closeLinks() {
	a.hubsMu.Lock()
	defer a.hubsMu.Unlock()
	a.linksClosed = true
	for ip, h := range a.hubs {
		close(h.stop)
		h.link.Stop()
		delete(a.hubs, ip)
	}
}
