package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
)

// Message kinds of memberlist's protocol, versions 2 to 5. memberlist does not export them; new versions of
// its protocol only append kinds.
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
	maxNameBytes        = 255
	maxUserMessageBytes = 1024
	maxMemberStateBytes = 1024 // of one member in a state exchange; metadata takes at most 512 of them
	baseStreamBytes     = 4096 // of a stream that carries no members
)

// Sizes of the protocol.
const (
	crcHeaderSize      = 5 // bytes of a checksum before a datagram, its kind included
	compoundLengthSize = 2 // bytes of the length of one message in a compound
	versionCount       = 6 // protocol versions in an alive message
)

// gossipMessage has the fields of all kinds of messages that this package reads or checks. They have the
// protocol's names, because the codec takes the names on the wire from the struct. The body of every message
// except a user message is decoded into it, whatever its kind, to find malformed ones.
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

// pushPullHeader is the header of a full state exchange. Its fields have the protocol's names as well.
type pushPullHeader struct {
	Nodes        int
	UserStateLen int
	Join         bool
}

// decodeBody decodes a message's body with the protocol's own codec and checks it against the bounds.
func decodeBody(kind byte, body []byte) (gossipMessage, error) {
	var msg gossipMessage
	if kind == userMsg {
		if len(body) > maxUserMessageBytes {
			return msg, fmt.Errorf("user message of %d bytes is over the limit of %d", len(body), maxUserMessageBytes)
		}
		return msg, nil
	}
	if err := codec.NewDecoderBytes(body, &codec.MsgpackHandle{}).Decode(&msg); err != nil {
		return msg, err
	}
	return msg, checkBounds(kind, msg)
}

// checkBounds returns an error if a decoded message lacks a field or exceeds a bound.
func checkBounds(kind byte, msg gossipMessage) error {
	switch {
	case len(msg.Node) > maxNameBytes || len(msg.From) > maxNameBytes:
		return errors.New("member name is too long")
	case len(msg.Meta) > memberlist.MetaMaxSize:
		return errors.New("metadata is too long")
	case kind >= suspectMsg && kind <= deadMsg && msg.Node == "":
		return errors.New("update of a member without a name")
	case kind == aliveMsg && (!isIP(msg.Addr) || len(msg.Vsn) < versionCount):
		return errors.New("alive message without an IP address or protocol versions")
	case kind == indirectPingMsg && !isIP(msg.Target):
		return errors.New("indirect probe without a target IP address")
	}
	return nil
}

func isIP(address []byte) bool { return len(address) == net.IPv4len || len(address) == net.IPv6len }

// readPacket reads a datagram without its label and calls visit for every message in it. At the first message
// that is malformed it returns an error; visit may have been called for the messages before it.
func readPacket(packet []byte, visit func(kind byte, msg gossipMessage)) error {
	if len(packet) >= crcHeaderSize && packet[0] == crcMsg {
		packet = packet[crcHeaderSize:] // memberlist verifies the checksum
	}
	if len(packet) == 0 {
		return errors.New("empty datagram")
	}
	if packet[0] == compoundMsg {
		return readCompound(packet[1:], visit)
	}
	return readMessage(packet, visit)
}

// readCompound reads the messages of a compound. After its kind, which the caller has removed, a compound has
// one byte for the count of messages, as many lengths of 16 bits, and the messages.
func readCompound(compound []byte, visit func(kind byte, msg gossipMessage)) error {
	if len(compound) == 0 {
		return errors.New("compound message without a count")
	}
	count := int(compound[0])
	lengths := compound[1:]
	if len(lengths) < count*compoundLengthSize {
		return errors.New("compound message truncated in its lengths")
	}
	remaining := lengths[count*compoundLengthSize:]
	for i := range count {
		size := int(binary.BigEndian.Uint16(lengths[i*compoundLengthSize:]))
		if size > len(remaining) {
			return errors.New("compound message truncated in its messages")
		}
		if err := readMessage(remaining[:size], visit); err != nil {
			return err
		}
		remaining = remaining[size:]
	}
	return nil
}

// readMessage reads one message, which is its kind and body, and calls visit for it unless visit is nil.
func readMessage(raw []byte, visit func(kind byte, msg gossipMessage)) error {
	if len(raw) == 0 {
		return errors.New("empty message")
	}
	kind, body := raw[0], raw[1:]
	switch kind {
	case pingMsg, indirectPingMsg, ackMsg, suspectMsg, aliveMsg, deadMsg, userMsg, nackMsg:
	default:
		return fmt.Errorf("unexpected message kind %d in a datagram", kind)
	}
	msg, err := decodeBody(kind, body)
	if err == nil && visit != nil {
		visit(kind, msg)
	}
	return err
}

// checkStreamHead checks the first bytes of a stream, after its label, and returns how many bytes the stream
// may have. The error wraps io.EOF or io.ErrUnexpectedEOF if head is not empty but too short for the check.
func checkStreamHead(head []byte, maxMembers int) (int, error) {
	if len(head) == 0 {
		return 0, errors.New("empty stream")
	}
	switch head[0] {
	case pingMsg:
		return baseStreamBytes, nil
	case pushPullMsg:
		return checkPushPullHeader(head[1:], maxMembers)
	}
	return 0, fmt.Errorf("unexpected message kind %d at the start of a stream", head[0])
}

// checkPushPullHeader checks the head of a full state exchange, after its kind, and returns how many bytes
// the stream may have.
func checkPushPullHeader(head []byte, maxMembers int) (int, error) {
	var header pushPullHeader
	if err := codec.NewDecoderBytes(head, &codec.MsgpackHandle{}).Decode(&header); err != nil {
		return 0, fmt.Errorf("decode the header of a state exchange: %w", err)
	}
	if header.Nodes < 0 || header.Nodes > maxMembers {
		return 0, fmt.Errorf("state exchange with %d members; max_members is %d", header.Nodes, maxMembers)
	}
	if header.UserStateLen != 0 {
		return 0, fmt.Errorf("state exchange with a user state of %d bytes; this program sends none",
			header.UserStateLen)
	}
	return baseStreamBytes + header.Nodes*maxMemberStateBytes, nil
}
