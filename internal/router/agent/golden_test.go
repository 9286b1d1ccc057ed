package agent

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/chain"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/roleplan"
	"cresshub/internal/router/scheduler"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// goldenPath returns the path of a golden file.
func goldenPath(name string) string { return filepath.Join("testdata", "golden", name) }

// readGolden returns the content of a golden file.
func readGolden(c *qt.C, name string) []byte {
	c.Helper()
	golden, err := os.ReadFile(goldenPath(name))
	c.Assert(err, qt.IsNil)
	return golden
}

// checkGolden compares encoded bytes with a golden file, which it rewrites first under -update.
func checkGolden(c *qt.C, name string, written []byte) {
	c.Helper()
	if *update {
		c.Assert(os.MkdirAll(filepath.Dir(goldenPath(name)), 0o755), qt.IsNil)
		c.Assert(os.WriteFile(goldenPath(name), written, 0o644), qt.IsNil)
	}
	c.Assert(written, qt.DeepEquals, readGolden(c, name), qt.Commentf("%s", name))
}

// goldenAgent returns the agent of a process with a fixed id, view and directory.
func goldenAgent(t *testing.T) *Agent {
	t.Helper()
	agent := newTestAgent(t)
	agent.id = "proxy-1"
	agent.state.learnView(7, goldenMembers())
	agent.state.merge(agent.now(), goldenRecords())
	return agent
}

// goldenMembers returns the members of the golden view.
func goldenMembers() []peerproto.MemberInfo {
	return []peerproto.MemberInfo{{ID: "m0", Address: "127.0.0.1"}, {ID: "m1", Address: "10.0.0.2"}}
}

// goldenRecords returns the records of the golden directory, one of each kind.
func goldenRecords() []directory.Record {
	return []directory.Record{goldenServer(),
		{Kind: directory.KindProxy, ID: "proxy-2", Sequence: 4, State: directory.Ready, Address: "10.0.0.2",
			Zone: "zone-b", Name: "name-2", Control: "10.0.0.2:82", Member: "m1"},
		{Kind: directory.KindOrder, ID: directory.OrderID("server-1"), Sequence: 1, State: directory.Lost,
			Watcher: "proxy-2", Role: "writing"}}
}

// goldenServer returns the record of a server with all the fields set that servers have.
func goldenServer() directory.Record {
	return directory.Record{Kind: directory.KindServer, ID: "server-1", Sequence: 3, State: directory.Draining,
		Watcher: "proxy-2", Service: "chat", Address: "10.0.0.9:80", Zone: "zone-b", Version: "v3", Slots: 6,
		Role: "reading", WarmUpMs: 1500}
}

// goldenChainMessage returns a message of the chain with all fields set.
func goldenChainMessage(kind chain.Kind, outcome chain.Outcome) *chain.Message {
	past := chain.PastEntry{Version: 13}
	for i := range past.Digest {
		past.Digest[i] = byte(200 + i)
	}
	return &chain.Message{
		Kind: kind, From: "m0", Epoch: 2, Address: "127.0.0.1", HasDisk: true, EntryEpoch: 3, Open: true,
		Draining: true, Stalled: true, Sealed: true, ReceivesFrom: []chain.MemberID{"m1", "m2"},
		View: chain.View{Epoch: 4, Members: []chain.Member{{ID: "m0", Address: "127.0.0.1"},
			{ID: "m1", Address: "10.0.0.2"}}, Chain: []chain.MemberID{"m1", "m0"},
			CatchingUp: []chain.MemberID{"m0"}, Sources: []chain.MemberID{"m1"},
			Unopened: []chain.PastChain{{Epoch: 5, Chain: []chain.MemberID{"m2", "m3"}}}},
		ProposalNumber: chain.ProposalNumber{Counter: 6, Proposer: "m4"},
		AcceptedNumber: chain.ProposalNumber{Counter: 7, Proposer: "m5"}, Sequence: 8, Version: 9,
		Digest: []byte("digest"), HasBody: true, Body: []byte("body"),
		History: []chain.PastEntry{past, {Version: 14, Digest: chain.Digest{1, 2, 3}}}, Resend: true,
		Origin: "m6", Request: 1<<64 - 2, Expected: 10, Outcome: outcome, Marker: 12,
	}
}

// TestGoldenChainMessagesAreReadAndWrittenByteForByte: there is one file for each kind of message; together
// they have all outcomes.
func TestGoldenChainMessagesAreReadAndWrittenByteForByte(t *testing.T) {
	kinds := []struct {
		file string
		kind chain.Kind
	}{
		{"heartbeat", chain.Heartbeat}, {"view_notice", chain.ViewNotice}, {"genesis", chain.BootstrapAccept},
		{"genesis_reply", chain.BootstrapAcceptReply}, {"prepare", chain.Prepare}, {"promise", chain.PrepareReply},
		{"accept", chain.Accept}, {"accepted", chain.AcceptReply}, {"nack", chain.Nack}, {"seal", chain.Seal},
		{"append", chain.Append}, {"ask_body", chain.FetchBody}, {"ack", chain.Ack}, {"commit", chain.Commit},
		{"forward", chain.Forward}, {"forward_read", chain.ForwardRead}, {"forward_reply", chain.ForwardReply},
		{"marker", chain.Marker}, {"marker_reply", chain.MarkerReply},
	}
	outcomes := []chain.Outcome{chain.Applied, chain.Conflict, chain.Invalid, chain.Unavailable}
	c := qt.New(t)
	c.Assert(kinds, qt.HasLen, int(chain.MarkerReply)) // the last kind
	for i, golden := range kinds {
		message := goldenChainMessage(golden.kind, outcomes[i%len(outcomes)])
		file := "chain/" + golden.file + ".bin"
		checkGolden(c, file, encodeChainMessage(message))
		read, err := decodeChainMessage(readGolden(c, file))
		c.Assert(err, qt.IsNil)
		c.Assert(&read, qt.DeepEquals, message, qt.Commentf("%s", file))
	}
}

// TestGoldenDirectoryFramesAreReadAndWrittenByteForByte covers the frames that a process sends from its
// directory and its view, and the replica of the directory that another process builds from them.
func TestGoldenDirectoryFramesAreReadAndWrittenByteForByte(t *testing.T) {
	c := qt.New(t)
	agent := goldenAgent(t)
	checkGolden(c, "status.bin", peerproto.Encode(agent.status.get()))
	var status peerproto.Status
	c.Assert(peerproto.Decode(readGolden(c, "status.bin"), &status), qt.IsNil)
	c.Assert(status, qt.DeepEquals, peerproto.Status{ID: "proxy-1", Epoch: 7, Members: goldenMembers()})

	checkGolden(c, "feed_snapshot.bin", peerproto.Encode(agent.feeds.next(0, -1)))
	var snapshot, feed peerproto.Feed
	c.Assert(peerproto.Decode(readGolden(c, "feed_snapshot.bin"), &snapshot), qt.IsNil)
	c.Assert(snapshot, qt.DeepEquals, peerproto.Feed{Feed: "proxy-1", To: 3, Records: goldenRecords(),
		Config: []byte{}, Epoch: 7, Members: goldenMembers()})
	checkGolden(c, "feed_piece.bin", peerproto.Encode(agent.feeds.next(2, 7)))
	c.Assert(peerproto.Decode(readGolden(c, "feed_piece.bin"), &feed), qt.IsNil)
	c.Assert(feed, qt.DeepEquals, peerproto.Feed{Feed: "proxy-1", From: 2, To: 3,
		Records: goldenRecords()[2:], Config: []byte{}, Epoch: 7,
		Members: []peerproto.MemberInfo{}})

	checkGolden(c, "compare.bin", peerproto.Encode(&peerproto.Comparison{Digest: agent.antiEntropy.digest()}))
	var request peerproto.Comparison
	c.Assert(peerproto.Decode(readGolden(c, "compare.bin"), &request), qt.IsNil)
	follower := newTestAgent(t)
	c.Assert(follower.antiEntropy.digest(), qt.Not(qt.DeepEquals), request.Digest)
	follower.state.merge(follower.now(), snapshot.Records)
	c.Assert(follower.antiEntropy.digest(), qt.DeepEquals, request.Digest)
}

// recordingWorkload records the load and the prefixes of other processes that it was given last.
type recordingWorkload struct {
	noWorkload
	others   []scheduler.InFlightLoad
	scope    scheduler.LoadScope
	prefixes []scheduler.CachedPrefixes
}

func (w *recordingWorkload) SetPeerLoad(others []scheduler.InFlightLoad, scope scheduler.LoadScope,
	prefixes []scheduler.CachedPrefixes) {
	w.others, w.scope, w.prefixes = others, scope, prefixes
}

// TestGoldenLoadReportsAreReadAndWrittenByteForByte covers load reports in the forms for the hub, for other
// hubs and for the data plane of the process itself. The sums have only one server, because they list
// servers in no fixed order.
func TestGoldenLoadReportsAreReadAndWrittenByteForByte(t *testing.T) {
	c := qt.New(t)
	changes := []scheduler.InFlightLoad{{Server: "server-1", Prefill: 250 * time.Millisecond, Calls: 3},
		{Server: "server-2", Prefill: time.Hour, Calls: 70}}
	prefixes := []scheduler.CachedPrefixes{{Server: "server-1", Hashes: []uint64{1, 1<<64 - 3}},
		{Server: "server-2", Hashes: []uint64{1 << 63}}}
	checkGolden(c, "work.bin", peerproto.Encode(&peerproto.LoadReport{Full: true, Servers: encodeLoad(changes),
		FullIndex: true, Prefixes: encodePrefixes(prefixes)}))
	var report peerproto.LoadReport
	c.Assert(peerproto.Decode(readGolden(c, "work.bin"), &report), qt.IsNil)
	c.Assert(report.Full && report.FullIndex, qt.IsTrue)
	c.Assert(decodeLoad(report.Servers), qt.DeepEquals, changes)
	c.Assert(decodePrefixes(report.Prefixes), qt.DeepEquals, prefixes)

	agent := goldenAgent(t)
	recorded := &recordingWorkload{}
	agent.load.workload = recorded
	agent.load.applyOwn(&peerproto.LoadReport{Servers: encodeLoad(changes[:1]),
		Prefixes: encodePrefixes(prefixes[:1])})
	local := agent.load.localLoad()
	checkGolden(c, "hub_work.bin", peerproto.Encode(&peerproto.LoadReport{Full: true,
		Servers: agent.load.loadExcept(local, nil, scheduler.AllServers), Prefixes: agent.load.localPrefixes}))

	other := goldenAgent(t)
	other.load.workload = recorded
	other.load.applyHub(nil, readGolden(c, "hub_work.bin"))
	other.load.distribute(scheduler.AllServers)
	c.Assert(recorded.others, qt.DeepEquals, changes[:1])
	c.Assert(recorded.scope, qt.Equals, scheduler.AllServers)
	c.Assert(recorded.prefixes, qt.DeepEquals, prefixes[:1])
}

// TestGoldenDemandsAreRead covers the demand that another proxy reports with a ping.
func TestGoldenDemandsAreRead(t *testing.T) {
	c := qt.New(t)
	agent := goldenAgent(t)
	checkGolden(c, "demands.bin", peerproto.Encode(&peerproto.Demands{Services: []peerproto.Demand{
		{Service: "chat", Prefill: 1.5, Decode: 2.25}, {Service: "other", Prefill: 3, Decode: 4}}}))
	agent.demand.record("proxy-2", agent.now(), readGolden(c, "demands.bin"))
	c.Assert(agent.demand.total("chat", agent.now()), qt.Equals,
		roleplan.Demand{HasTraffic: true, PrefillCalls: 1.5, DecodeCalls: 2.25})
}

// These are the documents of two versions, and the patch that turns the first into the second.
const (
	goldenDocument = `{"edition":40,"routes":[],"depots_list":[{"name":"s"}]}`
	goldenPatch    = `{"edition":41,"deliver":{"depots_list":[{"name":"t"}]}}`
	goldenPatched  = `{"edition":41,"routes":[],"depots_list":[{"name":"s"},{"name":"t"}]}`
)

// TestGoldenConfigurationsAreReadAndWrittenByteForByte covers a configuration packed whole in a result, as
// patches in a feed, and as the chain stores it. The packed files also depend on compress/flate: if a new
// release of Go compresses differently, only their comparison with the written bytes fails, and the files may
// be rewritten.
func TestGoldenConfigurationsAreReadAndWrittenByteForByte(t *testing.T) {
	c := qt.New(t)
	agent := goldenAgent(t)
	agent.configSync.applyDocument([]byte(goldenDocument))
	checkGolden(c, "config_result.bin", peerproto.Encode(agent.configSync.fetchResult()))
	adoptPatch(c, agent, goldenPatch)
	config := agent.state.Config()
	checkGolden(c, "config_patches.bin", agent.configSync.updateSince(config, 40))
	checkGolden(c, "config_packed.bin", agent.configSync.updateSince(config, 0))
	patch, err := fleetconfig.ParsePatch(40, []byte(goldenPatch))
	c.Assert(err, qt.IsNil)
	checkGolden(c, "config_stored.bin", fleetconfig.EncodeStored(patch, config.Raw()))

	follower := goldenAgent(t)
	var result peerproto.Result
	c.Assert(peerproto.Decode(readGolden(c, "config_result.bin"), &result), qt.IsNil)
	c.Assert(result.Outcome, qt.Equals, peerproto.OutcomeAccepted)
	c.Assert(result.Version, qt.Equals, int64(40))
	follower.configSync.applyPacked(result.Body)
	checkConfig(c, follower, 40, goldenDocument)
	follower.configSync.applyPacked(readGolden(c, "config_patches.bin"))
	checkConfig(c, follower, 41, goldenPatched)

	for _, before := range []string{"", goldenDocument} {
		packed, stored := goldenAgent(t), goldenAgent(t)
		packed.configSync.applyDocument([]byte(before))
		packed.configSync.applyPacked(readGolden(c, "config_packed.bin"))
		checkConfig(c, packed, 41, goldenPatched)
		stored.configSync.applyDocument([]byte(before))
		stored.configSync.applyStored(readGolden(c, "config_stored.bin"))
		checkConfig(c, stored, 41, goldenPatched)
	}
	c.Assert(fmt.Sprintf("%x", storedDigest(readGolden(c, "config_stored.bin"))), qt.Equals,
		"285c92064f1e7ce03f0925b3225a077f7ca1a85eca4fcea4bc983d980fa301a0")
}

// checkConfig checks the configuration that is in force at an agent.
func checkConfig(c *qt.C, agent *Agent, version int64, document string) {
	c.Helper()
	c.Assert(agent.state.version(), qt.Equals, version)
	c.Assert(string(agent.state.Config().Raw()), qt.Equals, document)
}
