package routerstandin

import "time"

// lastOrder is the last order that a server got.
type lastOrder struct {
	holder string
	fence  uint64
	at     time.Time
}

// recordOrder records an order that reached a server, with its fencing token, and checks that one holder of
// the role at a time gives orders.
func (o *Observations) recordOrder(server, holder string, fence uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	last, known := o.lastOrders[server]
	switch {
	case !known || last.holder == holder && last.fence <= fence:
	case last.fence == fence:
		o.verdicts.record(RuleOne, "%s and %s gave orders to %s with fence %d", last.holder, holder, server, fence)
	case last.fence > fence && !o.bounds.Fenced:
		o.verdicts.record(RuleOne, "%s got fence %d from %s after fence %d", server, fence, holder, last.fence)
	case last.holder != holder && now.Sub(last.at) < o.bounds.Lease:
		o.verdicts.record(RuleOne, "%s and %s gave orders to %s within %v", last.holder, holder, server,
			now.Sub(last.at).Round(time.Millisecond))
	}
	if !known || fence >= last.fence {
		o.lastOrders[server] = lastOrder{holder, fence, now}
	}
}
