package agent

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/controlserver"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

// agentWithRecords returns an agent that does not run and whose directory has some records.
func agentWithRecords(c *qt.C, records ...directory.Record) *Agent {
	settings, err := agentsettings.Parse([]byte(`{"office":"front-a","ip":"127.0.0.1","inner_ports":[1,2],
		"counters":{"control":"127.0.0.1:3"}}`))
	c.Assert(err, qt.IsNil)
	agent, err := New(settings, zerolog.Nop())
	c.Assert(err, qt.IsNil)
	agent.state.merge(0, records)
	return agent
}

// getList calls the endpoint of a list and decodes the response into a value.
func getList(c *qt.C, agent *Agent, path string, into any) {
	response := agent.handleCall(&controlserver.Call{Method: "GET", Path: path})
	c.Assert(response.Status, qt.Equals, 200)
	c.Assert(response.Header.Get("Content-Type"), qt.Equals, "application/json")
	c.Assert(json.Unmarshal(response.Body, into), qt.IsNil)
}

func TestProcessesAreListedWithTheirRoles(t *testing.T) {
	c := qt.New(t)
	agent := agentWithRecords(c,
		directory.Record{Kind: directory.KindProxy, ID: "p2", Sequence: 1, State: directory.Lost,
			Address: "127.0.0.3", Name: "front-c", Control: "127.0.0.3:3", Zone: "kopli", Watcher: "p1"},
		directory.Record{Kind: directory.KindProxy, ID: "p1", Sequence: 1, State: directory.Ready,
			Address: "127.0.0.2", Name: "front-b", Control: "127.0.0.2:3", Member: "disk-1"},
		directory.Record{Kind: directory.KindServer, ID: "i-1", Sequence: 1, State: directory.Ready})
	agent.state.learnView(4, []peerproto.MemberInfo{{ID: "disk-1", Address: "127.0.0.2"}})
	var list processList
	getList(c, agent, "/api/members", &list)
	c.Assert(list, qt.DeepEquals, processList{Responder: agent.id, Epoch: 4, Processes: []listedProcess{
		{ID: "p1", Name: "front-b", IP: "127.0.0.2", Control: "127.0.0.2:3", State: "ready", HasDisk: true,
			IsChainMember: true},
		{ID: "p2", Name: "front-c", IP: "127.0.0.3", Control: "127.0.0.3:3", Zone: "kopli", State: "lost",
			Follows: "p1"},
	}})
}

func TestServersAreListedWithTheirOrders(t *testing.T) {
	c := qt.New(t)
	agent := agentWithRecords(c,
		directory.Record{Kind: directory.KindServer, ID: "i-2", Sequence: 9, State: directory.Draining,
			Service: "lookup", Address: "127.0.0.9:80", Slots: 6, Watcher: "p1"},
		directory.Record{Kind: directory.KindServer, ID: "i-1", Sequence: 7, State: directory.Ready,
			Service: "model", Address: "127.0.0.8:80", Zone: "kopli", Version: "v1", Slots: 8, Role: "writing"},
		directory.Record{Kind: directory.KindOrder, ID: directory.OrderID("i-1"), Sequence: 1,
			State: directory.Ready, Role: "reading"})
	var list serverList
	getList(c, agent, "/api/servers", &list)
	c.Assert(list, qt.DeepEquals, serverList{Responder: agent.id, Servers: []listedServer{
		{ID: "i-1", Service: "model", Address: "127.0.0.8:80", Zone: "kopli", Version: "v1", Slots: 8,
			State: "ready", Stage: "writing", ChangingTo: "reading", Sequence: 7},
		{ID: "i-2", Service: "lookup", Address: "127.0.0.9:80", Slots: 6, State: "draining", Sequence: 9,
			Watcher: "p1"},
	}})
}

func TestListsRejectOtherMethodsThanGet(t *testing.T) {
	c := qt.New(t)
	agent := agentWithRecords(c)
	for _, path := range []string{"/api/members", "/api/servers"} {
		response := agent.handleCall(&controlserver.Call{Method: "PUT", Path: path})
		c.Check(response.Status, qt.Equals, 405)
		var list map[string]any
		getList(c, agent, path, &list)
	}
}
