package groupstate

import (
	"github.com/hashicorp/go-msgpack/v2/codec"

	"cresshub/internal/cluster/lease"
)

// Kinds of commands in the log, beside those of package ledger: a byte before the msgpack of the command,
// which is an array in the order of the struct's fields.
const (
	kindLease           = 'L'
	kindExportIntent    = 'I'
	kindExportDone      = 'D'
	kindCorrectionsSent = 'S'
	kindEndpointList    = 'T'
)

// ExportIntent says that the owner is about to send a period.
type ExportIntent struct {
	Member string
	Token  uint64
	Period uint64
}

// ExportDone says that the sink has acknowledged all of a period.
type ExportDone struct {
	Member string
	Token  uint64
	Period uint64
}

// CorrectionsSent says that the sink has acknowledged the pending corrections up to one.
type CorrectionsSent struct {
	Member string
	Token  uint64
	UpTo   uint64 // PendingCorrection.Seq
}

// EndpointList publishes the list of zone servers. An empty Raw confirms the list published before.
type EndpointList struct {
	Member string
	Token  uint64
	Index  int64  // discovery's number of the list
	Raw    []byte // JSON in discovery's format
}

// EncodeLease encodes a command of the lease for the log.
func EncodeLease(cmd lease.Command) []byte { return encode(kindLease, &cmd) }

// Encode encodes the command for the log.
func (c *ExportIntent) Encode() []byte { return encode(kindExportIntent, c) }

// Encode encodes the command for the log.
func (c *ExportDone) Encode() []byte { return encode(kindExportDone, c) }

// Encode encodes the command for the log.
func (c *CorrectionsSent) Encode() []byte { return encode(kindCorrectionsSent, c) }

// Encode encodes the command for the log.
func (c *EndpointList) Encode() []byte { return encode(kindEndpointList, c) }

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
