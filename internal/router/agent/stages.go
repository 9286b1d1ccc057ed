package agent

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/invariant"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/roleplan"
)

const (
	stageInterval = 300 * time.Millisecond
	// confirmTimeout bounds the check that this process still holds the duty, and confirmLife how long after the
	// check began an order may be sent.
	confirmTimeout = 300 * time.Millisecond
	confirmLife    = 500 * time.Millisecond
	orderTimeout   = 700 * time.Millisecond
	orderPath      = "/api/order"
	// expectServerHeader names the incarnation that a call is meant for; another one at its address answers 421.
	expectServerHeader = "Cresshub-Expect-Server"
	// orderLife is how long an order may be under way; later its server counts as one without.
	orderLife = 9 * time.Second
	// leaseMargin is added to the time in which an earlier holder's orders may still arrive.
	leaseMargin = 700 * time.Millisecond
)

// stageDuty gives model servers their stages. It is held by the open head of the chain, under the epoch as
// the fence: epochs rise, and each has one head. A new holder waits until orders of the one before can't
// arrive any more, and each order follows a read through the chain that shows that the duty is still held.
type stageDuty struct {
	node   *Node
	member *chainMember

	fence   uint64        // under which the duty is held, 0 where it is not
	allowed time.Duration // from when on orders may be sent
	// refused is a fence that a server found lower than one it had seen. No more orders are sent under it.
	refused atomic.Uint64
}

func (s *stageDuty) run(done <-chan struct{}) {
	ticker := time.NewTicker(stageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		config := s.node.state.Config()
		if !s.held() || config == nil || s.node.leaving() {
			continue
		}
		s.clearDone()
		for _, service := range config.Services {
			if service.Engine != nil {
				s.balance(service)
			}
		}
	}
}

// held tells whether this process may send orders now.
func (s *stageDuty) held() bool {
	fence, now := s.member.fence.Load(), s.node.now()
	switch {
	case fence == 0:
		s.fence = 0
		return false
	case s.fence == 0 && fence > 1:
		s.allowed = now + s.node.settings.Bounds.Lease + leaseMargin
	}
	s.fence = fence
	return now >= s.allowed && fence != s.refused.Load()
}

// clearDone ends the records of orders that were carried out or whose servers are gone.
func (s *stageDuty) clearDone() {
	n := s.node
	now := n.now()
	n.state.change(now, func(d *directory.Directory) {
		for _, order := range d.Orders() {
			server := d.Get(order.ID[len(directory.OrderID("")):])
			if server == nil || !server.Live() || server.Stage == order.Stage {
				over := *order
				over.State = directory.Lost
				d.Merge(now, over)
			}
		}
	})
}

func (s *stageDuty) balance(service *fleetconfig.Service) {
	n := s.node
	var servers []roleplan.Server
	addresses := map[string]string{}
	n.state.read(func(d *directory.Directory) {
		for _, r := range d.LiveServers() {
			if r.Service != service.Name || r.State != directory.Ready || r.Stage == "" {
				continue
			}
			known := roleplan.Server{ID: r.ID, Zone: r.Zone, Role: catalog.Role(r.Stage), Slots: r.Slots}
			if d.ChangingRole(r) {
				known.Changing, known.Role = true, catalog.Role(d.Get(directory.OrderID(r.ID)).Stage)
			}
			servers = append(servers, known)
			addresses[r.ID] = r.Address
		}
	})
	orders := roleplan.Plan(servers, n.demand.of(service.Name, n.now()))
	if len(orders) == 0 {
		return
	}
	confirmed := n.now()
	if n.control.read(confirmTimeout).Outcome != peerproto.OutcomeAccepted || s.member.fence.Load() != s.fence {
		return // before anything is announced: another machine may hold the duty
	}
	s.announce(service, orders)
	var sent sync.WaitGroup
	for _, order := range orders {
		sent.Add(1)
		go func() {
			defer sent.Done()
			s.send(order, addresses[order.Server], confirmed)
		}()
	}
	sent.Wait()
}

// announce tells all proxies that servers are about to change, so that they get nothing new.
func (s *stageDuty) announce(service *fleetconfig.Service, orders []roleplan.Order) {
	n := s.node
	now := n.now()
	var place uint64
	n.state.change(now, func(d *directory.Directory) {
		for _, order := range orders {
			record := directory.Record{Kind: directory.KindOrder, ID: directory.OrderID(order.Server), Sequence: 1,
				State: directory.Ready, Watcher: n.id, Service: service.Name, Stage: string(order.Role)}
			if earlier := d.Get(record.ID); earlier != nil {
				record.Sequence = earlier.Sequence + 1
			}
			d.Merge(now, record)
		}
		place = d.Offset()
	})
	n.awaitMajority(place, confirmTimeout)
}

// orderBody is the body of an order.
type orderBody struct {
	Order  string `json:"order"`
	Stage  string `json:"stage"`
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

func (s *stageDuty) send(order roleplan.Order, address string, confirmed time.Duration) {
	n := s.node
	invariant.Assert(s.fence > 0 && s.fence >= n.figures.lastFence.Load(), invariant.FenceRises,
		"an order under fence %d follows one under %d", s.fence, n.figures.lastFence.Load())
	n.figures.lastFence.Store(s.fence)
	body, err := json.Marshal(orderBody{"stage", string(order.Role), s.member.identity, s.fence})
	if err != nil || n.now()-confirmed > confirmLife {
		s.withdraw(order)
		return
	}
	status := 0
	answer, err := n.callServer(address, &http1.Request{Method: "POST", Target: orderPath, Body: body,
		Header: http1.Header{{Name: "Content-Type", Value: "application/json"},
			{Name: expectServerHeader, Value: order.Server}}}, orderTimeout)
	if err == nil {
		status = answer.Status
	}
	n.figures.order(status)
	n.log.Info().Err(err).Str("server", order.Server).Str("stage", string(order.Role)).Int("status", status).
		Uint64("fence", s.fence).Msg("stages: order sent")
	switch status {
	case 412:
		s.refused.Store(s.fence)
		s.withdraw(order)
	case 400, 421:
		s.withdraw(order)
	}
}

// withdraw ends the announcement of an order that is not carried out, so that its server gets requests again.
func (s *stageDuty) withdraw(order roleplan.Order) {
	n := s.node
	now := n.now()
	n.state.change(now, func(d *directory.Directory) {
		announced := d.Get(directory.OrderID(order.Server))
		if announced == nil || announced.Watcher != n.id {
			return
		}
		over := *announced
		over.State = directory.Lost
		d.Merge(now, over)
	})
}
