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

// Sizes of the protocol.
const (
	crcHeaderSize      = 5 // bytes of a checksum before a datagram, with its kind
	compoundLengthSize = 2 // bytes of the length of one message in a compound
	versionCount       = 6 // protocol versions in a live member's update
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
	case kind == aliveMsg && (!isIP(msg.Addr) || len(msg.Vsn) < versionCount):
		return errors.New("a live member without an address or versions")
	case kind == indirectPingMsg && !isIP(msg.Target):
		return errors.New("an indirect probe of no address")
	}
	return nil
}

func isIP(address []byte) bool { return len(address) == net.IPv4len || len(address) == net.IPv6len }

// readPacket reads a datagram without its label and calls visit for every message in it. At the first message
// that is malformed it returns an error; visit may have been called for those before.
func readPacket(packet []byte, visit func(kind byte, msg gossipMessage)) error {
	if len(packet) >= crcHeaderSize && packet[0] == crcMsg {
		packet = packet[crcHeaderSize:] // memberlist checks the sum
	}
	if len(packet) == 0 {
		return errors.New("an empty datagram")
	}
	if packet[0] == compoundMsg {
		return readCompound(packet[1:], visit)
	}
	return readMessage(packet, visit)
}

// readCompound reads the messages of a compound, after its kind: a byte for their count, as many lengths of
// 16 bits, the messages.
func readCompound(compound []byte, visit func(kind byte, msg gossipMessage)) error {
	if len(compound) == 0 {
		return errors.New("a compound without a count")
	}
	count := int(compound[0])
	lengths := compound[1:]
	if len(lengths) < count*compoundLengthSize {
		return errors.New("a compound cut off in its lengths")
	}
	remaining := lengths[count*compoundLengthSize:]
	for i := range count {
		size := int(binary.BigEndian.Uint16(lengths[i*compoundLengthSize:]))
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

// readMessage reads one message, its kind and body, and calls visit for it unless visit is nil.
func readMessage(raw []byte, visit func(kind byte, msg gossipMessage)) error {
	if len(raw) == 0 {
		return errors.New("an empty message")
	}
	kind, body := raw[0], raw[1:]
	switch kind {
	case pingMsg, indirectPingMsg, ackMsg, suspectMsg, aliveMsg, deadMsg, userMsg, nackMsg:
	default:
		return fmt.Errorf("kind %d is none that a datagram of this fleet holds", kind)
	}
	msg, err := decodeBody(kind, body)
	if err == nil && visit != nil {
		visit(kind, msg)
	}
	return err
}

// checkStream checks the first bytes of a stream, after its label, and returns how many bytes it may have.
// The error is io.EOF or io.ErrUnexpectedEOF, wrapped, if head ends before what is checked does.
func checkStream(head []byte, maxMembers int) (int, error) {
	if len(head) == 0 {
		return 0, errors.New("an empty stream")
	}
	switch head[0] {
	case pingMsg:
		return baseStreamBytes, nil
	case pushPullMsg:
		return checkPushPull(head[1:], maxMembers)
	}
	return 0, fmt.Errorf("kind %d is none that a stream of this fleet opens with", head[0])
}

// checkPushPull checks the head of a full state exchange, after its kind, and returns how many bytes the
// stream may have.
func checkPushPull(head []byte, maxMembers int) (int, error) {
	var header pushPullHeader
	if err := codec.NewDecoderBytes(head, &codec.MsgpackHandle{}).Decode(&header); err != nil {
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
