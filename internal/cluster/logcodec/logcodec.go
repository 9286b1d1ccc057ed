// Package logcodec encodes the commands and snapshots in the logs of Raft groups. The encoding is msgpack,
// with structs as arrays of their fields in declaration order. The bytes are stored, so a field of an encoded
// struct must never be moved or removed, and a new field must be added last. Its functions have no side
// effects and may be called from any goroutine.
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

// EncodeCommand encodes a command as it is stored in a log: a byte for its kind, then its msgpack encoding.
func EncodeCommand(kind byte, command any) []byte {
	return append([]byte{kind}, Encode(command)...)
}

// DecodeCommand decodes a command encoded by EncodeCommand into the value that into points to. It ignores the
// kind. data must not be empty.
func DecodeCommand(data []byte, into any) error { return Decode(data[1:], into) }

// Encode encodes a value. The order of map keys is unspecified; see EncodeCanonical. It panics on a value
// that can't be encoded, such as a channel. That depends only on the value's type, so that no input can cause
// it.
func Encode(value any) []byte { return encode(plainHandle, value) }

// EncodeCanonical encodes a value like Encode but with map keys sorted, so that equal values give equal
// bytes.
func EncodeCanonical(value any) []byte { return encode(canonicalHandle, value) }

// Decode decodes the output of Encode or EncodeCanonical into the value that into points to. After an error,
// that value may have been changed in part.
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
