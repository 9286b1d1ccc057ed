package agent

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"cresshub/internal/router/chain"
	"cresshub/internal/router/dataplane"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/scheduler"
)

// The golden data directory, testdata/golden/data, is that of a machine with a disk.
const (
	goldenData      = "data"
	goldenSegment   = "0000000000000001.segment"
	goldenCompacted = "0000000000000002.segment"
)

// newAgentWithDataDir returns an agent with a data plane and a data directory, which is a copy of the golden
// one or empty.
func newAgentWithDataDir(t *testing.T, c *qt.C, golden bool) *Agent {
	t.Helper()
	agent := newTestAgent(t)
	agent.id = "proxy-1"
	agent.settings.DataDir = t.TempDir()
	agent.proxy = dataplane.New(agent.settings, agent.dataplaneState, nil, zerolog.Nop())
	agent.persister.workload = agent.proxy
	if golden {
		c.Assert(os.CopyFS(agent.settings.DataDir, os.DirFS(goldenPath(goldenData))), qt.IsNil)
	}
	return agent
}

// checkWritten compares a file in the data directory of an agent with a golden file.
func checkWritten(c *qt.C, agent *Agent, name, golden string) {
	c.Helper()
	written, err := os.ReadFile(filepath.Join(agent.settings.DataDir, name))
	c.Assert(err, qt.IsNil)
	checkGolden(c, golden, written)
}

// chainRecord returns a golden record of package chain.
func chainRecord(c *qt.C, kind string) []byte {
	c.Helper()
	record, err := os.ReadFile(filepath.Join("..", "chain", "testdata", "golden", kind+".bin"))
	c.Assert(err, qt.IsNil)
	return record
}

// TestGoldenDataDirectoryIsWrittenByteForByte writes each file of the data directory with the code of the
// process and compares it with the golden file.
func TestGoldenDataDirectoryIsWrittenByteForByte(t *testing.T) {
	c := qt.New(t)
	agent := newAgentWithDataDir(t, c, false)
	log := newChainLog(agent.process)
	_, err := log.open()
	c.Assert(err, qt.IsNil)
	c.Assert(log.persist([][]byte{chainRecord(c, "identity")}, nil), qt.IsNil)
	var records [][]byte
	for _, kind := range []string{"genesis", "view", "acceptor", "entry", "position", "history"} {
		records = append(records, chainRecord(c, kind))
	}
	c.Assert(log.persist(records, nil), qt.IsNil)
	c.Assert(log.persist([][]byte{chainRecord(c, "successor")}, nil), qt.IsNil)
	c.Assert(log.segments.Close(), qt.IsNil)
	segment := filepath.Join(chainDir, goldenSegment)
	checkWritten(c, agent, segment, filepath.Join(goldenData, segment))

	agent.state.merge(agent.now(), goldenDiskRecords())
	var live []directory.Record
	agent.state.read(func(d *directory.Directory) { live = copyRecords(d.LiveServers()) })
	c.Assert(agent.persister.saved().writeRecords(serversFile, live), qt.IsNil)
	checkWritten(c, agent, "servers", filepath.Join(goldenData, "servers"))
	agent.persister.saveProxies()
	checkWritten(c, agent, "proxies", filepath.Join(goldenData, "proxies"))
	agent.proxy.SyncPrefixes(prefixesAtServer2(1<<64-3, 7))
	agent.persister.savePrefixIndex()
	checkWritten(c, agent, "prompts", filepath.Join(goldenData, "prompts"))
}

// goldenDiskRecords returns the records of two live servers, of a lost one, which is not saved, and of two
// proxies, and a role order.
func goldenDiskRecords() []directory.Record {
	second, lost := goldenServer(), goldenServer()
	second.ID, second.Address, second.State = "server-2", "10.0.0.8:80", directory.Ready
	second.Name, second.Control, second.Member = "name-2", "10.0.0.8:81", "m2"
	lost.ID, lost.Address, lost.State = "server-3", "10.0.0.7:80", directory.Lost
	return append(goldenRecords(), second, lost, directory.Record{Kind: directory.KindProxy, ID: "proxy-3",
		Sequence: 1, State: directory.Ready, Address: "10.0.0.3"})
}

// prefixesAtServer2 returns a prefix index of one server: the order of several servers is not defined.
func prefixesAtServer2(hashes ...uint64) []scheduler.CachedPrefixes {
	return []scheduler.CachedPrefixes{{Server: "server-2", Hashes: hashes}}
}

// TestGoldenChainDirIsRead opens the directory of the chain log as the process does at its start. It then
// compacts the log to a snapshot, compares that with the golden one, and opens that too.
func TestGoldenChainDirIsRead(t *testing.T) {
	c := qt.New(t)
	agent := newAgentWithDataDir(t, c, true)
	member, err := agent.openChainMember()
	c.Assert(err, qt.IsNil)
	defer member.disk.close()
	c.Assert(member.identity, qt.Equals, "m0")
	c.Assert(member.node.View(), qt.DeepEquals, chain.View{Epoch: 300,
		Members: []chain.Member{{ID: "m0", Address: "127.0.0.1"}, {ID: "m1", Address: "10.0.0.2"},
			{ID: "m2", Address: "10.0.0.3"}},
		Chain: []chain.MemberID{"m1", "m0"}, CatchingUp: []chain.MemberID{"m0"},
		Sources: []chain.MemberID{"m1", "m2"},
		Unopened: []chain.PastChain{{Epoch: 298, Chain: []chain.MemberID{"m1", "m0", "m2"}},
			{Epoch: 299, Chain: []chain.MemberID{"m2"}}}})
	entry, known := member.node.Committed()
	c.Assert(known, qt.IsTrue)
	c.Assert(entry, qt.DeepEquals, chain.Entry{Epoch: 299, Sequence: 200, Version: 40,
		Body: []byte(goldenDocument)})
	agent.configSync.applyStored(<-member.published.committed)
	checkConfig(c, agent, 40, goldenDocument)

	c.Assert(member.disk.segments.Compact(member.node.SnapshotRecords()), qt.IsNil)
	checkWritten(c, agent, filepath.Join(chainDir, goldenCompacted), goldenCompacted)
	c.Assert(os.Remove(filepath.Join(agent.settings.DataDir, chainDir, goldenCompacted)), qt.IsNil)

	compacted := newAgentWithDataDir(t, c, false)
	dir := filepath.Join(compacted.settings.DataDir, chainDir)
	c.Assert(os.Mkdir(dir, 0o700), qt.IsNil)
	snapshot := readGolden(c, goldenCompacted)
	c.Assert(os.WriteFile(filepath.Join(dir, goldenCompacted), snapshot, 0o600), qt.IsNil)
	again, err := compacted.openChainMember()
	c.Assert(err, qt.IsNil)
	defer again.disk.close()
	c.Assert(again.node.View(), qt.DeepEquals, member.node.View())
	c.Assert(again.node.SnapshotRecords(), qt.DeepEquals, member.node.SnapshotRecords())
}

// TestGoldenSavedFilesAreRead loads the golden files as the process does at its start, writes them again and
// compares them with the golden files.
func TestGoldenSavedFilesAreRead(t *testing.T) {
	c := qt.New(t)
	agent := newAgentWithDataDir(t, c, true)
	records := goldenDiskRecords()
	servers, err := agent.persister.saved().readRecords(serversFile)
	c.Assert(err, qt.IsNil)
	c.Assert(servers, qt.DeepEquals, []directory.Record{records[0], records[3]})
	c.Assert(agent.persister.loadServers(), qt.IsTrue)
	var live []directory.Record
	agent.state.read(func(d *directory.Directory) { live = copyRecords(d.LiveServers()) })
	c.Assert(live, qt.DeepEquals, servers)
	c.Assert(agent.state.Servers().ByID("server-2"), qt.DeepEquals, servers[1].Server())
	// The last prefix that was added is the most recent one.
	c.Assert(agent.proxy.KnownPrefixes(), qt.DeepEquals, prefixesAtServer2(1<<64-3, 7))
	proxies, err := agent.persister.saved().readRecords(proxiesFile)
	c.Assert(err, qt.IsNil)
	c.Assert(proxies, qt.DeepEquals, []directory.Record{{Kind: directory.KindProxy, Address: "10.0.0.2"},
		{Kind: directory.KindProxy, Address: "10.0.0.3"}})
	agent.persister.loadProxies()
	c.Assert(agent.knownProxies.addresses(), qt.DeepEquals, []string{"10.0.0.2", "10.0.0.3"})
	prefixes, err := agent.persister.saved().read(prefixIndexFile)
	c.Assert(err, qt.IsNil)
	var index peerproto.LoadReport
	c.Assert(peerproto.Decode(prefixes, &index), qt.IsNil)
	c.Assert(index.FullIndex, qt.IsTrue)
	c.Assert(decodePrefixes(index.Prefixes), qt.DeepEquals, prefixesAtServer2(1<<64-3, 7))

	for _, name := range []string{"servers", "prompts", "proxies"} {
		c.Assert(os.Remove(filepath.Join(agent.settings.DataDir, name)), qt.IsNil)
	}
	agent.persister.saveProxies()
	c.Assert(agent.persister.saved().write(prefixIndexFile, peerproto.Encode(&index)), qt.IsNil)
	checkWritten(c, agent, "proxies", filepath.Join(goldenData, "proxies"))
	checkWritten(c, agent, "prompts", filepath.Join(goldenData, "prompts"))
	c.Assert(agent.persister.saved().writeRecords(serversFile, servers), qt.IsNil)
	checkWritten(c, agent, "servers", filepath.Join(goldenData, "servers"))
}
