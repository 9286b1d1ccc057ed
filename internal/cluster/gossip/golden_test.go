package gossip

import (
	"encoding/json"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"

	"cresshub/internal/cluster/membership"
	"cresshub/internal/testbed/goldenfile"
)

func goldenMeta() membership.Meta {
	return membership.Meta{Incarnation: 1_790_000_000_123, Version: "1.2.3", Hall: "odori",
		Phase: membership.Draining, LedgerAddress: "127.0.0.1:7947", ReplicaID: 1<<64 - 3}
}

// A member's metadata, which memberlist carries in gossip and in state exchanges alike.
func TestGoldenMetadataIsReadAndWrittenByteForByte(t *testing.T) {
	want := goldenMeta()
	goldenfile.CheckFieldsSet(t, "meta", want)
	f := &Fleet{}
	f.meta.Store(&want)
	golden := goldenfile.CheckBytes(t, "meta.json", (*delegate)(f).NodeMeta(memberlist.MetaMaxSize))
	var got membership.Meta
	if err := decodeMeta(golden, &got); err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "meta.json", got, want)

	for name, phase := range map[string]membership.Phase{"meta-serving.json": membership.Serving,
		"meta-leaving.json": membership.Leaving} {
		want.Phase = phase
		if err := decodeMeta(goldenfile.CheckBytes(t, name, encodeMeta(want)), &got); err != nil {
			t.Fatal(err)
		}
		goldenfile.CheckDecoded(t, name, got, want)
	}
	// A member without a ledger.
	minimal := membership.Meta{Incarnation: 1}
	if err := decodeMeta(goldenfile.CheckBytes(t, "meta-least.json", encodeMeta(minimal)), &got); err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "meta-least.json", got, minimal)
}

// A leaveMessage, the only user message that this program sends through memberlist.
func TestGoldenLeaveIsReadAndWrittenByteForByte(t *testing.T) {
	want := leaveMessage{Name: "odori-1", Incarnation: 1_790_000_000_123}
	goldenfile.CheckJSON(t, "leaving.json", want)
	settings := membership.Settings{GoneAfter: time.Second, FlapWindow: time.Second, ForgetAfter: time.Minute,
		MaxMembers: 10}
	view, err := membership.NewView(settings, "susukino-2")
	if err != nil {
		t.Fatal(err)
	}
	f := &Fleet{opts: Options{Name: "susukino-2", Membership: settings}, view: view,
		announcedLeaves: map[string]uint64{}, startedAt: time.Now(), log: slog.New(slog.DiscardHandler)}
	raw, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	(*delegate)(f).NotifyMsg(goldenfile.CheckBytes(t, "leaving.json", raw))
	goldenfile.CheckDecoded(t, "leaving.json", f.announcedLeaves, map[string]uint64{want.Name: want.Incarnation})
}

// memberlist's own messages, of which this program decodes, by name, the fields that it counts or checks. It
// encodes none of them itself: the golden files hold just these fields, encoded by memberlist's codec.
func TestGoldenGossipIsReadByMemberlistFieldNames(t *testing.T) {
	want := gossipMessage{SeqNo: 1, Incarnation: 2, Node: "odori-1", From: "susukino-2",
		Addr: []byte{127, 0, 0, 1}, Meta: encodeMeta(goldenMeta()), Vsn: []uint8{1, 5, 2, 6, 7, 8},
		SourceAddr: []byte{127, 0, 0, 2},
		Target:     []byte{127, 0, 0, 3}}
	goldenfile.CheckFieldsSet(t, "gossip", want)
	kinds := []byte{pingMsg, indirectPingMsg, ackMsg, suspectMsg, aliveMsg, deadMsg, nackMsg}
	var parts [][]byte
	for _, kind := range kinds {
		parts = append(parts, encodeMessage(t, kind, want))
	}
	golden := goldenfile.CheckBytes(t, "gossip.bin", encodeCompound(parts...))
	var got []byte
	if err := readPacket(golden, func(kind byte, msg gossipMessage) {
		got = append(got, kind)
		goldenfile.CheckDecoded(t, "gossip.bin", msg, want)
	}); err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "gossip.bin", got, []byte{0, 1, 2, 3, 4, 5, 11})

	header := pushPullHeader{Nodes: 3, UserStateLen: 4, Join: true}
	stream := goldenfile.CheckBytes(t, "push-pull.bin", encodeMessage(t, pushPullMsg, header))
	var gotHeader pushPullHeader
	if err := codec.NewDecoderBytes(stream[1:], &codec.MsgpackHandle{}).Decode(&gotHeader); err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "push-pull.bin", gotHeader, header)
	if _, err := checkStreamHead(stream, 10); err == nil || err.Error() !=
		"state exchange with a user state of 4 bytes; this program sends none" {
		t.Errorf("push-pull.bin: %v", err)
	}
	if _, err := checkStreamHead(stream, 2); err == nil || err.Error() !=
		"state exchange with 3 members; max_members is 2" {
		t.Errorf("push-pull.bin: %v", err)
	}
}

func TestGoldenRelayedDatagramIsReadAndWrittenByteForByte(t *testing.T) {
	to := netip.MustParseAddrPort("10.1.2.3:4567")
	got, payload, err := ParseRelayDatagram(goldenfile.CheckBytes(t, "relayed.bin",
		EncodeRelayDatagram(to, []byte("news"))))
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "relayed.bin", got, to)
	goldenfile.CheckDecoded(t, "relayed.bin", string(payload), "news")
}

// Counters has no field tags: the page shows the counters under their Go field names.
func TestGoldenPageIsReadAndWrittenByteForByte(t *testing.T) {
	goldenfile.CheckJSON(t, "page.json", Page{Self: "odori-1", Label: "sapporo", Health: 1,
		Members: []Member{{Name: "susukino-2", Address: "127.0.0.1:7946", Status: "suspect", Gone: true,
			Phase: "draining", Incarnation: 2, Version: "1.2.3", Hall: "odori", AgeMS: 3, Flaps: 4,
			Suspected: 5}},
		Counters: Counters{Joins: 11, Restarts: 12, Changes: 13, Gone: 14, Returned: 15, Forgotten: 16,
			Conflicts: 17, Refused: 18, Rejoins: 19, Syncs: 20, LostChanges: 21, MetaRefused: 22,
			MessagesRefused: 23, Probes: 24, IndirectProbes: 25, Suspicions: 26, Suspected: 27,
			Refutations: 28, Refuted: 29, Asked: 30, PacketsIn: 31, PacketsOut: 32, StreamsIn: 33,
			StreamsOut: 34, BytesIn: 35, BytesOut: 36, WireRefused: 37, OtherLabel: 38}})
}
