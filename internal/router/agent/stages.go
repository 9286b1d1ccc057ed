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
	// confirmTimeout bounds the check that this process still holds the duty, and confirmValidity how long after
	// the check began an order may be sent.
	confirmTimeout  = 300 * time.Millisecond
	confirmValidity = 500 * time.Millisecond
	orderTimeout    = 700 * time.Millisecond
	orderPath       = "/api/order"
	// expectServerHeader names the incarnation that a call is meant for; another one at its address answers 421.
	expectServerHeader = "Cresshub-Expect-Server"
	// orderExpiry is how long an order may be under way; later its server counts as one without.
	orderExpiry = 9 * time.Second
	// leaseMargin is added to the time in which an earlier holder's orders may still arrive.
	leaseMargin = 700 * time.Millisecond
)

// stageCoordinator gives model servers their stages. It is held by the open head of the chain, under the
// epoch as the fence: epochs rise, and each has one head. A new holder waits until orders of the one before
// can't arrive any more, and each order follows a read through the chain that shows that the duty is still
// held.
type stageCoordinator struct {
	node   *Node
	member *chainMember

	fence           uint64        // under which the duty is held, 0 where it is not
	ordersAllowedAt time.Duration // from when on orders may be sent
	// rejectedFence is a fence that a server found lower than one it had seen. No more orders are sent under it.
	rejectedFence atomic.Uint64
}

func (s *stageCoordinator) run(done <-chan struct{}) {
	ticker := time.NewTicker(stageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		config := s.node.state.Config()
		if !s.maySendOrders() || config == nil || s.node.isShuttingDown() {
			continue
		}
		s.closeCompletedOrders()
		for _, service := range config.Services {
			if service.Engine != nil {
				s.rebalance(service)
			}
		}
	}
}

// maySendOrders tells whether this process may send orders now.
func (s *stageCoordinator) maySendOrders() bool {
	fence, now := s.member.fence.Load(), s.node.now()
	switch {
	case fence == 0:
		s.fence = 0
		return false
	case s.fence == 0 && fence > 1:
		s.ordersAllowedAt = now + s.node.settings.Bounds.Lease + leaseMargin
	}
	s.fence = fence
	return now >= s.ordersAllowedAt && fence != s.rejectedFence.Load()
}

// closeCompletedOrders ends the records of orders that were carried out or whose servers are gone.
func (s *stageCoordinator) closeCompletedOrders() {
	n := s.node
	now := n.now()
	n.state.update(now, func(d *directory.Directory) {
		for _, order := range d.Orders() {
			server := d.Get(order.ID[len(directory.OrderID("")):])
			if server == nil || !server.Live() || server.Stage == order.Stage {
				ended := *order
				ended.State = directory.Lost
				d.Merge(now, ended)
			}
		}
	})
}

func (s *stageCoordinator) rebalance(service *fleetconfig.Service) {
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
	orders := roleplan.Plan(servers, n.demand.total(service.Name, n.now()))
	if len(orders) == 0 {
		return
	}
	confirmed := n.now()
	if n.configStore.read(confirmTimeout).Outcome != peerproto.OutcomeAccepted ||
		s.member.fence.Load() != s.fence {
		return // before anything is announced: another machine may hold the duty
	}
	s.announceOrders(service, orders)
	var sent sync.WaitGroup
	for _, order := range orders {
		sent.Add(1)
		go func() {
			defer sent.Done()
			s.sendOrder(order, addresses[order.Server], confirmed)
		}()
	}
	sent.Wait()
}

// announceOrders tells all proxies that servers are about to change, so that they get nothing new.
func (s *stageCoordinator) announceOrders(service *fleetconfig.Service, orders []roleplan.Order) {
	n := s.node
	now := n.now()
	var offset uint64
	n.state.update(now, func(d *directory.Directory) {
		for _, order := range orders {
			record := directory.Record{Kind: directory.KindOrder, ID: directory.OrderID(order.Server), Sequence: 1,
				State: directory.Ready, Watcher: n.id, Service: service.Name, Stage: string(order.Role)}
			if earlier := d.Get(record.ID); earlier != nil {
				record.Sequence = earlier.Sequence + 1
			}
			d.Merge(now, record)
		}
		offset = d.Offset()
	})
	n.awaitMajority(offset, confirmTimeout)
}

// orderBody is the body of an order.
type orderBody struct {
	Order  string `json:"order"`
	Stage  string `json:"stage"`
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

func (s *stageCoordinator) sendOrder(order roleplan.Order, address string, confirmed time.Duration) {
	n := s.node
	invariant.Assert(s.fence > 0 && s.fence >= n.metrics.lastFence.Load(), invariant.FenceRises,
		"an order under fence %d follows one under %d", s.fence, n.metrics.lastFence.Load())
	n.metrics.lastFence.Store(s.fence)
	body, err := json.Marshal(orderBody{"stage", string(order.Role), s.member.identity, s.fence})
	if err != nil || n.now()-confirmed > confirmValidity {
		s.withdrawOrder(order)
		return
	}
	status := 0
	answer, err := n.callServer(address, &http1.Request{Method: "POST", Target: orderPath, Body: body,
		Header: http1.Header{{Name: "Content-Type", Value: "application/json"},
			{Name: expectServerHeader, Value: order.Server}}}, orderTimeout)
	if err == nil {
		status = answer.Status
	}
	n.metrics.countOrder(status)
	n.log.Info().Err(err).Str("server", order.Server).Str("stage", string(order.Role)).Int("status", status).
		Uint64("fence", s.fence).Msg("stages: order sent")
	switch status {
	case 412:
		s.rejectedFence.Store(s.fence)
		s.withdrawOrder(order)
	case 400, 421:
		s.withdrawOrder(order)
	}
}

// withdrawOrder ends the announcement of an order that is not carried out, so that its server gets requests
// again.
func (s *stageCoordinator) withdrawOrder(order roleplan.Order) {
	n := s.node
	now := n.now()
	n.state.update(now, func(d *directory.Directory) {
		announced := d.Get(directory.OrderID(order.Server))
		if announced == nil || announced.Watcher != n.id {
			return
		}
		ended := *announced
		ended.State = directory.Lost
		d.Merge(now, ended)
	})
}
