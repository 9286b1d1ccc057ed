package agent

import (
	"bufio"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/roleplan"
)

// orderNetwork connects to one server, which answers successive orders with the statuses in turn and repeats
// the last one. Status 0 closes the connection without an answer; without statuses, connecting fails.
type orderNetwork struct {
	mu       sync.Mutex
	statuses []int
	orders   []*http1.Request
}

func (n *orderNetwork) Listen(string) (net.Listener, error) { return nil, errNoListener }

func (n *orderNetwork) Dial(string, time.Duration) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.statuses) == 0 {
		return nil, errNoListener
	}
	here, there := net.Pipe()
	go n.answer(there)
	return here, nil
}

func (n *orderNetwork) answer(conn net.Conn) {
	defer conn.Close()
	request, err := http1.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	n.mu.Lock()
	n.orders = append(n.orders, request)
	status := n.statuses[0]
	if len(n.statuses) > 1 {
		n.statuses = n.statuses[1:]
	}
	n.mu.Unlock()
	if status == 0 {
		return
	}
	out := bufio.NewWriter(conn)
	(&http1.Response{Status: status}).Write(out)
	out.Flush()
}

// received returns the orders that the server has received.
func (n *orderNetwork) received() []*http1.Request {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.orders
}

// newTestAssigner returns a role assigner of the head of the chain, and its agent, whose directory has the
// prefill server i-1 of a service with an engine.
func newTestAssigner(t *testing.T, network *orderNetwork) (*roleAssigner, *Agent) {
	t.Helper()
	agent := newTestAgent(t)
	agent.network = network
	services := map[string]*fleetconfig.Service{"s": {Name: "s", Engine: &fleetconfig.Engine{}}}
	agent.state.applyConfig(&fleetconfig.Config{Version: 1, Services: services})
	reportRole(agent, 1, catalog.Prefill)
	confirm := func(time.Duration) *peerproto.Result {
		return &peerproto.Result{Outcome: peerproto.OutcomeAccepted}
	}
	return &roleAssigner{process: agent.process, state: agent.state, quorum: agent.quorum, demand: agent.demand,
		chainRead: confirm,
		fence:     func() uint64 { return 1 }, issuer: "d1", pending: newPendingOrders()}, agent
}

// reportRole merges a heartbeat in which i-1 reports its role.
func reportRole(agent *Agent, sequence int64, role catalog.Role) {
	agent.state.merge(agent.now(), []directory.Record{{Kind: directory.KindServer, ID: "i-1",
		Sequence: sequence, State: directory.Ready, Service: "s", Address: "10.0.0.1:80", Role: string(role),
		Slots: 1, Watcher: agent.id}})
}

// order announces an order for i-1 to decode, and sends it.
func (r *roleAssigner) order() {
	order := roleplan.Order{Server: "i-1", Role: catalog.Decode}
	r.announceOrders(&fleetconfig.Service{Name: "s"}, []roleplan.Order{order})
	r.sendOrders([]addressedOrder{{order, "10.0.0.1:80"}}, r.now())
}

func TestOrdersNameTheirServerHolderAndFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := &orderNetwork{statuses: []int{202}}
		assigner, _ := newTestAssigner(t, network)
		c.Assert(assigner.maySendOrders(), qt.IsTrue)
		assigner.order()
		c.Assert(network.received(), qt.HasLen, 1)
		sent := network.received()[0]
		c.Check(sent.Method, qt.Equals, "POST")
		c.Check(sent.Target, qt.Equals, "/api/order")
		c.Check(sent.Header.Get("Cresshub-Expect-Server"), qt.Equals, "i-1")
		var body map[string]any
		c.Assert(json.Unmarshal(sent.Body, &body), qt.IsNil)
		c.Check(body, qt.DeepEquals, map[string]any{"order": "stage", "stage": "writing", "holder": "d1",
			"fence": 1.0})
	})
}

// TestOrderAnswersAreHandled: a server that may be carrying out an order gets no requests until it has the
// role; one that has rejected the order gets requests again at once. An order whose outcome is unknown is
// retried.
func TestOrderAnswersAreHandled(t *testing.T) {
	for _, test := range []struct {
		name     string
		statuses []int
		inForce  bool // right after the first answer
		orders   int  // that reach the server within five seconds
	}{
		{"the server carries out the order", []int{202}, true, 1},
		{"the server has the role", []int{200}, true, 1},
		{"the server carries out another order", []int{409, 409, 202}, true, 3},
		{"no answer, but the order was accepted", []int{0, 409, 200}, true, 3},
		{"no answer, and the order was lost", []int{0, 202}, true, 2},
		{"the server has received a higher fence", []int{412}, false, 1},
		{"the server rejects the order as invalid", []int{400}, false, 1},
		{"the server was restarted", []int{421}, false, 1},
		{"the server can't be connected to", nil, false, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			comment := qt.Commentf("%s", test.name)
			network := &orderNetwork{statuses: test.statuses}
			assigner, agent := newTestAssigner(t, network)
			c.Assert(assigner.maySendOrders(), qt.IsTrue)
			assigner.order()
			served := len(agent.state.Servers().Service("s")) == 1
			c.Check(served, qt.Equals, !test.inForce, comment)
			for range 10 {
				time.Sleep(orderRetryInterval / 2)
				assigner.assignRoles()
			}
			c.Check(network.received(), qt.HasLen, test.orders, comment)
			c.Check(assigner.maySendOrders(), qt.Equals,
				test.name != "the server has received a higher fence", comment)
		})
	}
}

// TestCompletedOrdersAreNotRetried: an unanswered order is not sent again once its server reports the role,
// and the server gets requests again.
func TestCompletedOrdersAreNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := &orderNetwork{statuses: []int{0}}
		assigner, agent := newTestAssigner(t, network)
		c.Assert(assigner.maySendOrders(), qt.IsTrue)
		assigner.order()
		reportRole(agent, 2, catalog.Decode)
		time.Sleep(2 * orderRetryInterval)
		assigner.assignRoles()
		c.Check(network.received(), qt.HasLen, 1)
		c.Check(agent.state.Servers().Service("s"), qt.HasLen, 1)
	})
}

// TestUnreachableServersGetNoOrdersDuringTheirCooldown: a server to which an order could not be sent counts
// as changing for unreachableCooldown, so that the planner orders nothing of it.
func TestUnreachableServersGetNoOrdersDuringTheirCooldown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		assigner, _ := newTestAssigner(t, &orderNetwork{})
		changing := func() bool {
			servers, _ := assigner.assignableServers("s")
			return servers[0].Changing
		}
		c.Assert(assigner.maySendOrders(), qt.IsTrue)
		c.Check(changing(), qt.IsFalse)
		assigner.order()
		c.Check(changing(), qt.IsTrue)
		time.Sleep(unreachableCooldown)
		c.Check(changing(), qt.IsFalse)
	})
}
