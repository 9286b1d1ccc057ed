package ledger

import (
	"errors"
	"fmt"

	"cresshub/internal/cluster/logcodec"
)

// Kinds of commands in the log, which stand before the command itself (logcodec.EncodeCommand).
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

// KeyUsage is usage of one key: in Usage the sum of the answers without a request id, and in the slices,
// which belong together by index, each answer with one.
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
func (b *Batch) Encode() []byte { return logcodec.EncodeCommand(kindBatch, b) }

// Encode encodes the command for the log.
func (c *ClosePeriod) Encode() []byte { return logcodec.EncodeCommand(kindClose, c) }

// Encode encodes the command for the log.
func (c *Correction) Encode() []byte { return logcodec.EncodeCommand(kindCorrection, c) }

// DecodeBatch decodes what Batch.Encode has written.
func DecodeBatch(data []byte) (*Batch, error) {
	if len(data) == 0 || data[0] != kindBatch {
		return nil, errors.New("no batch")
	}
	var batch Batch
	if err := logcodec.DecodeCommand(data, &batch); err != nil {
		return nil, fmt.Errorf("a batch that does not decode: %w", err)
	}
	for i := range batch.Usage {
		if !batch.Usage[i].isConsistent() {
			return nil, errors.New("a batch whose answers do not fit together")
		}
	}
	return &batch, nil
}

// isConsistent reports whether each request id has its bytes, and the sum is of no negative number of
// answers.
func (u *KeyUsage) isConsistent() bool {
	return len(u.BytesInByID) == len(u.IDs) && len(u.BytesOutByID) == len(u.IDs) && u.Count >= 0
}

// DecodeCorrection decodes what Correction.Encode has written, false if data is another command or doesn't
// decode.
func DecodeCorrection(data []byte) (correction Correction, ok bool) {
	if len(data) == 0 || data[0] != kindCorrection {
		return Correction{}, false
	}
	err := logcodec.DecodeCommand(data, &correction)
	return correction, err == nil
}
