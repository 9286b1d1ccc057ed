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

// introduction is how far this process has introduced itself to one address.
type announcementTarget struct {
	inFlight bool
	answered bool // by a process that knows a view now
	nextAt   time.Duration
	backoff  time.Duration
}

// introducer introduces a process to others. Its fields are of the goroutine that runs it, but for results.
type viewAnnouncer struct {
	agent    *Agent
	targets  map[string]*announcementTarget // by IP
	results  chan announcementResult
	inFlight int
}

// announcementResult is how one introduction ended.
type announcementResult struct {
	ip       string
	answered bool
}

func newViewAnnouncer(a *Agent) *viewAnnouncer {
	return &viewAnnouncer{agent: a, targets: map[string]*announcementTarget{},
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
			if v.agent.state.currentView().epoch > 0 {
				v.startDue(v.targetIPs())
			}
		}
	}
}

// begin starts the introductions that are due.
func (v *viewAnnouncer) startDue(targetIPs []string) {
	now := v.agent.now()
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

// introduce tells one process the view.
func (v *viewAnnouncer) announce(ip string) {
	a := v.agent
	body := peerproto.Encode(a.status())
	frame, err := a.endpoint.CallOnce(a.peerAddress(ip), a.hello(), peerproto.KindAnnounce, body, announceTimeout)
	result := announcementResult{ip: ip}
	var status peerproto.Status
	if err == nil && peerproto.Decode(frame.Body, &status) == nil {
		result.answered = status.Epoch > 0
		a.learnStatusView(&status)
	}
	v.results <- result
}

// finish notes how an introduction ended.
func (v *viewAnnouncer) recordResult(result announcementResult) {
	v.inFlight--
	target := v.targets[result.ip]
	target.inFlight = false
	target.answered = result.answered
	if result.answered {
		target.backoff = maxAnnounceBackoff
	}
	target.nextAt = v.agent.now() + target.backoff
	target.backoff = min(2*target.backoff, maxAnnounceBackoff)
}

// wanted returns the IPs of the machines to which this process is to introduce itself.
func (v *viewAnnouncer) targetIPs() []string {
	a := v.agent
	isHub := a.isHub()
	calling := a.callingAddresses()
	var ips []string
	add := func(ip string) {
		if ip != a.settings.IP && !calling[ip] && !slices.Contains(ips, ip) {
			ips = append(ips, ip)
		}
	}
	for _, seed := range a.seeds() {
		ip, _, err := net.SplitHostPort(seed)
		target := v.targets[ip]
		unsure := isHub || target == nil || !target.answered
		if err == nil && unsure && !a.hubAnswers(ip) {
			add(ip)
		}
	}
	if !isHub {
		return ips
	}
	for _, ip := range a.knownProxies.addresses() {
		add(ip)
	}
	return ips
}

// hubAnswers tells whether a machine is a hub that has answered this process lately.
func (a *Agent) hubAnswers(ip string) bool {
	h := a.hubAt(ip)
	return h != nil && h.isResponsive(a.now())
}

// callingAddresses returns the machines whose processes have called this one lately.
func (a *Agent) callingAddresses() map[string]bool {
	now := a.now()
	calling := map[string]bool{}
	a.state.read(func(d *directory.Directory) {
		for _, proxy := range d.Proxies() {
			if lastSeen, ok := a.lastSeen.of(proxy.ID); ok && now-lastSeen <= contactTimeout {
				calling[proxy.Address] = true
			}
		}
	})
	return calling
}

// learnStatusView takes in the view that another process told, and calls its members where it is news.
func (a *Agent) learnStatusView(status *peerproto.Status) {
	if a.state.learnView(status.Epoch, status.Members) {
		a.updateHubs()
	}
}
