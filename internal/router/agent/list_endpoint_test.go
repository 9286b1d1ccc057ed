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

// agentWithRecords returns a process that knows some records and does nothing.
func agentWithRecords(c *qt.C, records ...directory.Record) *Agent {
	settings, err := agentsettings.Parse([]byte(`{"office":"front-a","ip":"127.0.0.1","inner_ports":[1,2],
		"counters":{"control":"127.0.0.1:3"}}`))
	c.Assert(err, qt.IsNil)
	a, err := New(settings, zerolog.Nop())
	c.Assert(err, qt.IsNil)
	a.state.merge(0, records)
	return a
}

// get reads a list into an answer.
func get(c *qt.C, a *Agent, path string, into any) {
	answer := a.handleCall(&controlserver.Call{Method: "GET", Path: path})
	c.Assert(answer.Status, qt.Equals, 200)
	c.Assert(answer.Header.Get("Content-Type"), qt.Equals, "application/json")
	c.Assert(json.Unmarshal(answer.Body, into), qt.IsNil)
}

func TestMembersAreListedWithTheirRoles(t *testing.T) {
	c := qt.New(t)
	a := agentWithRecords(c,
		directory.Record{Kind: directory.KindProxy, ID: "p2", Sequence: 1, State: directory.Lost,
			Address: "127.0.0.3", Name: "front-c", Control: "127.0.0.3:3", Zone: "kopli", Watcher: "p1"},
		directory.Record{Kind: directory.KindProxy, ID: "p1", Sequence: 1, State: directory.Ready,
			Address: "127.0.0.2", Name: "front-b", Control: "127.0.0.2:3", Member: "disk-1"},
		directory.Record{Kind: directory.KindServer, ID: "i-1", Sequence: 1, State: directory.Ready})
	a.state.learnView(4, []peerproto.MemberInfo{{ID: "disk-1", Address: "127.0.0.2"}})
	var list memberList
	get(c, a, "/api/members", &list)
	c.Assert(list, qt.DeepEquals, memberList{Asked: a.id, Epoch: 4, Members: []listedMember{
		{ID: "p1", Name: "front-b", IP: "127.0.0.2", Control: "127.0.0.2:3", State: "ready", HasDisk: true,
			IsMember: true},
		{ID: "p2", Name: "front-c", IP: "127.0.0.3", Control: "127.0.0.3:3", Zone: "kopli", State: "lost",
			Follows: "p1"},
	}})
}

func TestServersAreListedWithTheirOrders(t *testing.T) {
	c := qt.New(t)
	a := agentWithRecords(c,
		directory.Record{Kind: directory.KindServer, ID: "i-2", Sequence: 9, State: directory.Draining,
			Service: "lookup", Address: "127.0.0.9:80", Slots: 6, Watcher: "p1"},
		directory.Record{Kind: directory.KindServer, ID: "i-1", Sequence: 7, State: directory.Ready,
			Service: "model", Address: "127.0.0.8:80", Zone: "kopli", Version: "v1", Slots: 8, Role: "writing"},
		directory.Record{Kind: directory.KindOrder, ID: directory.OrderID("i-1"), Sequence: 1,
			State: directory.Ready, Role: "reading"})
	var list serverList
	get(c, a, "/api/servers", &list)
	c.Assert(list, qt.DeepEquals, serverList{Asked: a.id, Servers: []listedServer{
		{ID: "i-1", Service: "model", Address: "127.0.0.8:80", Zone: "kopli", Version: "v1", Slots: 8,
			State: "ready", Stage: "writing", ChangingTo: "reading", Sequence: 7},
		{ID: "i-2", Service: "lookup", Address: "127.0.0.9:80", Slots: 6, State: "draining", Sequence: 9,
			Watcher: "p1"},
	}})
}

func TestListsRejectOtherMethodsThanGet(t *testing.T) {
	c := qt.New(t)
	a := agentWithRecords(c)
	for _, path := range []string{"/api/members", "/api/servers"} {
		answer := a.handleCall(&controlserver.Call{Method: "PUT", Path: path})
		c.Check(answer.Status, qt.Equals, 405)
		var list map[string]any
		get(c, a, path, &list)
	}
}
