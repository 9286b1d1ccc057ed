// Package logcodec is the encoding of commands and snapshots in the logs of Raft groups: msgpack, with
// structs as arrays in the order of their fields. The bytes are stored, so that a field of an encoded struct
// is never moved or removed, and one that is added comes last. It is pure, and its functions may be called
// from any goroutine.
package logcodec

import "github.com/hashicorp/go-msgpack/v2/codec"

var (
	plainHandle     = newHandle(false)
	canonicalHandle = newHandle(true)
)

func newHandle(canonical bool) *codec.MsgpackHandle {
	handle := &codec.MsgpackHandle{}
	handle.StructToArray = true
	handle.Canonical = canonical
	return handle
}

// EncodeCommand returns a command as it stands in a log: a byte for its kind, then its encoding.
func EncodeCommand(kind byte, command any) []byte {
	return append([]byte{kind}, Encode(command)...)
}

// DecodeCommand decodes a command that EncodeCommand has encoded into what into points to. It does not look
// at the kind. data must not be empty.
func DecodeCommand(data []byte, into any) error { return Decode(data[1:], into) }

// Encode encodes a value. Maps in it come in no order, see EncodeCanonical. It panics on a value that has no
// encoding, such as a channel: whether it does depends on the type alone, so that no input leads there.
func Encode(value any) []byte { return encode(plainHandle, value) }

// EncodeCanonical is Encode with the keys of maps sorted, so that equal values give equal bytes.
func EncodeCanonical(value any) []byte { return encode(canonicalHandle, value) }

// Decode decodes what Encode or EncodeCanonical has encoded into what into points to. After an error, into
// may have been changed in part.
func Decode(data []byte, into any) error {
	return codec.NewDecoderBytes(data, plainHandle).Decode(into)
}

func encode(handle *codec.MsgpackHandle, value any) []byte {
	var encoded []byte
	if err := codec.NewEncoderBytes(&encoded, handle).Encode(value); err != nil {
		panic(err)
	}
	return encoded
}
