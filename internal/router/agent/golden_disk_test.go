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

// The golden data directory is that of a machine with a disk, as testdata/golden/data holds it.
const (
	goldenData      = "data"
	goldenSegment   = "0000000000000001.segment"
	goldenCompacted = "0000000000000002.segment"
)

// diskAgent is a process with a front and with a data directory, which is a copy of the golden one or empty.
func diskAgent(t *testing.T, c *qt.C, golden bool) *Agent {
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

// checkWritten compares a file of a process's data directory with a golden one.
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

// TestGoldenDataDirectoryIsWrittenByteForByte writes each file of the directory with the code that the
// process writes it with.
func TestGoldenDataDirectoryIsWrittenByteForByte(t *testing.T) {
	c := qt.New(t)
	agent := diskAgent(t, c, false)
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
	segment := filepath.Join(chainFolder, goldenSegment)
	checkWritten(c, agent, segment, filepath.Join(goldenData, segment))

	agent.state.merge(agent.now(), goldenDiskRecords())
	var live []directory.Record
	agent.state.read(func(d *directory.Directory) { live = copyRecords(d.LiveServers()) })
	c.Assert(agent.persister.saved().writeRecords(serversFile, live), qt.IsNil)
	checkWritten(c, agent, "servers", filepath.Join(goldenData, "servers"))
	agent.persister.saveProxies()
	checkWritten(c, agent, "proxies", filepath.Join(goldenData, "proxies"))
	agent.proxy.SyncPrefixes(promptsAt(1<<64-3, 7))
	agent.persister.savePrefixIndex()
	checkWritten(c, agent, "prompts", filepath.Join(goldenData, "prompts"))
}

// goldenDiskRecords are two servers that run, one that is lost, which is not saved, and two proxies.
func goldenDiskRecords() []directory.Record {
	second, lost := goldenServer(), goldenServer()
	second.ID, second.Address, second.State = "server-2", "10.0.0.8:80", directory.Ready
	second.Name, second.Control, second.Member = "name-2", "10.0.0.8:81", "m2"
	lost.ID, lost.Address, lost.State = "server-3", "10.0.0.7:80", directory.Lost
	return append(goldenRecords(), second, lost, directory.Record{Kind: directory.KindProxy, ID: "proxy-3",
		Sequence: 1, State: directory.Ready, Address: "10.0.0.3"})
}

// promptsAt are prompts at one server, as the front tells those of more in no order.
func promptsAt(names ...uint64) []scheduler.CachedPrefixes {
	return []scheduler.CachedPrefixes{{Server: "server-2", Hashes: names}}
}

// TestGoldenChainFolderIsRead opens the folder of the control state as the process does at its start, and
// begins the log anew with a snapshot.
func TestGoldenChainFolderIsRead(t *testing.T) {
	c := qt.New(t)
	agent := diskAgent(t, c, true)
	member, err := agent.openChainMember()
	c.Assert(err, qt.IsNil)
	defer member.disk.close()
	c.Assert(member.identity, qt.Equals, "m0")
	c.Assert(member.machine.View(), qt.DeepEquals, chain.View{Epoch: 300,
		Members: []chain.Member{{ID: "m0", Address: "127.0.0.1"}, {ID: "m1", Address: "10.0.0.2"},
			{ID: "m2", Address: "10.0.0.3"}},
		Chain: []chain.MemberID{"m1", "m0"}, CatchingUp: []chain.MemberID{"m0"},
		Sources: []chain.MemberID{"m1", "m2"},
		Unopened: []chain.PastChain{{Epoch: 298, Chain: []chain.MemberID{"m1", "m0", "m2"}},
			{Epoch: 299, Chain: []chain.MemberID{"m2"}}}})
	entry, known := member.machine.Committed()
	c.Assert(known, qt.IsTrue)
	c.Assert(entry, qt.DeepEquals, chain.Entry{Epoch: 299, Sequence: 200, Version: 40,
		Body: []byte(goldenDocument)})
	agent.configSync.applyStored(<-member.published.committed)
	checkConfig(c, agent, 40, goldenDocument)

	c.Assert(member.disk.segments.Compact(member.machine.SnapshotRecords()), qt.IsNil)
	checkWritten(c, agent, filepath.Join(chainFolder, goldenCompacted), goldenCompacted)
	c.Assert(os.Remove(filepath.Join(agent.settings.DataDir, chainFolder, goldenCompacted)), qt.IsNil)

	compacted := diskAgent(t, c, false)
	folder := filepath.Join(compacted.settings.DataDir, chainFolder)
	c.Assert(os.Mkdir(folder, 0o700), qt.IsNil)
	snapshot := readGolden(c, goldenCompacted)
	c.Assert(os.WriteFile(filepath.Join(folder, goldenCompacted), snapshot, 0o600), qt.IsNil)
	again, err := compacted.openChainMember()
	c.Assert(err, qt.IsNil)
	defer again.disk.close()
	c.Assert(again.machine.View(), qt.DeepEquals, member.machine.View())
	c.Assert(again.machine.SnapshotRecords(), qt.DeepEquals, member.machine.SnapshotRecords())
}

// TestGoldenSavedFilesAreRead loads the files as the process does at its start, and writes them again.
func TestGoldenSavedFilesAreRead(t *testing.T) {
	c := qt.New(t)
	agent := diskAgent(t, c, true)
	records := goldenDiskRecords()
	servers, err := agent.persister.saved().readRecords(serversFile)
	c.Assert(err, qt.IsNil)
	c.Assert(servers, qt.DeepEquals, []directory.Record{records[0], records[3]})
	c.Assert(agent.persister.loadServers(), qt.IsTrue)
	var live []directory.Record
	agent.state.read(func(d *directory.Directory) { live = copyRecords(d.LiveServers()) })
	c.Assert(live, qt.DeepEquals, servers)
	c.Assert(agent.state.Servers().ByID("server-2"), qt.DeepEquals, servers[1].Server())
	// the last one taken in is the newest
	c.Assert(agent.proxy.KnownPrefixes(), qt.DeepEquals, promptsAt(1<<64-3, 7))
	proxies, err := agent.persister.saved().readRecords(proxiesFile)
	c.Assert(err, qt.IsNil)
	c.Assert(proxies, qt.DeepEquals, []directory.Record{{Kind: directory.KindProxy, Address: "10.0.0.2"},
		{Kind: directory.KindProxy, Address: "10.0.0.3"}})
	agent.persister.loadProxies()
	c.Assert(agent.knownProxies.addresses(), qt.DeepEquals, []string{"10.0.0.2", "10.0.0.3"})
	prompts, err := agent.persister.saved().read(promptsFile)
	c.Assert(err, qt.IsNil)
	var work peerproto.LoadReport
	c.Assert(peerproto.Decode(prompts, &work), qt.IsNil)
	c.Assert(work.FullIndex, qt.IsTrue)
	c.Assert(decodePrefixes(work.Prefixes), qt.DeepEquals, promptsAt(1<<64-3, 7))

	for _, name := range []string{"servers", "prompts", "proxies"} {
		c.Assert(os.Remove(filepath.Join(agent.settings.DataDir, name)), qt.IsNil)
	}
	agent.persister.saveProxies()
	c.Assert(agent.persister.saved().write(promptsFile, peerproto.Encode(&work)), qt.IsNil)
	checkWritten(c, agent, "proxies", filepath.Join(goldenData, "proxies"))
	checkWritten(c, agent, "prompts", filepath.Join(goldenData, "prompts"))
	c.Assert(agent.persister.saved().writeRecords(serversFile, servers), qt.IsNil)
	checkWritten(c, agent, "servers", filepath.Join(goldenData, "servers"))
}
