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

// pendingOrder is an order of which it is not known whether its server carries it out.
type pendingOrder struct {
	order  addressedOrder
	sentAt time.Duration
}

// pendingOrders are the orders that are to be sent again, by server, and the servers that none could be sent
// to. It is safe for concurrent use.
type pendingOrders struct {
	mu          sync.Mutex
	orders      map[string]pendingOrder
	unreachable map[string]time.Duration // when an order could not be sent
}

func newPendingOrders() *pendingOrders {
	return &pendingOrders{orders: map[string]pendingOrder{}, unreachable: map[string]time.Duration{}}
}

// add adds an order that was sent at a time.
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

// due returns the orders that are to be sent again at a time.
func (p *pendingOrders) due(now time.Duration) (due []addressedOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pending := range p.orders {
		if now-pending.sentAt >= orderRepeatInterval {
			due = append(due, pending.order)
		}
	}
	return due
}

// addUnreachable adds a server that an order could not be sent to, and forgets those of unreachableTime ago.
func (p *pendingOrders) addUnreachable(server string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.unreachable, func(_ string, at time.Duration) bool { return now-at >= unreachableTime })
	p.unreachable[server] = now
}

// isUnreachable reports whether an order to a server could not be sent less than unreachableTime ago.
func (p *pendingOrders) isUnreachable(server string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.unreachable[server]
	return ok && now-at < unreachableTime
}
