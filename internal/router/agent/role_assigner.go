package agent

import (
	"encoding/json"
	"errors"
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
	// roleAssignInterval is how often the roles of the model servers are planned.
	roleAssignInterval = 300 * time.Millisecond
	// confirmTimeout bounds the read that confirms that this process is still the head of the chain.
	// confirmValidity is how long after the start of that read an order may be sent.
	confirmTimeout  = 300 * time.Millisecond
	confirmValidity = 500 * time.Millisecond
	orderTimeout    = 700 * time.Millisecond
	// minOrderLifetime is the least time that an order may be in force before it expires and its server gets
	// requests again.
	minOrderLifetime = 9 * time.Second
	// roleSwitchDrainTimeout is how long requests that are in flight at a server when it accepts an order may
	// go on. The change itself then takes the service's RoleSwitchTime.
	roleSwitchDrainTimeout = 6 * time.Second
	// orderRetryInterval is how long after it was sent an order is sent again if it was not answered, or if its
	// server is carrying out another one.
	orderRetryInterval = time.Second
	// unreachableCooldown is how long a server to which an order could not be sent gets no new one.
	unreachableCooldown = 3 * time.Second
	// leaseMargin is added to the lease of the previous head, during which its orders may still arrive.
	leaseMargin = 700 * time.Millisecond

	orderPath = "/api/order"
	// expectServerHeader names the server incarnation that a call is meant for; any other one at the address
	// answers 421.
	expectServerHeader = "Cresshub-Expect-Server"
)

// roleAssigner orders model servers to take the prefill or the decode role, which the body of an order calls
// a stage. Only the head of the chain does this. The epoch of its view is the fencing token of its orders:
// epochs rise, and each has one head. A new head waits until orders of the previous one can no longer
// arrive, and sends orders only after a read through the chain has confirmed that it is still the head.
type roleAssigner struct {
	*process
	state     *state
	quorum    *quorum
	demand    *demandTable
	chainRead func(timeout time.Duration) *peerproto.Result // reads the configuration through the chain
	fence     func() uint64                                 // the fencing token, 0 while this is not the head
	issuer    string                                        // of orders: the identity of this machine's disk

	// State of the goroutine of run.
	currentFence    uint64        // the fencing token as last read
	ordersAllowedAt time.Duration // from then on, no orders of the previous head can arrive
	pending         *pendingOrders

	// rejectedFence is the fencing token that a server has rejected, because it had received a higher one. No
	// more orders are sent with it.
	rejectedFence atomic.Uint64
}

// run assigns roles until done closes.
func (r *roleAssigner) run(done <-chan struct{}) { runEvery(roleAssignInterval, done, r.assignRoles) }

// assignRoles plans the roles of the servers of each service that has an engine, and sends and retries
// orders. It does nothing while this process may not send orders, has no configuration or is shutting down.
func (r *roleAssigner) assignRoles() {
	config := r.state.Config()
	if !r.maySendOrders() || config == nil || r.isShuttingDown() {
		return
	}
	r.closeCompletedOrders()
	r.retryOrders()
	for _, service := range config.Services {
		if service.Engine != nil {
			r.rebalance(service)
		}
	}
}

// maySendOrders updates the fencing token and reports whether orders may be sent with it now.
func (r *roleAssigner) maySendOrders() bool {
	fence, now := r.fence(), r.now()
	switch {
	case fence == 0:
		r.currentFence = 0
		return false
	case r.currentFence == 0 && fence > 1: // the head of the first epoch has no predecessor
		r.ordersAllowedAt = now + r.settings.Bounds.Lease + leaseMargin
	}
	r.currentFence = fence
	return now >= r.ordersAllowedAt && fence != r.rejectedFence.Load()
}

// closeCompletedOrders marks the records of those orders lost that were carried out, or whose servers are no
// longer live.
func (r *roleAssigner) closeCompletedOrders() {
	now := r.now()
	r.state.update(now, func(d *directory.Directory) {
		for _, order := range d.Orders() {
			server := d.Get(directory.OrderTarget(order.ID))
			if server == nil || !server.Live() || server.Role == order.Role {
				d.Merge(now, asLost(order))
			}
		}
	})
}

// rebalance plans the roles of the servers of a service, and announces and sends the orders of the plan.
func (r *roleAssigner) rebalance(service *fleetconfig.Service) {
	servers, addresses := r.assignableServers(service.Name)
	orders := roleplan.Plan(servers, r.demand.total(service.Name, r.now()))
	if len(orders) == 0 {
		return
	}
	confirmedAt := r.now()
	if !r.confirmHead() {
		return
	}
	r.announceOrders(service, orders)
	addressed := make([]addressedOrder, 0, len(orders))
	for _, order := range orders {
		addressed = append(addressed, addressedOrder{order, addresses[order.Server]})
	}
	r.sendOrders(addressed, confirmedAt)
}

// retryOrders sends the pending orders that are due for a retry, and drops those that are no longer in force.
func (r *roleAssigner) retryOrders() {
	var inForce []addressedOrder
	for _, order := range r.pending.due(r.now()) {
		if r.isInForce(order.Order) {
			inForce = append(inForce, order)
		} else {
			r.pending.remove(order.Server)
		}
	}
	if len(inForce) == 0 {
		return
	}
	if confirmedAt := r.now(); r.confirmHead() {
		r.sendOrders(inForce, confirmedAt)
	}
}

// isInForce reports whether the directory has a live record of an order, issued by this process.
func (r *roleAssigner) isInForce(order roleplan.Order) (inForce bool) {
	r.state.read(func(d *directory.Directory) {
		record := d.Get(directory.OrderID(order.Server))
		inForce = record != nil && record.Live() && record.Watcher == r.id && record.Role == string(order.Role)
	})
	return inForce
}

// sendOrders sends orders to their servers concurrently, and waits for the answers.
func (r *roleAssigner) sendOrders(orders []addressedOrder, confirmedAt time.Duration) {
	var sending sync.WaitGroup
	for _, order := range orders {
		sending.Go(func() { r.sendOrder(order, confirmedAt) })
	}
	sending.Wait()
}

// assignableServers returns the ready servers of a service that have a role, and their addresses by id. A
// server for which an order is in force counts with the role that the order gives it, and as changing.
func (r *roleAssigner) assignableServers(service string) (servers []roleplan.Server,
	addresses map[string]string) {
	addresses = map[string]string{}
	r.state.read(func(d *directory.Directory) {
		for _, record := range d.LiveServers() {
			if record.Service != service || record.State != directory.Ready || record.Role == "" {
				continue
			}
			server := roleplan.Server{ID: record.ID, Zone: record.Zone, Role: catalog.Role(record.Role),
				Slots: record.Slots, Changing: r.pending.isUnreachable(record.ID, r.now())}
			if d.ChangingRole(record) {
				server.Changing, server.Role = true, catalog.Role(d.Get(directory.OrderID(record.ID)).Role)
			}
			servers = append(servers, server)
			addresses[record.ID] = record.Address
		}
	})
	return servers, addresses
}

// confirmHead reports whether a read through the chain confirms that this process is still the head, in the
// epoch of the fencing token.
func (r *roleAssigner) confirmHead() bool {
	return r.chainRead(confirmTimeout).Outcome == peerproto.OutcomeAccepted &&
		r.fence() == r.currentFence
}

// announceOrders merges orders into the directory, so that proxies send their servers no new requests, and
// waits until a majority of the members has them, for confirmTimeout at most.
func (r *roleAssigner) announceOrders(service *fleetconfig.Service, orders []roleplan.Order) {
	now := r.now()
	var offset uint64
	r.state.update(now, func(d *directory.Directory) {
		for _, order := range orders {
			record := directory.Record{Kind: directory.KindOrder, ID: directory.OrderID(order.Server), Sequence: 1,
				State: directory.Ready, Watcher: r.id, Service: service.Name, Role: string(order.Role)}
			if earlier := d.Get(record.ID); earlier != nil {
				record.Sequence = earlier.Sequence + 1
			}
			d.Merge(now, record)
		}
		offset = d.Offset()
	})
	r.quorum.awaitMajority(offset, confirmTimeout)
}

// orderBody is the body of the call that orders a server to take a role.
type orderBody struct {
	Order  string `json:"order"`
	Stage  string `json:"stage"`
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

// sendOrder sends an order to its server and handles the answer. If the confirmation that this process is the
// head is older than confirmValidity, it withdraws the order instead.
func (r *roleAssigner) sendOrder(order addressedOrder, confirmedAt time.Duration) {
	lastFence := r.metrics.lastOrderFence.Load()
	invariant.Assert(r.currentFence > 0 && r.currentFence >= lastFence, invariant.FenceRises,
		"an order under fence %d follows one under %d", r.currentFence, lastFence)
	r.metrics.lastOrderFence.Store(r.currentFence)
	body, err := json.Marshal(orderBody{"stage", string(order.Role), r.issuer, r.currentFence})
	if err != nil || r.now()-confirmedAt > confirmValidity {
		r.withdrawOrder(order.Order)
		return
	}
	status := 0
	request := &http1.Request{Method: "POST", Target: orderPath, Body: body,
		Header: http1.Header{{Name: "Content-Type", Value: "application/json"},
			{Name: expectServerHeader, Value: order.Server}}}
	answer, err := callServer(r.network, order.address, request, orderTimeout)
	if err == nil {
		status = answer.Status
	}
	r.metrics.countOrder(status)
	r.log.Info().Err(err).Str("server", order.Server).Str("stage", string(order.Role)).Int("status", status).
		Uint64("fence", r.currentFence).Msg("roles: order sent")
	r.handleOrderAnswer(order, status, errors.Is(err, errNotConnected))
}

// handleOrderAnswer handles the status of the answer to an order, 0 for no answer. Without an answer, and
// while the server carries out another order, the order stays in force and is retried; a server that has
// already received it answers the retry accordingly. unsent is true if the server could not be connected to,
// so that it cannot have received the order.
func (r *roleAssigner) handleOrderAnswer(order addressedOrder, status int, unsent bool) {
	r.pending.remove(order.Server)
	switch status {
	case 0:
		if !unsent {
			r.pending.add(order, r.now())
			return
		}
		r.pending.markUnreachable(order.Server, r.now())
		r.withdrawOrder(order.Order)
	case http1.StatusConflict:
		r.pending.add(order, r.now())
	case http1.StatusPreconditionFailed: // the server has received a higher fencing token
		r.rejectedFence.Store(r.currentFence)
		r.withdrawOrder(order.Order)
	case http1.StatusBadRequest, http1.StatusMisdirectedRequest:
		r.withdrawOrder(order.Order)
	}
}

// withdrawOrder marks the record of an order lost that will not be carried out, so that its server gets
// requests again.
func (r *roleAssigner) withdrawOrder(order roleplan.Order) {
	now := r.now()
	r.state.update(now, func(d *directory.Directory) {
		announced := d.Get(directory.OrderID(order.Server))
		if announced != nil && announced.Watcher == r.id {
			d.Merge(now, asLost(announced))
		}
	})
}
