package agent

import (
	"net"
	"slices"
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

// A process that starts knows only its seeds, and these may know as little as itself: they may have no disk
// and have started at the same moment. So whoever knows the view seeks out those who may not. Every process
// introduces itself to its seeds once it knows a view. Members introduce themselves, besides, to all proxies
// that were known before and that do not call; their addresses are kept on disk. Whoever is introduced to
// learns the view, and from then on calls the members.

const (
	announceInterval = 100 * time.Millisecond
	announceTimeout  = 700 * time.Millisecond
	// minAnnounceBackoff and maxAnnounceBackoff are the pauses between two introductions to a process that does
	// not answer, at first and at last; the second also follows an answer where the process does not call.
	minAnnounceBackoff = 100 * time.Millisecond
	maxAnnounceBackoff = 1600 * time.Millisecond
	// maxConcurrentAnnouncements bounds the introductions that are under way.
	maxConcurrentAnnouncements = 16
)

// announcementTarget is how far this process has introduced itself to one address.
type announcementTarget struct {
	inFlight bool
	answered bool // by a process that knows a view now
	nextAt   time.Duration
	backoff  time.Duration
}

// viewAnnouncer introduces a process to others. Its fields are of the goroutine that runs it, but for
// results.
type viewAnnouncer struct {
	node     *Node
	targets  map[string]*announcementTarget // by IP
	results  chan announcementResult
	inFlight int
}

// announcementResult is how one introduction ended.
type announcementResult struct {
	ip       string
	answered bool
}

func newViewAnnouncer(n *Node) *viewAnnouncer {
	return &viewAnnouncer{node: n, targets: map[string]*announcementTarget{},
		results: make(chan announcementResult, maxConcurrentAnnouncements)}
}

// run introduces the process to whoever may need it, until done closes.
func (v *viewAnnouncer) run(done <-chan struct{}) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case result := <-v.results:
			v.recordResult(result)
		case <-ticker.C:
			if v.node.state.currentView().epoch > 0 {
				v.startDue(v.targetIPs())
			}
		}
	}
}

// startDue starts the introductions that are due.
func (v *viewAnnouncer) startDue(targetIPs []string) {
	now := v.node.now()
	for ip, target := range v.targets {
		if !target.inFlight && !slices.Contains(targetIPs, ip) {
			delete(v.targets, ip)
		}
	}
	for _, ip := range targetIPs {
		target := v.targets[ip]
		if target == nil {
			target = &announcementTarget{backoff: minAnnounceBackoff}
			v.targets[ip] = target
		}
		if target.inFlight || now < target.nextAt || v.inFlight >= maxConcurrentAnnouncements {
			continue
		}
		target.inFlight = true
		v.inFlight++
		go v.announce(ip)
	}
}

// announce tells one process the view.
func (v *viewAnnouncer) announce(ip string) {
	n := v.node
	hello := peerproto.Encode(&peerproto.Hello{ID: n.id})
	body := peerproto.Encode(n.status())
	frame, err := n.endpoint.CallOnce(n.peerAddress(ip), hello, peerproto.KindAnnounce, body, announceTimeout)
	result := announcementResult{ip: ip}
	var status peerproto.Status
	if err == nil && peerproto.Decode(frame.Body, &status) == nil {
		result.answered = status.Epoch > 0
		n.learnStatusView(&status)
	}
	v.results <- result
}

// recordResult notes how an introduction ended.
func (v *viewAnnouncer) recordResult(result announcementResult) {
	v.inFlight--
	target := v.targets[result.ip]
	target.inFlight = false
	target.answered = result.answered
	if result.answered {
		target.backoff = maxAnnounceBackoff
	}
	target.nextAt = v.node.now() + target.backoff
	target.backoff = min(2*target.backoff, maxAnnounceBackoff)
}

// targetIPs returns the IPs of the machines to which this process is to introduce itself.
func (v *viewAnnouncer) targetIPs() []string {
	n := v.node
	isHub := n.isHub()
	calling := n.callingAddresses()
	var ips []string
	add := func(ip string) {
		if ip != n.settings.IP && !calling[ip] && !slices.Contains(ips, ip) {
			ips = append(ips, ip)
		}
	}
	for _, seed := range n.seeds() {
		ip, _, err := net.SplitHostPort(seed)
		target := v.targets[ip]
		unsure := isHub || target == nil || !target.answered
		if err == nil && unsure && !n.hubAnswers(ip) {
			add(ip)
		}
	}
	if !isHub {
		return ips
	}
	for _, ip := range n.knownProxies.addresses() {
		add(ip)
	}
	return ips
}

// hubAnswers tells whether a machine is a hub that has answered this process lately.
func (n *Node) hubAnswers(ip string) bool {
	h := n.hubAt(ip)
	return h != nil && h.isResponsive(n.now())
}

// callingAddresses returns the machines whose processes have called this one lately.
func (n *Node) callingAddresses() map[string]bool {
	now := n.now()
	calling := map[string]bool{}
	n.state.read(func(d *directory.Directory) {
		for _, proxy := range d.Proxies() {
			if lastSeen, ok := n.lastSeenAt(proxy.ID); ok && now-lastSeen <= contactTimeout {
				calling[proxy.Address] = true
			}
		}
	})
	return calling
}

// learnStatusView takes in the view that another process told, and calls its members where it is news.
func (n *Node) learnStatusView(status *peerproto.Status) {
	if n.state.learnView(status.Epoch, status.Members) {
		n.updateHubs()
	}
}
