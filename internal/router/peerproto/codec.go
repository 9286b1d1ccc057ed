package peerproto

import (
	"fmt"

	"github.com/hamba/avro/v2"
)

// maxElements bounds the length of each list in a message, because Avro's reader allocates as many elements
// as a list announces before it reads them. The longest real lists have a few thousand records, prefixes or
// past changes.
const maxElements = 1 << 16

// codec accepts values up to the size of a frame's body; by default Avro's reader rejects values above 1 MiB.
var codec = avro.Config{MaxByteSliceSize: MaxBody, MaxSliceAllocSize: maxElements}.Freeze()

// Message is a pointer to one of the message structs of this package.
type Message interface{ schema() avro.Schema }

// DecodeError means that a body does not decode as the expected message in this release's schema.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("cannot decode message (%v); check that its sender runs the same release", e.Err)
}

// Unwrap returns the error of Avro's reader.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the Avro encoding of a message.
func Encode(message Message) []byte {
	body, err := codec.Marshal(message.schema(), message)
	if err != nil {
		panic("peerproto: " + err.Error()) // can't happen: the schemas are embedded and covered by tests
	}
	return body
}

// Decode decodes a body into message. Any error is a *DecodeError.
func Decode(body []byte, message Message) (err error) {
	defer func() {
		if cause := recover(); cause != nil { // Avro's reader panics on some invalid list lengths
			err = &DecodeError{fmt.Errorf("%v", cause)}
		}
	}()
	if err := codec.Unmarshal(message.schema(), body, message); err != nil {
		return &DecodeError{err}
	}
	return nil
}
