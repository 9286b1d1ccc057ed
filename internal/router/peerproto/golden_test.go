package peerproto

import (
	"bufio"
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/directory"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// checkGolden compares the written bytes with a golden file, or rewrites the file under -update.
func checkGolden(t *testing.T, name string, written []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		qt.Assert(t, os.MkdirAll(filepath.Dir(path), 0o755), qt.IsNil)
		qt.Assert(t, os.WriteFile(path, written, 0o644), qt.IsNil)
	}
	golden, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, written, qt.DeepEquals, golden, qt.Commentf("%s", name))
}

// readGolden returns the contents of a golden file.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	golden, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	qt.Assert(t, err, qt.IsNil)
	return golden
}

// goldenRecords returns records that cover each kind and each state.
func goldenRecords() []directory.Record {
	return []directory.Record{
		{Kind: directory.KindServer, ID: "server-1", Sequence: 7, State: directory.Ready, Watcher: "proxy-1",
			Service: "chat", Address: "10.0.0.1:80", Zone: "zone-a", Version: "v3", Slots: 6, Role: "reading",
			WarmUpMs: 1500, Name: "name-1", Control: "10.0.0.2:81", Member: "member-1"},
		{Kind: directory.KindProxy, ID: "proxy-1", Sequence: 1 << 40, State: directory.Draining,
			Watcher: "proxy-2", Service: "other", Address: "10.0.0.2", Zone: "zone-b", Version: "v4", Slots: 130,
			Role: "writing", WarmUpMs: 1 << 33, Name: "name-2", Control: "10.0.0.2:82", Member: "member-2"},
		{Kind: directory.KindOrder, ID: directory.OrderID("server-1"), Sequence: 2, State: directory.Lost,
			Watcher: "proxy-3", Service: "chat", Address: "10.0.0.3:80", Zone: "zone-c", Version: "v5", Slots: 1,
			Role: "both", WarmUpMs: 1, Name: "name-3", Control: "10.0.0.3:83", Member: "member-3"},
		{Kind: directory.KindServer, ID: "server-ü", Sequence: 3, State: directory.Ended, Watcher: "proxy-1",
			Service: "chat", Address: "[::1]:80", Zone: "zone-d", Version: "v6", Slots: 64, Role: "writing",
			WarmUpMs: 63, Name: "name-4", Control: "10.0.0.4:84", Member: "member-4"},
	}
}

func goldenMembers() []MemberInfo {
	return []MemberInfo{{ID: "member-1", Address: "10.0.0.1"}, {ID: "member-2", Address: "10.0.0.2"}}
}

func goldenStatus(id string) *Status {
	return &Status{ID: id, Version: 12, Epoch: 3, Members: goldenMembers(), HasSnapshot: true,
		ReachesMajority: true}
}

func goldenLoadReport(server string) *LoadReport {
	return &LoadReport{Full: true, Servers: []ServerLoad{{Server: server, PrefillMs: 250, Calls: 3},
		{Server: "server-2", PrefillMs: 1, Calls: 70}}, FullIndex: true,
		Prefixes: []ServerPrefixes{{Server: server, Hashes: []int64{-1 << 63, -3, 1<<63 - 1}},
			{Server: "server-2", Hashes: []int64{5}}}}
}

func goldenChainMessage() *ChainMessage {
	return &ChainMessage{Kind: 11, From: "member-1", Epoch: 2, Address: "10.0.0.1", HasDisk: true, EntryEpoch: 3,
		Open: true, Draining: true, Stalled: true, Sealed: true, ReceivesFrom: []string{"member-2", "member-3"},
		View: ChainView{Epoch: 4, Members: goldenMembers(), Chain: []string{"member-1", "member-2"},
			Fresh: []string{"member-2"}, Sources: []string{"member-1"},
			Unopened: []PastChain{{Epoch: 5, Chain: []string{"member-4", "member-5"}}}},
		ProposalNumber: ChainProposalNumber{Counter: 6, Proposer: "member-6"},
		AcceptedNumber: ChainProposalNumber{Counter: 7, Proposer: "member-7"}, Sequence: 8, Version: 9,
		Digest: []byte("digest"), HasBody: true, Body: []byte("body"), Resend: true, Origin: "member-8",
		Request: 1 << 50, Expected: 10, Outcome: 11, Marker: 12,
		History: []PastEntry{{Version: 13, Digest: []byte("past-1")}, {Version: 14, Digest: []byte("past-2")}}}
}

// goldenFrame is the expected content of one golden file; message is nil if the body is empty.
type goldenFrame struct {
	file    string
	kind    Kind
	call    uint64
	message Message
}

func goldenFrames() []goldenFrame {
	records := goldenRecords()
	return []goldenFrame{
		{"hello.bin", KindHello, 0, &Hello{ID: "proxy-1"}},
		{"ping.bin", KindPing, 1, &Demands{Services: []Demand{{Service: "chat", Prefill: 1.5, Decode: 2.25},
			{Service: "other", Prefill: 0.1, Decode: 1e9}}}},
		{"pong.bin", KindPong, 1, goldenStatus("proxy-2")},
		{"upsert.bin", KindUpsert, 2, &Records{Records: records}},
		{"follow.bin", KindFollow, 0, &Follow{Feed: "proxy-2", Offset: 1 << 35, Version: 11}},
		{"feed.bin", KindFeed, 0, &Feed{Feed: "proxy-2", From: 5, To: 9, Records: records, Version: 12,
			Config: []byte("packed"), Epoch: 3, Members: goldenMembers()}},
		{"compare.bin", KindCompare, 3, &Comparison{Digest: []int64{-1, 2, -1 << 63}, Ranges: []int{3, 31},
			Records: records[:1]}},
		{"comparison.bin", KindComparison, 3, &Comparison{Digest: []int64{1}, Ranges: []int{4, 5},
			Records: records[1:]}},
		{"propose.bin", KindPropose, 4, &Proposal{Expected: 12, Version: 13, Body: []byte(`{"edition":13}`)}},
		{"read.bin", KindRead, 5, nil},
		{"result_taken.bin", KindResult, 4, &Result{Outcome: OutcomeAccepted, Version: 13,
			Body: []byte(`{"edition":13}`), Reason: "taken"}},
		{"result_conflict.bin", KindResult, 5, &Result{Outcome: OutcomeConflict, Version: 14,
			Body: []byte("body"), Reason: "conflict"}},
		{"result_unavailable.bin", KindResult, 6, &Result{Outcome: OutcomeUnavailable, Version: 15,
			Body: []byte("body"), Reason: "unavailable"}},
		{"result_invalid.bin", KindResult, 7, &Result{Outcome: OutcomeInvalid, Version: 16,
			Body: []byte("body"), Reason: "invalid"}},
		{"chain.bin", KindChain, 0, goldenChainMessage()},
		{"done.bin", KindAck, 2, nil},
		{"config_fetch.bin", KindConfigFetch, 1<<64 - 1, nil},
		{"work.bin", KindLoadReport, 0, goldenLoadReport("server-1")},
		{"hub_work.bin", KindHubLoadReport, 0, goldenLoadReport("server-3")},
		{"introduce.bin", KindAnnounce, 8, goldenStatus("proxy-3")},
		{"patch.bin", KindPatch, 9, &Proposal{Expected: 13, Version: 14, Body: []byte(`{"edition":14}`)}},
	}
}

// TestGoldenFramesAreReadAndWrittenByteForByte guards compatibility with earlier releases: each golden file
// must decode to the value in goldenFrames, and that value must encode to the bytes of the file.
func TestGoldenFramesAreReadAndWrittenByteForByte(t *testing.T) {
	covered := map[Kind]bool{}
	for _, golden := range goldenFrames() {
		covered[golden.kind] = true
		t.Run(golden.file, func(t *testing.T) {
			c := qt.New(t)
			body := []byte{}
			if golden.message != nil {
				c.Assert(unsetField(reflect.ValueOf(golden.message).Elem(), "message"), qt.Equals, "")
				body = Encode(golden.message)
			}
			var written bytes.Buffer
			err := WriteFrame(bufio.NewWriter(&written), Frame{Kind: golden.kind, CallID: golden.call, Body: body})
			c.Assert(err, qt.IsNil)
			checkGolden(t, golden.file, written.Bytes())

			in := bufio.NewReader(bytes.NewReader(readGolden(t, golden.file)))
			frame, err := ReadFrame(in)
			c.Assert(err, qt.IsNil)
			c.Assert(frame.Kind, qt.Equals, golden.kind)
			c.Assert(frame.CallID, qt.Equals, golden.call)
			c.Assert(in.Buffered(), qt.Equals, 0)
			if golden.message == nil {
				c.Assert(frame.Body, qt.HasLen, 0)
				return
			}
			read := reflect.New(reflect.TypeOf(golden.message).Elem()).Interface().(Message)
			c.Assert(Decode(frame.Body, read), qt.IsNil)
			c.Assert(read, qt.DeepEquals, golden.message)
		})
	}
	for kind := Kind(1); kind < NumKinds; kind++ {
		qt.Check(t, covered[kind], qt.IsTrue, qt.Commentf("no golden file of frames of kind %d", kind))
	}
}

// unsetField returns the path of a field that has its zero value, "" if there is none, so that the test fails
// until a new field is given a value in the golden files.
func unsetField(v reflect.Value, name string) string {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if unset := unsetField(v.Field(i), name+"."+v.Type().Field(i).Name); unset != "" {
				return unset
			}
		}
		return ""
	case reflect.Slice:
		if v.Len() == 0 {
			return name
		}
		for i := range v.Len() {
			if unset := unsetField(v.Index(i), name+"[]"); unset != "" {
				return unset
			}
		}
		return ""
	}
	if v.IsZero() {
		return name
	}
	return ""
}

// TestGoldenPackedConfigurationsAreReadAndWrittenByteForByte does the same for packed documents and patches.
// Their bytes also depend on compress/flate: if a new release of Go compresses differently, only the
// comparison of the written bytes fails, and the files may be rewritten.
func TestGoldenPackedConfigurationsAreReadAndWrittenByteForByte(t *testing.T) {
	c := qt.New(t)
	document := bytes.Repeat([]byte(`{"edition":1,"routes":[{"name":"r","town":"a.example"}]}`), 40)
	checkGolden(t, "packed_document.bin", Pack(document))
	read, err := Unpack(readGolden(t, "packed_document.bin"))
	c.Assert(err, qt.IsNil)
	c.Assert(read, qt.DeepEquals, document)
	c.Assert(ArePatches(readGolden(t, "packed_document.bin")), qt.IsFalse)

	patches := &Patches{Patches: []Patch{{Base: 1, Version: 2, Body: []byte(`{"edition":2}`)},
		{Base: 2, Version: 1 << 40, Body: []byte(`{"edition":1099511627776}`)}}}
	c.Assert(unsetField(reflect.ValueOf(patches).Elem(), "patches"), qt.Equals, "")
	checkGolden(t, "patches.bin", Encode(patches))
	checkGolden(t, "packed_patches.bin", PackPatches(patches))
	decoded := &Patches{}
	c.Assert(Decode(readGolden(t, "patches.bin"), decoded), qt.IsNil)
	c.Assert(decoded, qt.DeepEquals, patches)
	c.Assert(ArePatches(readGolden(t, "packed_patches.bin")), qt.IsTrue)
	unpacked, err := UnpackPatches(readGolden(t, "packed_patches.bin"))
	c.Assert(err, qt.IsNil)
	c.Assert(unpacked, qt.DeepEquals, patches)
}
