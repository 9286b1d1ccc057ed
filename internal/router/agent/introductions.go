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
	introduceTick    = 100 * time.Millisecond
	introduceTimeout = 700 * time.Millisecond
	// leastIntroduction and mostIntroduction are the pauses between two introductions to a process that does
	// not answer, at first and at last; the second also follows an answer where the process does not call.
	leastIntroduction = 100 * time.Millisecond
	mostIntroduction  = 1600 * time.Millisecond
	// introductionsAtOnce bounds the introductions that are under way.
	introductionsAtOnce = 16
)

// introduction is how far this process has introduced itself to one address.
type introduction struct {
	underWay bool
	answered bool // by a process that knows a view now
	next     time.Duration
	pause    time.Duration
}

// introducer introduces a process to others. Its fields are of the goroutine that runs it, but for results.
type introducer struct {
	node    *Node
	to      map[string]*introduction // by IP
	results chan introductionResult
	active  int
}

// introductionResult is how one introduction ended.
type introductionResult struct {
	ip       string
	answered bool
}

func newIntroducer(n *Node) *introducer {
	return &introducer{node: n, to: map[string]*introduction{},
		results: make(chan introductionResult, introductionsAtOnce)}
}

// run introduces the process to whoever may need it, until done closes.
func (i *introducer) run(done <-chan struct{}) {
	ticker := time.NewTicker(introduceTick)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case result := <-i.results:
			i.finish(result)
		case <-ticker.C:
			if i.node.state.currentView().epoch > 0 {
				i.begin(i.wanted())
			}
		}
	}
}

// begin starts the introductions that are due.
func (i *introducer) begin(wanted []string) {
	now := i.node.now()
	for ip, known := range i.to {
		if !known.underWay && !slices.Contains(wanted, ip) {
			delete(i.to, ip)
		}
	}
	for _, ip := range wanted {
		known := i.to[ip]
		if known == nil {
			known = &introduction{pause: leastIntroduction}
			i.to[ip] = known
		}
		if known.underWay || now < known.next || i.active >= introductionsAtOnce {
			continue
		}
		known.underWay = true
		i.active++
		go i.introduce(ip)
	}
}

// introduce tells one process the view.
func (i *introducer) introduce(ip string) {
	n := i.node
	hello := peerproto.Encode(&peerproto.Hello{ID: n.id})
	body := peerproto.Encode(n.status())
	frame, err := n.endpoint.CallOnce(n.innerAddress(ip), hello, peerproto.KindAnnounce, body, introduceTimeout)
	result := introductionResult{ip: ip}
	var status peerproto.Status
	if err == nil && peerproto.Decode(frame.Body, &status) == nil {
		result.answered = status.Epoch > 0
		n.learnStatusView(&status)
	}
	i.results <- result
}

// finish notes how an introduction ended.
func (i *introducer) finish(result introductionResult) {
	i.active--
	known := i.to[result.ip]
	known.underWay = false
	known.answered = result.answered
	if result.answered {
		known.pause = mostIntroduction
	}
	known.next = i.node.now() + known.pause
	known.pause = min(2*known.pause, mostIntroduction)
}

// wanted returns the IPs of the machines to which this process is to introduce itself.
func (i *introducer) wanted() []string {
	n := i.node
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
		known := i.to[ip]
		unsure := isHub || known == nil || !known.answered
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
	return h != nil && h.answers(n.now())
}

// callingAddresses returns the machines whose processes have called this one lately.
func (n *Node) callingAddresses() map[string]bool {
	now := n.now()
	calling := map[string]bool{}
	n.state.read(func(d *directory.Directory) {
		for _, proxy := range d.Proxies() {
			if heard, ok := n.heardAt(proxy.ID); ok && now-heard <= contactLife {
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
