package chain

import (
	"flag"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// The bodies of the golden entries: a full configuration, and the result of a patch, which package
// fleetconfig stores together with the patch.
const (
	goldenDocument  = `{"edition":40,"routes":[],"depots_list":[{"name":"s"}]}`
	goldenPatch     = `{"edition":41}`
	goldenSuccessor = "\x01\x50\x0e" + goldenPatch + `{"edition":41,"routes":[],"depots_list":[{"name":"s"}]}`
)

// goldenView is a view with all fields set.
func goldenView(epoch uint64) View {
	return View{Epoch: epoch, Members: []Member{{"m0", "127.0.0.1"}, {"m1", "10.0.0.2"}, {"m2", "10.0.0.3"}},
		Chain: []MemberID{"m1", "m0"}, CatchingUp: []MemberID{"m0"}, Sources: []MemberID{"m1", "m2"},
		Unopened: []PastChain{{Epoch: epoch - 2, Chain: []MemberID{"m1", "m0", "m2"}},
			{Epoch: epoch - 1, Chain: []MemberID{"m2"}}}}
}

// goldenDigest is a digest whose bytes count up from first.
func goldenDigest(first byte) (digest Digest) {
	for i := range digest {
		digest[i] = first + byte(i)
	}
	return digest
}

// goldenHistory is the history of the accepted entry of goldenState.
func goldenHistory() []PastEntry {
	return []PastEntry{{Version: -3, Digest: goldenDigest(1)}, {Version: 1 << 33, Digest: goldenDigest(100)}}
}

// goldenState is a durable state with all values set except predecessor.
func goldenState() *durableState {
	config := Config{}.withDefaults()
	return &durableState{
		id: "m0", bootstrapAllowed: true, acceptedFirstView: goldenView(3), view: goldenView(300),
		acceptor: acceptorState{promised: ProposalNumber{Counter: 9, Proposer: "m2"},
			accepted:     ProposalNumber{Counter: 8, Proposer: "m1"},
			acceptedView: goldenView(301)},
		accepted: config.newAcceptedEntry(Entry{Epoch: 299, Sequence: 200, Version: 40,
			Body: []byte(goldenDocument)},
			goldenHistory()),
		committedSequence: 200,
		sealed:            298,
	}
}

// goldenSuccessorState is goldenState after the next write, which is persisted as a recordSuccessor.
func goldenSuccessorState() *durableState {
	state, config := goldenState(), Config{}.withDefaults()
	state.predecessor = state.accepted
	history := append(goldenHistory(), PastEntry{Version: 40, Digest: digestOfBody([]byte(goldenDocument))})
	entry := Entry{Epoch: 300, Sequence: 201, Version: 41, Body: []byte(goldenSuccessor)}
	state.accepted = config.newAcceptedEntry(entry, history)
	return state
}

// goldenRecords lists the golden file of each kind of record and the state that it is encoded from, in the
// order in which the records are applied.
func goldenRecords() []struct {
	kind  int
	file  string
	state *durableState
} {
	state := goldenState()
	return []struct {
		kind  int
		file  string
		state *durableState
	}{
		{recordIdentity, "identity.bin", state}, {recordFirstView, "genesis.bin", state},
		{recordView, "view.bin", state}, {recordAcceptor, "acceptor.bin", state},
		{recordEntry, "entry.bin", state}, {recordPosition, "position.bin", state},
		{recordHistory, "history.bin", state}, {recordSuccessor, "successor.bin", goldenSuccessorState()},
	}
}

func readGolden(c *qt.C, name string) []byte {
	c.Helper()
	golden, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	c.Assert(err, qt.IsNil)
	return golden
}

// TestGoldenRecordsAreWrittenByteForByte encodes a record of each kind and compares it with its golden file.
func TestGoldenRecordsAreWrittenByteForByte(t *testing.T) {
	c := qt.New(t)
	covered := map[int]bool{}
	for _, golden := range goldenRecords() {
		covered[golden.kind] = true
		written := golden.state.encodeRecord(golden.kind)
		if *update {
			folder := filepath.Join("testdata", "golden")
			c.Assert(os.MkdirAll(folder, 0o755), qt.IsNil)
			c.Assert(os.WriteFile(filepath.Join(folder, golden.file), written, 0o644), qt.IsNil)
		}
		c.Check(written, qt.DeepEquals, readGolden(c, golden.file), qt.Commentf("%s", golden.file))
	}
	for kind := recordIdentity; kind < recordKinds; kind++ {
		c.Check(covered[kind], qt.IsTrue, qt.Commentf("no golden file of records of kind %d", kind))
	}
}

// TestGoldenRecordsAreRead applies the golden records one after the other. They restore all values of the
// state, and the recordSuccessor makes the entry before it the predecessor.
func TestGoldenRecordsAreRead(t *testing.T) {
	c := qt.New(t)
	config := Config{}.withDefaults()
	read := &durableState{}
	var records [][]byte
	for _, golden := range goldenRecords() {
		record := readGolden(c, golden.file)
		records = append(records, record)
		c.Assert(read.apply(record, &config), qt.IsNil, qt.Commentf("%s", golden.file))
		if golden.kind == recordHistory {
			checkState(c, read, goldenState())
		}
	}
	checkState(c, read, goldenSuccessorState())

	config.Self, config.HasDisk = Member{"other", "127.0.0.1"}, true
	config.Random = rand.New(rand.NewSource(1))
	node, effects, err := Open(config, 0, records)
	c.Assert(err, qt.IsNil)
	c.Assert(effects.Persist, qt.HasLen, 0)
	c.Assert(node.Self(), qt.Equals, Member{"m0", "127.0.0.1"})
	c.Assert(node.View(), qt.DeepEquals, goldenView(300))
	entry, known := node.Committed()
	c.Assert(known, qt.IsTrue)
	c.Assert(entry, qt.DeepEquals, goldenState().accepted.Entry)
	state := goldenSuccessorState()
	for i, record := range node.SnapshotRecords() {
		c.Check(record, qt.DeepEquals, state.encodeRecord(recordIdentity+i))
	}
}

func checkState(c *qt.C, read, wanted *durableState) {
	c.Helper()
	c.Assert(read.id, qt.Equals, wanted.id)
	c.Assert(read.bootstrapAllowed, qt.Equals, wanted.bootstrapAllowed)
	c.Assert(read.acceptedFirstView, qt.DeepEquals, wanted.acceptedFirstView)
	c.Assert(read.view, qt.DeepEquals, wanted.view)
	c.Assert(read.acceptor.promised, qt.Equals, wanted.acceptor.promised)
	c.Assert(read.acceptor.accepted, qt.Equals, wanted.acceptor.accepted)
	c.Assert(read.acceptor.acceptedView, qt.DeepEquals, wanted.acceptor.acceptedView)
	checkAcceptedEntry(c, &read.accepted, &wanted.accepted)
	checkAcceptedEntry(c, &read.predecessor, &wanted.predecessor)
	c.Assert(read.committedSequence, qt.Equals, wanted.committedSequence)
	c.Assert(read.sealed, qt.Equals, wanted.sealed)
}

func checkAcceptedEntry(c *qt.C, read, wanted *acceptedEntry) {
	c.Helper()
	c.Assert(read.Entry, qt.DeepEquals, wanted.Entry)
	c.Assert(read.digest, qt.Equals, wanted.digest)
	c.Assert(read.history, qt.DeepEquals, wanted.history)
}
