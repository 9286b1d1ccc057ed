package gossip

import (
	"bytes"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"

	"cresshub/internal/cluster/membership"
)

func encodeMessage(tb testing.TB, kind byte, body any) []byte {
	tb.Helper()
	out := []byte{kind}
	var b []byte
	if err := codec.NewEncoderBytes(&b, &codec.MsgpackHandle{}).Encode(body); err != nil {
		tb.Fatal(err)
	}
	return append(out, b...)
}

func encodeCompound(parts ...[]byte) []byte {
	out := []byte{compoundMsg, byte(len(parts))}
	for _, p := range parts {
		out = append(out, byte(len(p)>>8), byte(len(p)))
	}
	return append(out, bytes.Join(parts, nil)...)
}

type body = map[string]any

var protocolVersions = []uint8{1, 5, 2, 0, 0, 0}

func suspectMessage(tb testing.TB) []byte {
	tb.Helper()
	return encodeMessage(tb, suspectMsg, body{"Incarnation": 3, "Node": "a", "From": "b"})
}

func aliveMessage(tb testing.TB, addr []byte) []byte {
	tb.Helper()
	return encodeMessage(tb, aliveMsg, body{"Incarnation": 4, "Node": "a", "Addr": addr, "Port": 7,
		"Meta": []byte("{}"), "Vsn": protocolVersions})
}

func TestDatagramsAreReadOrRejectedByCause(t *testing.T) {
	ip := []byte{127, 0, 0, 1}
	full := encodeCompound(encodeMessage(t, pingMsg, body{"SeqNo": 1, "Node": "b"}), suspectMessage(t),
		aliveMessage(t, ip))
	for name, test := range map[string]struct {
		in   []byte
		want string // a part of the error, or the kinds read
	}{
		"a probe with gossip behind it": {full, "0 3 4"},
		"with a checksum before it":     {append([]byte{crcMsg, 0, 0, 0, 0}, full...), "0 3 4"},
		"a message of this program":     {[]byte{userMsg, '{', '}'}, "8"},
		"nothing":                       {nil, "empty"},
		"garbage":                       {[]byte("GET / HTTP/1.1\r\n"), "kind 71"},
		"compressed":                    {[]byte{compressMsg, 1, 2}, "kind 9"},
		"encrypted":                     {[]byte{encryptMsg, 1, 2}, "kind 10"},
		"a compound in a compound":      {encodeCompound(full), "kind 7"},
		"a compound without a count":    {[]byte{compoundMsg}, "without a count"},
		"truncated in its lengths":      {full[:5], "in its lengths"},
		"truncated in its messages":     {full[:len(full)-1], "in its messages"},
		"an empty message":              {encodeCompound(nil), "empty message"},
		"a truncated body":              {suspectMessage(t)[:9], "EOF"},
		"a body of another shape":       {[]byte{suspectMsg, 0x93, 1, 2, 3}, "decode error"},
		"a live member without address": {aliveMessage(t, []byte{1, 2, 3}), "without an IP address"},
		"an update of no name":          {encodeMessage(t, deadMsg, body{"Incarnation": 1}), "without a name"},
		"a long name": {encodeMessage(t, deadMsg, body{"Node": strings.Repeat("x", 300)}),
			"name is too long"},
		"long metadata": {encodeMessage(t, aliveMsg, body{"Node": "a", "Meta": make([]byte, 600)}),
			"metadata is too long"},
		"an indirect probe of nothing": {encodeMessage(t, indirectPingMsg, body{"Node": "a"}),
			"without a target IP address"},
		"an oversized message": {make([]byte, 60_000), "decode error"},
		"a huge message of this program": {append([]byte{userMsg}, make([]byte, 2000)...),
			"over the limit of 1024"},
	} {
		var kinds []string
		err := readPacket(test.in, func(kind byte, _ gossipMessage) { kinds = append(kinds, string('0'+kind)) })
		got := strings.Join(kinds, " ")
		if err != nil {
			got = err.Error()
		}
		if !strings.Contains(got, test.want) {
			t.Errorf("%s: %q, not %q", name, got, test.want)
		}
	}
}

func TestStreamHeadsAreBoundedOrRejectedByCause(t *testing.T) {
	head := func(nodes, user int) []byte {
		return encodeMessage(t, pushPullMsg, body{"Nodes": nodes, "UserStateLen": user, "Join": true})
	}
	for name, test := range map[string]struct {
		in   []byte
		want string // a part of the error; "" for none
	}{
		"a state":           {head(7, 0), ""},
		"too many members":  {head(1_000_000, 0), "max_members is 100"},
		"a negative count":  {head(-1, 0), "state exchange with -1 members"},
		"a user state":      {head(7, 20<<20), "user state"},
		"truncated":         {head(7, 0)[:10], "EOF"},
		"compressed":        {[]byte{compressMsg, 1}, "kind 9"},
		"nothing":           {nil, "empty"},
		"a user message":    {[]byte{userMsg, 1}, "kind 8"},
		"a probe by stream": {[]byte{pingMsg, 1}, ""},
		"another protocol":  {[]byte("SSH-2.0"), "kind 83"},
	} {
		limit, err := checkStreamHead(test.in, 100)
		if test.want == "" && (err != nil || limit <= 0) || test.want != "" && (err == nil ||
			!strings.Contains(err.Error(), test.want)) {
			t.Errorf("%s: %d bytes, %v, not %q", name, limit, err, test.want)
		}
	}
}

func TestRelayDatagramKeepsAddressAndPayload(t *testing.T) {
	to := netip.MustParseAddrPort("127.0.0.1:7946")
	got, payload, err := ParseRelayDatagram(EncodeRelayDatagram(to, []byte("hello")))
	if err != nil || got != to || string(payload) != "hello" {
		t.Errorf("%v %q %v", got, payload, err)
	}
	for _, bad := range []string{"", "short", "\x00\x00\x01\x01\x7f\x00\x00\x01\x00\x01",
		"\x00\x00\x00\x03aaaaaaaa"} {
		if _, _, err := ParseRelayDatagram([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// FuzzReadPacket checks that the transport's checks never panic, and accept only input within the bounds.
func FuzzReadPacket(f *testing.F) {
	f.Add(encodeCompound(suspectMessage(f), aliveMessage(f, []byte{127, 0, 0, 1})))
	f.Add(encodeMessage(f, pingMsg, body{"SeqNo": 1}))
	f.Add(encodeMessage(f, pushPullMsg, body{"Nodes": 3}))
	f.Add([]byte{compoundMsg, 255})
	f.Fuzz(func(t *testing.T, in []byte) {
		err := readPacket(in, func(kind byte, msg gossipMessage) {
			if len(msg.Node) > maxNameBytes || len(msg.Meta) > memberlist.MetaMaxSize {
				t.Errorf("kind %d with a name of %d bytes, metadata of %d", kind, len(msg.Node), len(msg.Meta))
			}
		})
		if err == nil && len(in) == 0 {
			t.Error("an empty datagram was accepted")
		}
		if limit, err := checkStreamHead(in, 100); err == nil && limit > 4096+100*maxMemberStateBytes {
			t.Errorf("a stream of %d bytes was accepted", limit)
		}
	})
}

// startWithOptions starts a member. Its probes time out only after testTimeout, so that it does not declare
// another member dead while this process is stalled.
func startWithOptions(t *testing.T, name string, change func(*Options)) (*Fleet, error) {
	t.Helper()
	o := Options{Name: name, Bind: "127.0.0.1:0", Label: "test", ProbeInterval: 2 * testTimeout,
		ProbeTimeout: testTimeout, GossipInterval: 20 * time.Millisecond, SuspicionMult: 4,
		RejoinInterval: 200 * time.Millisecond, SyncIntervalPerMember: 100 * time.Millisecond,
		Log: slog.New(slog.DiscardHandler),
		Membership: membership.Settings{GoneAfter: time.Second, FlapWindow: time.Minute, ForgetAfter: time.Minute,
			MaxMembers: 100}}
	if change != nil {
		change(&o)
	}
	f, err := Start(o)
	if err == nil {
		t.Cleanup(f.Close)
	}
	return f, err
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// Malformed traffic on the gossip port, and another fleet's, is counted and dropped; the view stays as it is.
func TestTransportRejectsAndCountsMalformedTraffic(t *testing.T) {
	a, err := startWithOptions(t, "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := startWithOptions(t, "b", func(o *Options) { o.Seeds = []string{a.Address()} })
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "both see both", func() bool {
		return len(a.Snapshot().Members) == 2 && len(b.Snapshot().Members) == 2
	})
	c, err := startWithOptions(t, "c", func(o *Options) { o.Label, o.Seeds = "other", []string{a.Address()} })
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the other fleet's traffic is counted", func() bool {
		return a.Snapshot().Counters.OtherLabel > 0
	})
	c.Close() // otherwise its attempts to join would be counted below
	label, _ := memberlist.AddLabelHeaderToPacket(nil, "test")
	bad := [][]byte{[]byte("garbage"), append(bytes.Clone(label), compoundMsg), {244},
		append(bytes.Clone(label), suspectMessage(t)[:9]...)}
	tooLong := append(bytes.Clone(label), make([]byte, 40_000)...)
	checkStreamIsClosed(t, a.Address(), tooLong)
	for network, bad := range map[string][][]byte{"udp": append(bad[:len(bad):len(bad)], tooLong), "tcp": bad} {
		before := a.Snapshot().Counters
		for _, raw := range bad {
			conn, err := net.Dial(network, a.Address())
			if err != nil {
				t.Fatal(err)
			}
			conn.Write(raw)
			conn.Close()
		}
		// "garbage" carries no label and so counts as another fleet's; {244} does not decode at all.
		waitUntil(t, network+": each is counted", func() bool {
			now := a.Snapshot().Counters
			return now.WireRefused-before.WireRefused+now.OtherLabel-before.OtherLabel >= int64(len(bad))
		})
	}
	for _, f := range []*Fleet{a, b} {
		for _, m := range f.Snapshot().Members {
			if m.Status != "alive" || m.Flaps != 0 {
				t.Errorf("%s sees %+v", f.opts.Name, m)
			}
		}
	}
}

// checkStreamIsClosed sends a stream that begins like a probe but exceeds the bound of one, and checks that
// it is closed without a response.
func checkStreamIsClosed(t *testing.T, address string, raw []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	conn.Write(raw) // fails where the other side has closed
	if n, err := conn.Read(make([]byte, 1)); n > 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a stream that is too long: %d bytes, %v", n, err)
	}
}

func TestStartErrorNamesWrongOption(t *testing.T) {
	a, err := startWithOptions(t, "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*Options){
		"fleet.bind":               func(o *Options) { o.Bind = "nowhere" },
		"address already in use":   func(o *Options) { o.Bind = a.Address() },
		"fleet.seeds":              func(o *Options) { o.Seeds = []string{"127.0.0.1"} },
		"fleet.relay":              func(o *Options) { o.Relay = "[::1]:80" },
		"fleet.advertise":          func(o *Options) { o.Advertise = "127.0.0.1:0" },
		"fleet.sync_each":          func(o *Options) { o.SyncIntervalPerMember = 0 },
		"fleet.gone_after":         func(o *Options) { o.Membership.GoneAfter = 0 },
		"held by a live member at": func(o *Options) { o.Name, o.Seeds = "a", []string{a.Address()} },
	} {
		if _, err := startWithOptions(t, "b", change); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, not %q", err, want)
		}
	}
}
