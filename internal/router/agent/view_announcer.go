package agent

import (
	"net"
	"slices"
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

// A process that starts knows only its seeds, and these may not know the view either: they may have no disk
// and have started at the same time. So a process that knows the view announces it to those that may not.
// Every process announces it to its seeds. Hubs announce it also to all known proxies that do not call them;
// the addresses of known proxies are persisted. A process that receives an announcement adopts the view, and
// from then on calls the members of the view.

const (
	// announceInterval is how often the due announcements are started.
	announceInterval = 100 * time.Millisecond
	announceTimeout  = 700 * time.Millisecond
	// minAnnounceBackoff is the first interval between announcements to a process that does not answer. The
	// interval doubles up to maxAnnounceBackoff, which is also the interval after an answer of a process that
	// knows a view, for as long as the process remains a target.
	minAnnounceBackoff = 100 * time.Millisecond
	maxAnnounceBackoff = 1600 * time.Millisecond
	// maxConcurrentAnnouncements bounds the announcements in flight.
	maxConcurrentAnnouncements = 16
)

// announcementTarget is a machine to which the view is announced.
type announcementTarget struct {
	inFlight  bool
	knowsView bool          // its process has answered the last announcement, and knows a view
	nextAt    time.Duration // the earliest time of the next announcement
	backoff   time.Duration
}

// viewAnnouncer announces the view to processes that may not know it. Its fields belong to the goroutine of
// run; announcements in flight send their outcomes to results.
type viewAnnouncer struct {
	*process
	state        *state
	hubs         *hubSet
	endpoint     *transport.Endpoint
	knownProxies *knownProxies
	lastSeen     *lastSeen
	status       func() *peerproto.Status // what this process announces

	targets  map[string]*announcementTarget // by IP
	results  chan announcementResult
	inFlight int
}

type announcementResult struct {
	ip        string
	knowsView bool // the process has answered, and knows a view
}

// run announces the view, as soon as one is known, until done closes.
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
			if v.state.currentView().epoch > 0 {
				v.startDue(v.targetIPs())
			}
		}
	}
}

// startDue starts the announcements that are due, and drops the targets that are no longer wanted.
func (v *viewAnnouncer) startDue(targetIPs []string) {
	now := v.now()
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

// announce announces the view to one process, and adopts the view in the answer if that is newer.
func (v *viewAnnouncer) announce(ip string) {
	body := peerproto.Encode(v.status())
	frame, err := v.endpoint.CallOnce(v.peerAddress(ip), v.hello(), peerproto.KindAnnounce, body,
		announceTimeout)
	result := announcementResult{ip: ip}
	var status peerproto.Status
	if err == nil && peerproto.Decode(frame.Body, &status) == nil {
		result.knowsView = status.Epoch > 0
		v.hubs.learnView(&status)
	}
	v.results <- result
}

// recordResult records the outcome of an announcement and schedules the next one to its target.
func (v *viewAnnouncer) recordResult(result announcementResult) {
	v.inFlight--
	target := v.targets[result.ip]
	target.inFlight = false
	target.knowsView = result.knowsView
	if result.knowsView {
		target.backoff = maxAnnounceBackoff
	}
	target.nextAt = v.now() + target.backoff
	target.backoff = min(2*target.backoff, maxAnnounceBackoff)
}

// targetIPs returns the IPs of the machines to which the view is to be announced: seeds that may not know it,
// and at a hub also the known proxies that have not called it within contactTimeout.
func (v *viewAnnouncer) targetIPs() []string {
	isHub := v.hubs.includesSelf()
	calling := v.callingAddresses()
	var ips []string
	add := func(ip string) {
		if ip != v.settings.IP && !calling[ip] && !slices.Contains(ips, ip) {
			ips = append(ips, ip)
		}
	}
	for _, seed := range v.seeds() {
		ip, _, err := net.SplitHostPort(seed)
		target := v.targets[ip]
		mayLackView := isHub || target == nil || !target.knowsView
		if err == nil && mayLackView && !v.hubs.responds(ip) {
			add(ip)
		}
	}
	if !isHub {
		return ips
	}
	for _, ip := range v.knownProxies.addresses() {
		add(ip)
	}
	return ips
}

// callingAddresses returns the IPs of the proxies that have called this process within contactTimeout.
func (v *viewAnnouncer) callingAddresses() map[string]bool {
	now := v.now()
	calling := map[string]bool{}
	v.state.read(func(d *directory.Directory) {
		for _, proxy := range d.Proxies() {
			if lastSeen, ok := v.lastSeen.get(proxy.ID); ok && now-lastSeen <= contactTimeout {
				calling[proxy.Address] = true
			}
		}
	})
	return calling
}
