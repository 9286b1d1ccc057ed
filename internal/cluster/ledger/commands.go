package ledger

import (
	"errors"
	"fmt"

	"cresshub/internal/cluster/logcodec"
)

// Kinds of commands. The kind precedes the command in the log, see logcodec.EncodeCommand.
const (
	kindBatch      = 'B'
	kindClose      = 'C'
	kindCorrection = 'F'
)

// Batch is the usage that a member has counted since its last batch.
type Batch struct {
	Member      string
	Incarnation uint64 // incarnation of the member's process
	Seq         uint64 // sequence number, from 1 and without gaps within an incarnation
	Usage       []KeyUsage
}

// KeyUsage is the usage of one key. Usage is the sum of the answers without a request id. The slices have
// an element for each answer with a request id, at the same index.
type KeyUsage struct {
	Key
	Usage
	IDs          []uint64
	BytesInByID  []int64 // same length as IDs
	BytesOutByID []int64 // same length as IDs
}

// ClosePeriod closes a period if it is the open one.
type ClosePeriod struct {
	Period uint64
	AtMS   int64 // wall clock of the proposer in ms since 1970, for display only
}

// Correction adds usage, which may be negative, to a closed period.
type Correction struct {
	ID     string `json:"id"` // a second correction with the same id and period is ignored
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

// DecodeBatch decodes a batch that Batch.Encode has encoded.
func DecodeBatch(data []byte) (*Batch, error) {
	if len(data) == 0 || data[0] != kindBatch {
		return nil, errors.New("the command is not a batch")
	}
	var batch Batch
	if err := logcodec.DecodeCommand(data, &batch); err != nil {
		return nil, fmt.Errorf("decoding a batch: %w", err)
	}
	for i := range batch.Usage {
		if !batch.Usage[i].isConsistent() {
			return nil, errors.New("decoding a batch: a request id lacks its bytes, or a count is negative")
		}
	}
	return &batch, nil
}

// isConsistent reports whether every request id has its numbers of bytes, and the number of answers without a
// request id isn't negative.
func (u *KeyUsage) isConsistent() bool {
	return len(u.BytesInByID) == len(u.IDs) && len(u.BytesOutByID) == len(u.IDs) && u.Count >= 0
}

// DecodeCorrection decodes a correction that Correction.Encode has encoded. It returns false if data is
// another command or doesn't decode.
func DecodeCorrection(data []byte) (correction Correction, ok bool) {
	if len(data) == 0 || data[0] != kindCorrection {
		return Correction{}, false
	}
	err := logcodec.DecodeCommand(data, &correction)
	return correction, err == nil
}
