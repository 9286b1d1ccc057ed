package agent

import (
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
func (n *Node) peerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(n.settings.InnerPorts[0]))
}

// hubAddresses returns the IPs of the hubs but for this machine's own.
func (n *Node) hubAddresses() []string {
	var ips []string
	add := func(ip string) {
		if ip != n.settings.IP && !slices.Contains(ips, ip) {
			ips = append(ips, ip)
		}
	}
	for _, member := range n.state.currentView().members {
		add(member.Address)
	}
	if len(ips) > 0 && !n.isIsolated() {
		return ips
	}
	for _, seed := range n.seeds() {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			add(ip)
		}
	}
	if n.isIsolated() {
		n.state.read(func(d *directory.Directory) {
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
func (n *Node) isHub() bool {
	view := n.state.currentView()
	if view.epoch == 0 {
		return slices.ContainsFunc(n.seeds(), func(seed string) bool {
			ip, _, _ := net.SplitHostPort(seed)
			return ip == n.settings.IP
		})
	}
	return view.hasMember(n.settings.IP)
}

// isIsolated tells whether no hub has answered for long.
func (n *Node) isIsolated() bool {
	n.hubsMu.Lock()
	defer n.hubsMu.Unlock()
	return n.now()-n.lastHubContact > isolatedAfter
}

// currentHubs returns the links to all hubs, sorted by address.
func (n *Node) currentHubs() []*hub {
	n.hubsMu.Lock()
	defer n.hubsMu.Unlock()
	hubs := make([]*hub, 0, len(n.hubs))
	for _, h := range n.hubs {
		hubs = append(hubs, h)
	}
	slices.SortFunc(hubs, func(a, b *hub) int { return compareText(a.ip, b.ip) })
	return hubs
}

// hubAt returns the link to a hub, nil where there is none.
func (n *Node) hubAt(ip string) *hub {
	n.hubsMu.Lock()
	defer n.hubsMu.Unlock()
	return n.hubs[ip]
}

// updateHubs opens links to new hubs and closes those to processes that are hubs no more.
func (n *Node) updateHubs() {
	wanted := n.hubAddresses()
	n.hubsMu.Lock()
	defer n.hubsMu.Unlock()
	if n.linksClosed {
		return
	}
	for ip, h := range n.hubs {
		if !slices.Contains(wanted, ip) {
			close(h.stop)
			h.link.Stop()
			delete(n.hubs, ip)
		}
	}
	for _, ip := range wanted {
		if n.hubs[ip] == nil {
			n.hubs[ip] = n.newHub(ip)
		}
	}
}

// closeLinks closes the links to all hubs for good.
func (n *Node) closeLinks() {
	n.hubsMu.Lock()
	defer n.hubsMu.Unlock()
	n.linksClosed = true
	for ip, h := range n.hubs {
		close(h.stop)
		h.link.Stop()
		delete(n.hubs, ip)
	}
}
