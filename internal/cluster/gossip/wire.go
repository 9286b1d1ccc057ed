package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
)

// Message kinds of memberlist's protocol, versions 2 to 5. They are part of that protocol and only ever
// appended to; memberlist does not export them.
const (
	pingMsg byte = iota
	indirectPingMsg
	ackMsg
	suspectMsg
	aliveMsg
	deadMsg
	pushPullMsg
	compoundMsg
	userMsg
	compressMsg
	encryptMsg
	nackMsg
	crcMsg
	errMsg
)

// Bounds on what a message of another member may hold. memberlist itself allows a push/pull header that
// makes it allocate a million entries and a user state of 20 MB.
const (
	maxNameBytes  = 255
	maxUserBytes  = 1024
	maxStateBytes = 1024 // bytes of one member in a full state exchange, metadata at most 512 of them
)

// gossipMessage is what any message says: the fields that the view and the counters read, in the protocol's
// names. A body is read into it whatever its kind, which finds a body that does not decode.
type gossipMessage struct {
	SeqNo       uint32
	Incarnation uint32
	Node        string
	From        string
	Addr        []byte
	Meta        []byte
	Vsn         []uint8
	SourceAddr  []byte
	Target      []byte
}

// pushPullHeader is the head of a full state exchange.
type pushPullHeader struct {
	Nodes        int
	UserStateLen int
	Join         bool
}

// decodeBody reads a message's body with the protocol's own codec and holds it to the bounds.
func decodeBody(kind byte, body []byte) (gossipMessage, error) {
	var g gossipMessage
	if kind == userMsg {
		if len(body) > maxUserBytes {
			return g, fmt.Errorf("a message of %d bytes, %d at most", len(body), maxUserBytes)
		}
		return g, nil
	}
	if err := codec.NewDecoderBytes(body, &codec.MsgpackHandle{}).Decode(&g); err != nil {
		return g, err
	}
	address := func(b []byte) bool { return len(b) == 4 || len(b) == 16 }
	switch {
	case len(g.Node) > maxNameBytes || len(g.From) > maxNameBytes:
		return g, errors.New("a name that is too long")
	case len(g.Meta) > memberlist.MetaMaxSize:
		return g, errors.New("metadata that is too long")
	case kind >= suspectMsg && kind <= deadMsg && g.Node == "":
		return g, errors.New("news of a member without a name")
	case kind == aliveMsg && (!address(g.Addr) || len(g.Vsn) < 6):
		return g, errors.New("a live member without an address or versions")
	case kind == indirectPingMsg && !address(g.Target):
		return g, errors.New("an indirect probe of no address")
	}
	return g, nil
}

// readPacket reads a datagram without its label and calls each for every message in it. The first thing
// that cannot be is the error; each is then not called again, but may have been called before.
func readPacket(b []byte, visit func(kind byte, g gossipMessage)) error {
	if len(b) >= 5 && b[0] == crcMsg {
		b = b[5:] // memberlist checks the sum
	}
	if len(b) == 0 {
		return errors.New("an empty datagram")
	}
	if b[0] != compoundMsg {
		return readMessage(b, visit)
	}
	// A compound: count, as many lengths of 16 bits, the messages.
	if len(b) < 2 {
		return errors.New("a compound without a count")
	}
	count := int(b[1])
	lengths, rest := b[2:], []byte(nil)
	if len(lengths) < 2*count {
		return errors.New("a compound cut off in its lengths")
	}
	rest = lengths[2*count:]
	for i := range count {
		size := int(binary.BigEndian.Uint16(lengths[2*i:]))
		if size > len(rest) {
			return errors.New("a compound cut off in its messages")
		}
		if err := readMessage(rest[:size], visit); err != nil {
			return err
		}
		rest = rest[size:]
	}
	return nil
}

func readMessage(b []byte, visit func(kind byte, g gossipMessage)) error {
	if len(b) == 0 {
		return errors.New("an empty message")
	}
	switch b[0] {
	case pingMsg, indirectPingMsg, ackMsg, suspectMsg, aliveMsg, deadMsg, userMsg, nackMsg:
	default:
		return fmt.Errorf("kind %d is none that a datagram of this fleet holds", b[0])
	}
	g, err := decodeBody(b[0], b[1:])
	if err == nil && visit != nil {
		visit(b[0], g)
	}
	return err
}

// checkStream looks at the first bytes of a stream, after its label, and says how many bytes it may have.
func checkStream(head []byte, maxMembers int) (int, error) {
	if len(head) == 0 {
		return 0, errors.New("an empty stream")
	}
	switch head[0] {
	case pingMsg:
		return 4096, nil
	case pushPullMsg:
		var h pushPullHeader
		if err := codec.NewDecoderBytes(head[1:], &codec.MsgpackHandle{}).Decode(&h); err != nil {
			return 0, fmt.Errorf("the head of a state exchange: %w", err)
		}
		if h.Nodes < 0 || h.Nodes > maxMembers {
			return 0, fmt.Errorf("a state of %d members, max_members is %d", h.Nodes, maxMembers)
		}
		if h.UserStateLen != 0 {
			return 0, fmt.Errorf("a user state of %d bytes, there is none in this fleet", h.UserStateLen)
		}
		return 4096 + h.Nodes*maxStateBytes, nil
	}
	return 0, fmt.Errorf("kind %d is none that a stream of this fleet opens with", head[0])
}
