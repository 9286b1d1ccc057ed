package agent

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"time"

	"cresshub/internal/router/directory"
)

// The hubs are the processes that all others send their records to and follow: the members of the view, and
// the seeds as long as no view is known or no member of it can be reached.

const (
	// isolatedAfter is how long after the last answer of a hub this process counts as isolated, so that it calls
	// its seeds and some known proxies as well.
	isolatedAfter = 1500 * time.Millisecond
	// maxIsolatedContacts bounds the known proxies that an isolated process calls.
	maxIsolatedContacts = 3
)

// peerAddress returns the address at which the process of a machine listens for other processes.
func (a *Agent) peerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(a.settings.InnerPorts[0]))
}

// hubAddresses returns the IPs of the hubs, without this machine's own.
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
			proxies := d.Proxies()
			for _, proxy := range proxies[:min(len(proxies), maxIsolatedContacts)] {
				add(proxy.Address)
			}
		})
	}
	return ips
}

// isHub reports whether this process is a hub itself.
func (a *Agent) isHub() bool {
	view := a.state.currentView()
	if view.epoch == 0 {
		return slices.ContainsFunc(a.seeds(), func(seed string) bool {
			return hostOf(seed) == a.settings.IP
		})
	}
	return view.hasMember(a.settings.IP)
}

// isIsolated reports whether no hub has answered for isolatedAfter.
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
	slices.SortFunc(hubs, func(x, y *hub) int { return cmp.Compare(x.ip, y.ip) })
	return hubs
}

// hubAt returns the link to a hub, nil if there is none.
func (a *Agent) hubAt(ip string) *hub {
	a.hubsMu.Lock()
	defer a.hubsMu.Unlock()
	return a.hubs[ip]
}

// updateHubs opens links to new hubs and closes those to processes that are not hubs any more.
func (a *Agent) updateHubs() {
	wanted := a.hubAddresses()
	a.hubsMu.Lock()
	defer a.hubsMu.Unlock()
	if a.linksClosed {
		return
	}
	for ip, h := range a.hubs {
		if !slices.Contains(wanted, ip) {
			h.close()
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
		h.close()
		delete(a.hubs, ip)
	}
}
