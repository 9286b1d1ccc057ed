package agent

import (
	"sync"

	"cresshub/internal/router/chain"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

// chainLinks holds the links to the other members of the chain. These links carry only messages of the chain.
// A link is opened when the first message to its member is sent. The methods are safe for concurrent use.
type chainLinks struct {
	*process
	endpoint *transport.Endpoint

	mu   sync.Mutex
	byIP map[string]*transport.Link // by the IP of the other member
}

func newChainLinks(p *process, endpoint *transport.Endpoint) *chainLinks {
	return &chainLinks{process: p, endpoint: endpoint, byIP: map[string]*transport.Link{}}
}

// send sends messages to the members on other machines. A message is dropped if the link is not connected;
// the state machine resends what has to arrive.
func (l *chainLinks) send(messages []chain.Envelope) {
	for i := range messages {
		envelope := &messages[i]
		if envelope.To.Address != "" && envelope.To.Address != l.settings.IP {
			l.linkTo(envelope.To.Address).Send(peerproto.KindChain, encodeChainMessage(&envelope.Message))
		}
	}
}

// linkTo returns the link to the member on a machine, and opens it if there is none.
func (l *chainLinks) linkTo(ip string) *transport.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	link := l.byIP[ip]
	if link == nil {
		link = l.endpoint.NewLink(l.peerAddress(ip), transport.LinkCallbacks{Hello: l.hello})
		l.byIP[ip] = link
	}
	return link
}

// close closes the links. send must not be called afterwards.
func (l *chainLinks) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.byIP {
		link.Stop()
	}
}
