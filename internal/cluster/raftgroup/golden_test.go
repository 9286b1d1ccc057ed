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

const goldenID = 0x8123456789abcdef // replica ID used in place of the random one of a new store

// recordingConn is a connection that reads prepared bytes and records what is written to it.
type recordingConn struct {
	net.Conn
	in  io.Reader
	out bytes.Buffer
}

func (w *recordingConn) Read(b []byte) (int, error) { return w.in.Read(b) }
func (w *recordingConn) Write(b []byte) (int, error) {
	return w.out.Write(b)
}
func (*recordingConn) SetDeadline(time.Time) error      { return nil }
func (*recordingConn) SetReadDeadline(time.Time) error  { return nil }
func (*recordingConn) SetWriteDeadline(time.Time) error { return nil }
func (*recordingConn) Close() error                     { return nil }
func (*recordingConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// DialContext returns w as the connection to any member.
func (w *recordingConn) DialContext(context.Context, string, string) (net.Conn, error) { return w, nil }

// goldenHost returns a Host without a disk, a listener or goroutines.
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

func checkProtoEqual(t *testing.T, name string, got, want proto.Message) {
	t.Helper()
	if !proto.Equal(got, want) {
		t.Errorf("%s: decoded as\n%v, want\n%v", name, got, want)
	}
}

func goldenMessage() *raftpb.Message {
	kind := raftpb.MsgApp
	return &raftpb.Message{Type: &kind, To: proto.Uint64(goldenID), From: proto.Uint64(2), Term: proto.Uint64(3),
		LogTerm: proto.Uint64(4), Index: proto.Uint64(5), Entries: testEntries(6, 7), Commit: proto.Uint64(8)}
}

// goldenFrame checks that a value is written as the frame in the golden file and decoded from it, and returns
// the frame.
func goldenFrame[T any](t *testing.T, name string, kind byte, want T) []byte {
	t.Helper()
	goldenfile.CheckFieldsSet(t, name, want)
	raw, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	w := &recordingConn{}
	if err := writeFrame(w, kind, raw); err != nil {
		t.Fatal(err)
	}
	golden := goldenfile.CheckBytes(t, name, w.out.Bytes())
	gotKind, body, err := readFrame(bufio.NewReader(bytes.NewReader(golden)), maxFrameSize)
	if err != nil {
		t.Fatal(err)
	}
	var got T
	if err := json.Unmarshal(body, &got); err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, name, gotKind, kind)
	goldenfile.CheckDecoded(t, name, got, want)
	return golden
}

func TestGoldenFramesAreReadAndWrittenByteForByte(t *testing.T) {
	h := goldenHost()
	g := goldenGroup(h)
	helloFrame := goldenFrame(t, "hello.bin", frameHello, hello{protocolVersion, "sapporo", "odori-1", goldenID})
	proposeReq := request{Kind: "propose", Group: "g", From: "odori-1", ID: goldenID,
		Data: []byte{0, 1, 254, 255}, TimeoutMS: 1500}
	goldenFrame(t, "call.bin", frameRequest, proposeReq)
	goldenFrame(t, "answer.bin", frameResponse, response{Err: ErrNotLeader.Error(), Leader: "susukino-2",
		Result: []byte(`{"status":"counted"}`)})

	// The hello as dial sends it, and a Raft message as a sender writes it.
	w := &recordingConn{}
	h.net.dialer = w
	conn, err := h.net.dial(t.Context(), "susukino-2:1")
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckBytes(t, "hello.bin", w.out.Bytes())
	w.out.Reset()
	if !(&sender{net: h.net, replicaID: goldenID}).write(conn, outboundMsg{"g", goldenMessage()}) {
		t.Error("the Raft message was not written")
	}
	raftFrame := goldenfile.CheckBytes(t, "raft.bin", w.out.Bytes())

	// Frames from another member: hello, Raft message, and a request for a group that this Host has no
	// replica of.
	requestFrame := goldenFrame(t, "call-elsewhere.bin", frameRequest, request{Kind: "read", Group: "elsewhere",
		From: "susukino-2", ID: 2, Data: []byte("{}"), TimeoutMS: 60_000})
	in := &recordingConn{in: bytes.NewReader(bytes.Join([][]byte{helloFrame, raftFrame, requestFrame}, nil))}
	if err := h.net.serveConn(in); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	select {
	case got := <-g.inbox:
		checkProtoEqual(t, "raft.bin", got, goldenMessage())
	default:
		t.Error("raft.bin: no message was delivered to the group")
	}
	reply := goldenfile.CheckBytes(t, "answer-elsewhere.bin", in.out.Bytes())

	// The same request and response at the caller. The request holds the remaining time, which depends on the
	// clock, so that its bytes are checked above instead.
	h.net.dialer = &recordingConn{in: bytes.NewReader(reply)}
	var resp response
	if err := h.net.call(t.Context(), "susukino-2:1", proposeReq, &resp); err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "answer-elsewhere.bin", resp, response{Err: ErrNotLeader.Error()})
}

// Members send each other the texts of errors and recognize errors by them.
func TestGoldenErrorsAreReadAndWrittenByteForByte(t *testing.T) {
	var texts []string
	for _, e := range []error{ErrNotLeader, ErrTooFewVoters, ErrOutcomeUnknown, ErrBusy, ErrStopped, ErrDisk,
		errGroupExists, errNotFirstRanked, errAlreadyVoted} {
		texts = append(texts, e.Error())
	}
	goldenfile.CheckJSON(t, "errors.json", texts)
}

func TestGoldenRosterAndStatusByteForByte(t *testing.T) {
	goldenfile.CheckJSON(t, "roster.json", Roster{ReplicaIDs: []uint64{1, goldenID}, Applied: 2})
	goldenfile.CheckJSON(t, "status.json", Status{Group: "ledger", Role: "leader", Leader: "odori-1", Term: 1,
		Commit: 2, Applied: 3, Snapshot: 4, LogBytes: 5, Voters: []string{"odori-1", "susukino-2"},
		Learners: []string{"maruyama-3"}, Replicas: []ReplicaStatus{{Member: "susukino-2",
			Disk: formatDiskID(goldenID), Learner: true, LagEntries: 6, Active: true}},
		Disk: formatDiskID(2), Leaderless: true, Stalled: "no space",
		Stats: GroupStats{Elections: 11, SnapshotsTaken: 12, SnapshotsInstalled: 13, ConfChanges: 14, Proposed: 15,
			Rejected: 16, DiskErrors: 17, SlowSyncs: 18}})
}

// A snapshot's data is a msgpack map from field names to values. It lists only one member here, as several
// would be encoded in random order.
func TestGoldenSnapshotIsReadAndWrittenByteForByte(t *testing.T) {
	g := goldenGroup(goldenHost())
	g.stateMachine = &adder{sum: 41, n: 42}
	raw, err := g.encodeState(map[uint64]string{goldenID: "odori-1"})
	if err != nil {
		t.Fatal(err)
	}
	golden := goldenfile.CheckBytes(t, "snapshot.bin", raw)
	restored := goldenGroup(goldenHost())
	if err := restored.restoreSnapshot(&raftpb.Snapshot{Data: golden, Metadata: &raftpb.SnapshotMetadata{
		Index: proto.Uint64(7), Term: proto.Uint64(2)}}); err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "snapshot.bin", restored.memberNames, map[uint64]string{goldenID: "odori-1"})
	goldenfile.CheckDecoded(t, "snapshot.bin", restored.stateMachine, StateMachine(&adder{sum: 41, n: 42}))
}

// goldenLeader makes g's raft the leader of a group with one voter, in memory, so that it accepts proposals.
func goldenLeader(t *testing.T, g *group) {
	t.Helper()
	storage := raft.NewMemoryStorage()
	if err := storage.ApplySnapshot(&raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1),
		Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: []uint64{goldenID}}}}); err != nil {
		t.Fatal(err)
	}
	var err error
	if g.rawNode, err = raft.NewRawNode(&raft.Config{ID: goldenID, ElectionTick: 10, HeartbeatTick: 1,
		Storage: storage, Applied: 1, MaxSizePerMsg: maxSizePerMsg, MaxInflightMsgs: maxInflightMsgs,
		Logger: raftLogger{g.log}}); err != nil {
		t.Fatal(err)
	}
	if err := g.rawNode.Campaign(); err != nil {
		t.Fatal(err)
	}
	for g.rawNode.HasReady() {
		ready := g.rawNode.Ready()
		if err := storage.Append(ready.Entries); err != nil {
			t.Fatal(err)
		}
		g.rawNode.Advance(ready)
	}
}

// In raft's log, a command is preceded by the ID of the replica that proposed it and that replica's request
// ID.
func TestGoldenProposalIsReadAndWrittenByteForByte(t *testing.T) {
	g := goldenGroup(goldenHost())
	goldenLeader(t, g)
	g.lastRequestID = 0x0102030405060707
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // the caller stops waiting before there is an outcome
	if _, err := g.propose(ctx, []byte("17")); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatal(err)
	}
	(<-g.tasks)()
	ready := g.rawNode.Ready()
	if len(ready.Entries) != 1 {
		t.Fatalf("Ready has %d entries, not 1", len(ready.Entries))
	}
	golden := goldenfile.CheckBytes(t, "proposal.bin", ready.Entries[0].GetData())

	out := make(chan outcome, 1)
	other := goldenGroup(goldenHost())
	other.proposals[0x0102030405060708] = out
	other.applyEntry(&raftpb.Entry{Index: proto.Uint64(9), Term: proto.Uint64(1), Data: golden})
	goldenfile.CheckDecoded(t, "proposal.bin", other.stateMachine, StateMachine(&adder{sum: 17, n: 1}))
	select {
	case o := <-out:
		goldenfile.CheckDecoded(t, "proposal.bin", o.result, any(int64(17)))
	default:
		t.Error("proposal.bin: the proposer got no outcome")
	}
}

// A membership change carries the member's name, from which every replica learns it.
func TestGoldenMembershipChangeIsRead(t *testing.T) {
	kind := raftpb.ConfChangeAddLearnerNode
	raw, err := proto.Marshal(&raftpb.ConfChange{Type: &kind, NodeId: proto.Uint64(2),
		Context: []byte("susukino-2")})
	if err != nil {
		t.Fatal(err)
	}
	golden := goldenfile.CheckBytes(t, "change.bin", raw)
	g := goldenGroup(goldenHost())
	goldenLeader(t, g)
	change := raftpb.EntryConfChange
	g.applyEntry(&raftpb.Entry{Type: &change, Index: proto.Uint64(3), Term: proto.Uint64(2), Data: golden})
	goldenfile.CheckDecoded(t, "change.bin", g.memberNames, map[uint64]string{2: "susukino-2"})
	goldenfile.CheckDecoded(t, "change.bin", g.confState.GetLearners(), []uint64{2})
}

// goldenRecords formats the contents of a store, one record per line: its bucket path, its key and its value.
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

// goldenStore opens a store in a new directory that holds the records in text, as formatted by goldenRecords.
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
			bucket, nestedBucket, nested := strings.Cut(path, ">")
			b, err := tx.CreateBucketIfNotExists([]byte(bucket))
			if err == nil && nested {
				b, err = b.CreateBucketIfNotExists([]byte(nestedBucket))
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

// The records are compared with the golden file, not the file's pages, whose layout is up to bbolt. The
// replica ID of a new store is random and is replaced by a fixed one.
func TestGoldenStoreIsReadAndWrittenByteForByte(t *testing.T) {
	s := goldenStore(t, "")
	if err := s.update(func(tx *bolt.Tx) error {
		b := tx.Bucket(metaBucket)
		if raw := b.Get([]byte("id")); len(raw) != 8 || binary.BigEndian.Uint64(raw) != s.id {
			t.Errorf("stored replica ID is %x, not %x", raw, s.id)
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
	logBytes, err := s.save("ledger", &raft.Ready{Snapshot: snap, HardState: hard, Entries: testEntries(5, 6)})
	if err != nil {
		t.Fatal(err)
	}
	// A bootstrap vote, as handleBootstrapVote stores it.
	h := goldenHost()
	h.store, h.opts.Groups = s, []string{"ledger"}
	h.peers = []Peer{{Address: "susukino-2:1"}}
	h.peers[0].Name, h.peers[0].ReplicaID, h.peers[0].Live = "susukino-2", 2, true
	req := request{Kind: "vote", Group: "ledger", From: "susukino-2", ID: 2}
	if err := h.handleBootstrapVote(req); err != nil {
		t.Fatal(err)
	}
	golden := goldenfile.CheckBytes(t, "store.txt", []byte(goldenRecords(t, s)))

	s = goldenStore(t, string(golden))
	goldenfile.CheckDecoded(t, "store.txt", s.id, uint64(goldenID))
	goldenfile.CheckDecoded(t, "store.txt", s.groups(), []string{"ledger"})
	goldenfile.CheckDecoded(t, "store.txt", s.metaValue("vote/ledger"), "0000000000000002")
	storage, gotLogBytes, err := s.load("ledger")
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "store.txt", gotLogBytes, logBytes)
	gotHard, _, err := storage.InitialState()
	if err != nil {
		t.Fatal(err)
	}
	checkProtoEqual(t, "store.txt", gotHard, hard)
	gotSnap, err := storage.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	checkProtoEqual(t, "store.txt", gotSnap, snap)
	log, err := storage.Entries(5, 7, 1<<20)
	if err != nil || len(log) != 2 {
		t.Fatalf("log has %d entries, not 2; error %v", len(log), err)
	}
	for i, e := range testEntries(5, 6) {
		checkProtoEqual(t, "store.txt", log[i], e)
	}
}
