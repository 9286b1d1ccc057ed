package groupstate

import (
	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/logcodec"
)

// Kinds of commands in the log, beside those of package ledger. They stand before the command itself
// (logcodec.EncodeCommand).
const (
	kindLease               = 'L'
	kindExportIntent        = 'I'
	kindExportDone          = 'D'
	kindCorrectionsExported = 'S'
	kindPublishEndpointList = 'T'
)

// The commands of a role carry the name of the owner that proposes them and the token of its grant. They are
// encoded for the log with their fields in this order, see package logcodec.

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

// CorrectionsExported says that the sink has acknowledged the pending corrections up to one.
type CorrectionsExported struct {
	Member  string
	Token   uint64
	UpToSeq uint64 // PendingCorrection.Seq
}

// PublishEndpointList publishes the list of zone servers. An empty Raw confirms the list published before.
type PublishEndpointList struct {
	Member         string
	Token          uint64
	DiscoveryIndex int64  // discovery's number of the list
	Raw            []byte // JSON in discovery's format
}

// EncodeLease encodes a command of the lease for the log.
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
