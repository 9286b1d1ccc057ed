package ledger

import (
	"errors"
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// Kinds of commands in the log: a byte before the msgpack of the command, which is an array in the order of
// the struct's fields.
const (
	kindBatch      = 'B'
	kindClose      = 'C'
	kindCorrection = 'F'
)

// Batch is what a member counted since its last batch.
type Batch struct {
	Member      string
	Incarnation uint64 // of the member's process
	Seq         uint64 // from 1, without gaps within an incarnation
	Usage       []KeyUsage
}

// KeyUsage is usage of one key: the sum of the answers without a request id, and those with one by
// themselves.
type KeyUsage struct {
	Key
	Usage
	IDs          []uint64
	BytesInByID  []int64 // as long as IDs
	BytesOutByID []int64 // as long as IDs
}

// ClosePeriod closes a period if it is the open one.
type ClosePeriod struct {
	Period uint64
	AtMS   int64 // wall clock of the proposer in ms, for people only
}

// Correction changes the usage of a closed period.
type Correction struct {
	ID     string `json:"id"` // a correction of the same id and period counts once
	Period uint64 `json:"period"`
	Key
	Usage
	Reason string `json:"reason"`
}

// Encode encodes the command for the log.
func (b *Batch) Encode() []byte { return encode(kindBatch, b) }

// Encode encodes the command for the log.
func (c *ClosePeriod) Encode() []byte { return encode(kindClose, c) }

// Encode encodes the command for the log.
func (c *Correction) Encode() []byte { return encode(kindCorrection, c) }

// DecodeBatch decodes what Batch.Encode has written.
func DecodeBatch(data []byte) (*Batch, error) {
	var b Batch
	if len(data) == 0 || data[0] != kindBatch {
		return nil, errors.New("no batch")
	}
	if err := codec.NewDecoderBytes(data[1:], msgpackHandle).Decode(&b); err != nil {
		return nil, fmt.Errorf("a batch that does not decode: %w", err)
	}
	for i := range b.Usage {
		u := &b.Usage[i]
		if len(u.BytesInByID) != len(u.IDs) || len(u.BytesOutByID) != len(u.IDs) || u.Count < 0 {
			return nil, errors.New("a batch whose answers do not fit together")
		}
	}
	return &b, nil
}

// DecodeCorrection decodes what Correction.Encode has written, false if data is another command or doesn't
// decode.
func DecodeCorrection(data []byte) (c Correction, ok bool) {
	if len(data) == 0 || data[0] != kindCorrection {
		return c, false
	}
	return c, codec.NewDecoderBytes(data[1:], msgpackHandle).Decode(&c) == nil
}

var msgpackHandle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.StructToArray = true
	return h
}()

func encode(kind byte, v any) []byte {
	var b []byte
	if err := codec.NewEncoderBytes(&b, msgpackHandle).Encode(v); err != nil {
		panic(err) // a struct of this package that the codec can't write: no input leads here
	}
	return append([]byte{kind}, b...)
}
