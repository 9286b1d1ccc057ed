package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
)

// Message kinds of memberlist's protocol, versions 2 to 5. memberlist does not export them; its protocol only
// ever appends to them.
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

// Bounds on messages of other members. memberlist by itself accepts a push/pull header that makes it allocate
// a million entries and a user state of 20 MB.
const (
	maxNameBytes    = 255
	maxUserBytes    = 1024
	maxStateBytes   = 1024 // of one member in a full state exchange, metadata at most 512 of them
	baseStreamBytes = 4096 // of a stream without members
)

// gossipMessage has the fields of all kinds of messages that this package reads or checks, under the
// protocol's names: the codec takes them from the struct. Every body is decoded into it, whatever its kind,
// which finds those that don't decode.
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

// pushPullHeader begins a full state exchange, under the protocol's names as well.
type pushPullHeader struct {
	Nodes        int
	UserStateLen int
	Join         bool
}

// decodeBody decodes a message's body with the protocol's own codec and checks it against the bounds.
func decodeBody(kind byte, body []byte) (gossipMessage, error) {
	var msg gossipMessage
	if kind == userMsg {
		if len(body) > maxUserBytes {
			return msg, fmt.Errorf("a message of %d bytes, %d at most", len(body), maxUserBytes)
		}
		return msg, nil
	}
	if err := codec.NewDecoderBytes(body, &codec.MsgpackHandle{}).Decode(&msg); err != nil {
		return msg, err
	}
	return msg, checkBounds(kind, msg)
}

// checkBounds returns what is wrong with a decoded message.
func checkBounds(kind byte, msg gossipMessage) error {
	switch {
	case len(msg.Node) > maxNameBytes || len(msg.From) > maxNameBytes:
		return errors.New("a name that is too long")
	case len(msg.Meta) > memberlist.MetaMaxSize:
		return errors.New("metadata that is too long")
	case kind >= suspectMsg && kind <= deadMsg && msg.Node == "":
		return errors.New("an update of a member without a name")
	case kind == aliveMsg && (!isIP(msg.Addr) || len(msg.Vsn) < 6):
		return errors.New("a live member without an address or versions")
	case kind == indirectPingMsg && !isIP(msg.Target):
		return errors.New("an indirect probe of no address")
	}
	return nil
}

func isIP(b []byte) bool { return len(b) == net.IPv4len || len(b) == net.IPv6len }

// readPacket reads a datagram without its label and calls visit for every message in it. At the first message
// that is malformed it returns an error; visit may have been called for those before.
func readPacket(b []byte, visit func(kind byte, msg gossipMessage)) error {
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
	lengths := b[2:]
	if len(lengths) < 2*count {
		return errors.New("a compound cut off in its lengths")
	}
	remaining := lengths[2*count:]
	for i := range count {
		size := int(binary.BigEndian.Uint16(lengths[2*i:]))
		if size > len(remaining) {
			return errors.New("a compound cut off in its messages")
		}
		if err := readMessage(remaining[:size], visit); err != nil {
			return err
		}
		remaining = remaining[size:]
	}
	return nil
}

func readMessage(b []byte, visit func(kind byte, msg gossipMessage)) error {
	if len(b) == 0 {
		return errors.New("an empty message")
	}
	switch b[0] {
	case pingMsg, indirectPingMsg, ackMsg, suspectMsg, aliveMsg, deadMsg, userMsg, nackMsg:
	default:
		return fmt.Errorf("kind %d is none that a datagram of this fleet holds", b[0])
	}
	msg, err := decodeBody(b[0], b[1:])
	if err == nil && visit != nil {
		visit(b[0], msg)
	}
	return err
}

// checkStream checks the first bytes of a stream, after its label, and returns how many bytes it may have.
func checkStream(head []byte, maxMembers int) (int, error) {
	if len(head) == 0 {
		return 0, errors.New("an empty stream")
	}
	switch head[0] {
	case pingMsg:
		return baseStreamBytes, nil
	case pushPullMsg:
		var header pushPullHeader
		if err := codec.NewDecoderBytes(head[1:], &codec.MsgpackHandle{}).Decode(&header); err != nil {
			return 0, fmt.Errorf("the head of a state exchange: %w", err)
		}
		if header.Nodes < 0 || header.Nodes > maxMembers {
			return 0, fmt.Errorf("a state of %d members, max_members is %d", header.Nodes, maxMembers)
		}
		if header.UserStateLen != 0 {
			return 0, fmt.Errorf("a user state of %d bytes, there is none in this fleet", header.UserStateLen)
		}
		return baseStreamBytes + header.Nodes*maxStateBytes, nil
	}
	return 0, fmt.Errorf("kind %d is none that a stream of this fleet opens with", head[0])
}
