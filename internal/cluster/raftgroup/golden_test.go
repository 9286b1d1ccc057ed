package raftgroup

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cresshub/internal/testbed/goldenfile"
)

const goldenID = 0x8123456789abcdef // of a disk; one is drawn when its file is made

// goldenWire is a connection that others' bytes are read of and this program's are kept of.
type goldenWire struct {
	net.Conn
	in  io.Reader
	out bytes.Buffer
}

func (w *goldenWire) Read(b []byte) (int, error) { return w.in.Read(b) }
func (w *goldenWire) Write(b []byte) (int, error) {
	return w.out.Write(b)
}
func (*goldenWire) SetDeadline(time.Time) error      { return nil }
func (*goldenWire) SetReadDeadline(time.Time) error  { return nil }
func (*goldenWire) SetWriteDeadline(time.Time) error { return nil }
func (*goldenWire) Close() error                     { return nil }
func (*goldenWire) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// DialContext has it be the connection to any member.
func (w *goldenWire) DialContext(context.Context, string, string) (net.Conn, error) { return w, nil }

// goldenHost is a member without a disk, a listener or goroutines.
func goldenHost() *Host {
	h := &Host{opts: Options{Name: "odori-1", Label: "sapporo"}, log: slog.New(slog.DiscardHandler),
		store: &store{id: goldenID}, groups: map[string]*group{}, leaderHints: map[string]string{}}
	h.net = &network{host: h, addresses: map[uint64]string{}, senders: map[uint64]*sender{},
		idleConns: map[string][]net.Conn{}, conns: map[net.Conn]bool{}, stop: make(chan struct{})}
	return h
}

func goldenGroup(h *Host) *group {
	g := &group{name: "g", host: h, log: h.log, stateMachine: &adder{}, inbox: make(chan *raftpb.Message, 8),
		tasks: make(chan func(), 8), done: make(chan struct{}), memberNames: map[uint64]string{},
		proposals: map[uint64]chan outcome{}, confState: &raftpb.ConfState{Voters: []uint64{goldenID, 2, 3}}}
	h.groups["g"] = g
	return g
}

func goldenProto(t *testing.T, name string, got, want proto.Message) {
	t.Helper()
	if !proto.Equal(got, want) {
		t.Errorf("%s: read as\n%v, not\n%v", name, got, want)
	}
}

func goldenMessage() *raftpb.Message {
	kind := raftpb.MsgApp
	return &raftpb.Message{Type: &kind, To: proto.Uint64(goldenID), From: proto.Uint64(2), Term: proto.Uint64(3),
		LogTerm: proto.Uint64(4), Index: proto.Uint64(5), Entries: entries(6, 7), Commit: proto.Uint64(8)}
}

// goldenFrame writes a value as a frame of that kind, and reads it back from the file.
func goldenFrame[T any](t *testing.T, name string, kind byte, want T) []byte {
	t.Helper()
	goldenfile.CheckFieldsSet(t, name, want)
	raw, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	w := &goldenWire{}
	if err := writeFrame(w, kind, raw); err != nil {
		t.Fatal(err)
	}
	held := goldenfile.CheckBytes(t, name, w.out.Bytes())
	is, body, err := readFrame(bufio.NewReader(bytes.NewReader(held)), maxFrameSize)
	if err != nil {
		t.Fatal(err)
	}
	var got T
	if err := json.Unmarshal(body, &got); err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, name, is, kind)
	goldenfile.CheckDecoded(t, name, got, want)
	return held
}

func TestGoldenFramesAreReadAndWrittenByteForByte(t *testing.T) {
	h := goldenHost()
	g := goldenGroup(h)
	hi := goldenFrame(t, "hello.bin", frameHello, hello{protocolVersion, "sapporo", "odori-1", goldenID})
	ask := request{Kind: "propose", Group: "g", From: "odori-1", ID: goldenID, Data: []byte{0, 1, 254, 255},
		TimeoutMS: 1500}
	goldenFrame(t, "call.bin", frameRequest, ask)
	goldenFrame(t, "answer.bin", frameResponse, response{Err: ErrNotLeader.Error(), Leader: "susukino-2",
		Result: []byte(`{"status":"counted"}`)})

	// Hello as dial says it, and a message of raft's as a sender writes it.
	w := &goldenWire{}
	h.net.dialer = w
	c, err := h.net.dial(t.Context(), "susukino-2:1")
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckBytes(t, "hello.bin", w.out.Bytes())
	w.out.Reset()
	if !(&sender{net: h.net, to: goldenID}).write(c, outboundMsg{"g", goldenMessage()}) {
		t.Error("the message was not written")
	}
	m := goldenfile.CheckBytes(t, "raft.bin", w.out.Bytes())

	// What another member says: hello, the message, a call on a group that is not here.
	nobody := goldenFrame(t, "call-elsewhere.bin", frameRequest, request{Kind: "read", Group: "elsewhere",
		From: "susukino-2", ID: 2, Data: []byte("{}"), TimeoutMS: 60_000})
	in := &goldenWire{in: bytes.NewReader(bytes.Join([][]byte{hi, m, nobody}, nil))}
	if err := h.net.serveConn(in); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	select {
	case got := <-g.inbox:
		goldenProto(t, "raft.bin", got, goldenMessage())
	default:
		t.Error("raft.bin: no message came")
	}
	reply := goldenfile.CheckBytes(t, "answer-elsewhere.bin", in.out.Bytes())

	// The same from the caller's side. How long it waits is in the request, and depends on the clock: see above.
	h.net.dialer = &goldenWire{in: bytes.NewReader(reply)}
	var a response
	if err := h.net.call(t.Context(), "susukino-2:1", ask, &a); err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "answer-elsewhere.bin", a, response{Err: ErrNotLeader.Error()})
}

// Errors cross as their text and are known by it.
func TestGoldenErrorsAreReadAndWrittenByteForByte(t *testing.T) {
	var texts []string
	for _, e := range []error{ErrNotLeader, ErrForming, ErrOutcomeUnknown, ErrBusy, ErrStopped, ErrDisk, errGroupExists,
		errNotFirstRanked, errAlreadyVoted} {
		texts = append(texts, e.Error())
	}
	goldenfile.CheckJSON(t, "errors.json", texts)
}

func TestGoldenAnswersAreReadAndWrittenByteForByte(t *testing.T) {
	goldenfile.CheckJSON(t, "roster.json", Roster{Disks: []uint64{1, goldenID}, Applied: 2})
	goldenfile.CheckJSON(t, "status.json", Status{Group: "ledger", Role: "leader", Leader: "odori-1", Term: 1,
		Commit: 2, Applied: 3, Snapshot: 4, LogBytes: 5, Voters: []string{"odori-1", "susukino-2"},
		Learners: []string{"maruyama-3"}, Replicas: []ReplicaStatus{{Member: "susukino-2",
			Disk: formatDiskID(goldenID), Learner: true, LagEntries: 6, Active: true}},
		Disk: formatDiskID(2), Leaderless: true, Stalled: "no space",
		Stats: GroupStats{Elections: 11, Snapshots: 12, Restored: 13, ConfChanges: 14, Proposed: 15,
			Rejected: 16, DiskErrors: 17, SlowSyncs: 18}})
}

// A snapshot's data is a map by its fields' names. It has one member: several come in a map's order.
func TestGoldenSnapshotIsReadAndWrittenByteForByte(t *testing.T) {
	g := goldenGroup(goldenHost())
	g.stateMachine = &adder{sum: 41, n: 42}
	raw, err := g.encodeState(map[uint64]string{goldenID: "odori-1"})
	if err != nil {
		t.Fatal(err)
	}
	held := goldenfile.CheckBytes(t, "snapshot.bin", raw)
	into := goldenGroup(goldenHost())
	if err := into.restoreSnapshot(&raftpb.Snapshot{Data: held, Metadata: &raftpb.SnapshotMetadata{
		Index: proto.Uint64(7), Term: proto.Uint64(2)}}); err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "snapshot.bin", into.memberNames, map[uint64]string{goldenID: "odori-1"})
	goldenfile.CheckDecoded(t, "snapshot.bin", into.stateMachine, StateMachine(&adder{sum: 41, n: 42}))
}

// goldenLeader has raft lead a group of one in memory, so that it takes what is proposed.
func goldenLeader(t *testing.T, g *group) {
	t.Helper()
	ms := raft.NewMemoryStorage()
	if err := ms.ApplySnapshot(&raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1),
		Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: []uint64{goldenID}}}}); err != nil {
		t.Fatal(err)
	}
	var err error
	if g.rawNode, err = raft.NewRawNode(&raft.Config{ID: goldenID, ElectionTick: 10, HeartbeatTick: 1,
		Storage: ms, Applied: 1, MaxSizePerMsg: maxSizePerMsg, MaxInflightMsgs: maxInflightMsgs,
		Logger: raftLogger{g.log}}); err != nil {
		t.Fatal(err)
	}
	if err := g.rawNode.Campaign(); err != nil {
		t.Fatal(err)
	}
	for g.rawNode.HasReady() {
		rd := g.rawNode.Ready()
		if err := ms.Append(rd.Entries); err != nil {
			t.Fatal(err)
		}
		g.rawNode.Advance(rd)
	}
}

// A command stands in raft's log behind the identity of the disk that proposed it and a number of its own.
func TestGoldenProposalIsReadAndWrittenByteForByte(t *testing.T) {
	g := goldenGroup(goldenHost())
	goldenLeader(t, g)
	g.lastRequestID = 0x0102030405060707
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // nobody waits for the outcome
	if _, err := g.propose(ctx, []byte("17")); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatal(err)
	}
	(<-g.tasks)()
	rd := g.rawNode.Ready()
	if len(rd.Entries) != 1 {
		t.Fatalf("%d entries, not 1", len(rd.Entries))
	}
	held := goldenfile.CheckBytes(t, "proposal.bin", rd.Entries[0].GetData())

	out := make(chan outcome, 1)
	other := goldenGroup(goldenHost())
	other.proposals[0x0102030405060708] = out
	other.applyEntry(&raftpb.Entry{Index: proto.Uint64(9), Term: proto.Uint64(1), Data: held})
	goldenfile.CheckDecoded(t, "proposal.bin", other.stateMachine, StateMachine(&adder{sum: 17, n: 1}))
	select {
	case o := <-out:
		goldenfile.CheckDecoded(t, "proposal.bin", o.result, any(int64(17)))
	default:
		t.Error("proposal.bin: the proposer got no outcome")
	}
}

// A change of members carries the member's name, which every replica learns of it.
func TestGoldenChangeOfMembersIsRead(t *testing.T) {
	kind := raftpb.ConfChangeAddLearnerNode
	raw, err := proto.Marshal(&raftpb.ConfChange{Type: &kind, NodeId: proto.Uint64(2),
		Context: []byte("susukino-2")})
	if err != nil {
		t.Fatal(err)
	}
	held := goldenfile.CheckBytes(t, "change.bin", raw)
	g := goldenGroup(goldenHost())
	goldenLeader(t, g)
	change := raftpb.EntryConfChange
	g.applyEntry(&raftpb.Entry{Type: &change, Index: proto.Uint64(3), Term: proto.Uint64(2), Data: held})
	goldenfile.CheckDecoded(t, "change.bin", g.memberNames, map[uint64]string{2: "susukino-2"})
	goldenfile.CheckDecoded(t, "change.bin", g.confState.GetLearners(), []uint64{2})
}

// goldenRecords is what a file holds, a line a record: its buckets, its key, its value.
func goldenRecords(t *testing.T, s *store) string {
	t.Helper()
	var out strings.Builder
	var walk func(path string, b *bolt.Bucket) error
	walk = func(path string, b *bolt.Bucket) error {
		return b.ForEach(func(k, v []byte) error {
			if v == nil {
				return walk(path+">"+string(k), b.Bucket(k))
			}
			_, err := fmt.Fprintf(&out, "%s %x %x\n", path, k, v)
			return err
		})
	}
	if err := s.db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bolt.Bucket) error { return walk(string(name), b) })
	}); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// goldenStore is a file in a new folder that holds the records of text.
func goldenStore(t *testing.T, text string) *store {
	t.Helper()
	dir := t.TempDir()
	db, err := bolt.Open(filepath.Join(dir, "replica.db"), 0o600, &bolt.Options{Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Update(func(tx *bolt.Tx) error {
		for line := range strings.Lines(text) {
			var path string
			var key, value []byte
			if _, err := fmt.Sscanf(line, "%s %x %x\n", &path, &key, &value); err != nil {
				return err
			}
			top, within, nested := strings.Cut(path, ">")
			b, err := tx.CreateBucketIfNotExists([]byte(top))
			if err == nil && nested {
				b, err = b.CreateBucketIfNotExists([]byte(within))
			}
			if err != nil {
				return err
			}
			if err := b.Put(key, value); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	s, err := openStore(dir, "sapporo", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.close() })
	return s
}

// The records are held to the file, not the pages: where those lie is bbolt's own. The disk's identity is
// drawn, so that a given one is put in its place.
func TestGoldenStoreIsReadAndWrittenByteForByte(t *testing.T) {
	s := goldenStore(t, "")
	if err := s.update(func(tx *bolt.Tx) error {
		b := tx.Bucket(metaBucket)
		if raw := b.Get([]byte("id")); len(raw) != 8 || binary.BigEndian.Uint64(raw) != s.id {
			t.Errorf("the identity drawn is %x, not %x", raw, s.id)
		}
		return b.Put([]byte("id"), binary.BigEndian.AppendUint64(nil, goldenID))
	}); err != nil {
		t.Fatal(err)
	}
	snap := &raftpb.Snapshot{Data: []byte("state"), Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(4),
		Term: proto.Uint64(2), ConfState: &raftpb.ConfState{Voters: []uint64{goldenID, 2, 3},
			Learners: []uint64{4}, AutoLeave: proto.Bool(false)}}}
	hard := &raftpb.HardState{Term: proto.Uint64(3), Vote: proto.Uint64(goldenID), Commit: proto.Uint64(5)}
	if err := s.createGroup("ledger"); err != nil {
		t.Fatal(err)
	}
	size, err := s.save("ledger", &raft.Ready{Snapshot: snap, HardState: hard, Entries: entries(5, 6)})
	if err != nil {
		t.Fatal(err)
	}
	// The vote to found a group, as it is given.
	h := goldenHost()
	h.store, h.opts.Groups = s, []string{"ledger"}
	h.peers = []Peer{{Address: "susukino-2:1"}}
	h.peers[0].Name, h.peers[0].ReplicaID, h.peers[0].Live = "susukino-2", 2, true
	req := request{Kind: "vote", Group: "ledger", From: "susukino-2", ID: 2}
	if err := h.handleBootstrapVote(req); err != nil {
		t.Fatal(err)
	}
	held := goldenfile.CheckBytes(t, "store.txt", []byte(goldenRecords(t, s)))

	s = goldenStore(t, string(held))
	goldenfile.CheckDecoded(t, "store.txt", s.id, uint64(goldenID))
	goldenfile.CheckDecoded(t, "store.txt", s.groups(), []string{"ledger"})
	goldenfile.CheckDecoded(t, "store.txt", s.metaValue("vote/ledger"), "0000000000000002")
	ms, got, err := s.load("ledger")
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "store.txt", got, size)
	gotHard, _, err := ms.InitialState()
	if err != nil {
		t.Fatal(err)
	}
	goldenProto(t, "store.txt", gotHard, hard)
	gotSnap, err := ms.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	goldenProto(t, "store.txt", gotSnap, snap)
	log, err := ms.Entries(5, 7, 1<<20)
	if err != nil || len(log) != 2 {
		t.Fatalf("%d entries, %v", len(log), err)
	}
	for i, e := range entries(5, 6) {
		goldenProto(t, "store.txt", log[i], e)
	}
}
