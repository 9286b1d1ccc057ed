package peerproto

import (
	"fmt"

	"github.com/hamba/avro/v2"
)

// maxElements bounds the lists of a message, because Avro's reader allocates as many elements as a list
// announces before it reads them. The longest are some thousand records, prefixes or past changes.
const maxElements = 1 << 16

// codec takes values as long as a frame's body may be; by default Avro's reader rejects values beyond 1 MiB.
var codec = avro.Config{MaxByteSliceSize: MaxBody, MaxSliceAllocSize: maxElements}.Freeze()

// Message is a message of this package, a pointer to one of its structs.
type Message interface{ schema() avro.Schema }

// DecodeError means that a body is not the expected message of this release.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("a message can't be read (%v); check that its sender is a process of this release", e.Err)
}

// Unwrap returns the reader's error.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the Avro encoding of a message.
func Encode(message Message) []byte {
	body, err := codec.Marshal(message.schema(), message)
	if err != nil {
		panic("peerproto: " + err.Error()) // the schemas are fixed and tested
	}
	return body
}

// Decode decodes a body into message. The error is a *DecodeError.
func Decode(body []byte, message Message) (err error) {
	defer func() {
		if cause := recover(); cause != nil { // Avro's reader panics on some counts
			err = &DecodeError{fmt.Errorf("%v", cause)}
		}
	}()
	if err := codec.Unmarshal(message.schema(), body, message); err != nil {
		return &DecodeError{err}
	}
	return nil
}
