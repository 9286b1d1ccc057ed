package agent

import (
	"maps"
	"sync"
	"time"

	"cresshub/internal/router/roleplan"
)

// addressedOrder is an order with the address of its server.
type addressedOrder struct {
	roleplan.Order
	address string
}

// pendingOrder is an order to retry, because its server has not confirmed that it carries it out.
type pendingOrder struct {
	order  addressedOrder
	sentAt time.Duration
}

// pendingOrders holds the orders to retry and the servers that could not be connected to. It is safe for
// concurrent use.
type pendingOrders struct {
	mu          sync.Mutex
	orders      map[string]pendingOrder  // by server
	unreachable map[string]time.Duration // by server, when the last connection attempt failed
}

func newPendingOrders() *pendingOrders {
	return &pendingOrders{orders: map[string]pendingOrder{}, unreachable: map[string]time.Duration{}}
}

// add adds an order with the time at which it was last sent, in place of an earlier one to its server.
func (p *pendingOrders) add(order addressedOrder, sentAt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders[order.Server] = pendingOrder{order, sentAt}
}

// remove removes the order to a server, if there is one.
func (p *pendingOrders) remove(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.orders, server)
}

// due returns the orders that were last sent at least orderRetryInterval ago.
func (p *pendingOrders) due(now time.Duration) (due []addressedOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pending := range p.orders {
		if now-pending.sentAt >= orderRetryInterval {
			due = append(due, pending.order)
		}
	}
	return due
}

// markUnreachable records a server to which an order could not be sent, and removes those whose
// unreachableCooldown is over.
func (p *pendingOrders) markUnreachable(server string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.unreachable, func(_ string, at time.Duration) bool {
		return now-at >= unreachableCooldown
	})
	p.unreachable[server] = now
}

// isUnreachable reports whether a server is in its cooldown: within the last unreachableCooldown, an order
// could not be sent to it.
func (p *pendingOrders) isUnreachable(server string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.unreachable[server]
	return ok && now-at < unreachableCooldown
}
