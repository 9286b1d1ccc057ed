package groupstate

import (
	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/logcodec"
)

// Kinds of commands in the log, in addition to those of package ledger. The kind is the first byte of an
// encoded command (logcodec.EncodeCommand).
const (
	kindLease               = 'L'
	kindExportIntent        = 'I'
	kindExportDone          = 'D'
	kindCorrectionsExported = 'S'
	kindPublishEndpointList = 'T'
)

// Each command of a role has the name of the owner that proposes it and the token of the owner's grant. The
// log stores the fields in the order in which they are declared, see package logcodec.

// ExportIntent records that the owner is about to send a period to the sink.
type ExportIntent struct {
	Member string
	Token  uint64
	Period uint64
}

// ExportDone records that the sink has acknowledged every entry of a period.
type ExportDone struct {
	Member string
	Token  uint64
	Period uint64
}

// CorrectionsExported records that the sink has acknowledged the pending corrections up to UpToSeq.
type CorrectionsExported struct {
	Member  string
	Token   uint64
	UpToSeq uint64 // PendingCorrection.Seq
}

// PublishEndpointList publishes the list of zone servers. An empty Raw confirms that the list published
// before is still current.
type PublishEndpointList struct {
	Member         string
	Token          uint64
	DiscoveryIndex int64  // discovery's version number of the list
	Raw            []byte // JSON in discovery's format
}

// EncodeLease encodes a lease command for the log.
func EncodeLease(cmd lease.Command) []byte { return logcodec.EncodeCommand(kindLease, &cmd) }

// Encode encodes the command for the log.
func (c *ExportIntent) Encode() []byte { return logcodec.EncodeCommand(kindExportIntent, c) }

// Encode encodes the command for the log.
func (c *ExportDone) Encode() []byte { return logcodec.EncodeCommand(kindExportDone, c) }

// Encode encodes the command for the log.
func (c *CorrectionsExported) Encode() []byte {
	return logcodec.EncodeCommand(kindCorrectionsExported, c)
}

// Encode encodes the command for the log.
func (c *PublishEndpointList) Encode() []byte {
	return logcodec.EncodeCommand(kindPublishEndpointList, c)
}
