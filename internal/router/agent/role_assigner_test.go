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

// orderNetwork reaches one server, which answers orders with a status in turn, the last one time and again.
// Status 0 closes the connection without an answer; without statuses the server can't be connected to.
type orderNetwork struct {
	mu       sync.Mutex
	statuses []int
	orders   []*http1.Request
}

func (n *orderNetwork) Listen(string) (net.Listener, error) { return nil, errNothingThere }

func (n *orderNetwork) Dial(string, time.Duration) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.statuses) == 0 {
		return nil, errNothingThere
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

func (n *orderNetwork) got() []*http1.Request {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.orders
}

// newTestAssigner returns a role assigner that is the head of the chain, and an agent whose directory has a
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
		read:  confirm,
		fence: func() uint64 { return 1 }, holder: "d1", pending: newPendingOrders()}, agent
}

// reportRole merges a heartbeat of i-1 that has its role.
func reportRole(agent *Agent, sequence int64, role catalog.Role) {
	agent.state.merge(agent.now(), []directory.Record{{Kind: directory.KindServer, ID: "i-1",
		Sequence: sequence, State: directory.Ready, Service: "s", Address: "10.0.0.1:80", Role: string(role),
		Slots: 1, Watcher: agent.id}})
}

// order announces an order to i-1 to decode, and sends it.
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
		c.Assert(network.got(), qt.HasLen, 1)
		sent := network.got()[0]
		c.Check(sent.Method, qt.Equals, "POST")
		c.Check(sent.Target, qt.Equals, "/api/order")
		c.Check(sent.Header.Get("Cresshub-Expect-Server"), qt.Equals, "i-1")
		var body map[string]any
		c.Assert(json.Unmarshal(sent.Body, &body), qt.IsNil)
		c.Check(body, qt.DeepEquals, map[string]any{"order": "stage", "stage": "writing", "holder": "d1",
			"fence": 1.0})
	})
}

// TestWhatFollowsTheAnswerToAnOrder: a server that may be carrying out an order gets no requests until it has
// its role; one that does not do so gets requests again at once. What is unclear is sent again.
func TestWhatFollowsTheAnswerToAnOrder(t *testing.T) {
	for _, test := range []struct {
		name     string
		statuses []int
		inForce  bool // right after the first answer
		orders   int  // that reach the server within five seconds
	}{
		{"it is being done", []int{202}, true, 1},
		{"the server has the role", []int{200}, true, 1},
		{"another is under way", []int{409, 409, 202}, true, 3},
		{"no answer, as the order was taken", []int{0, 409, 200}, true, 3},
		{"no answer, as the order was lost", []int{0, 202}, true, 2},
		{"a higher fence was seen", []int{412}, false, 1},
		{"no such order", []int{400}, false, 1},
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
				time.Sleep(orderRepeatInterval / 2)
				assigner.assignRoles()
			}
			c.Check(network.got(), qt.HasLen, test.orders, comment)
			c.Check(assigner.maySendOrders(), qt.Equals, test.name != "a higher fence was seen", comment)
		})
	}
}

// TestCompletedOrdersAreNotRepeated: once a server has its role, or is gone, its order is over.
func TestCompletedOrdersAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := &orderNetwork{statuses: []int{0}}
		assigner, agent := newTestAssigner(t, network)
		c.Assert(assigner.maySendOrders(), qt.IsTrue)
		assigner.order()
		reportRole(agent, 2, catalog.Decode)
		time.Sleep(2 * orderRepeatInterval)
		assigner.assignRoles()
		c.Check(network.got(), qt.HasLen, 1)
		c.Check(agent.state.Servers().Service("s"), qt.HasLen, 1)
	})
}

// TestServersThatOrdersCannotReachAreLeftAlone: they count with the role they have, and get no order for a
// while.
func TestServersThatOrdersCannotReachAreLeftAlone(t *testing.T) {
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
		time.Sleep(unreachableTime)
		c.Check(changing(), qt.IsFalse)
	})
}
