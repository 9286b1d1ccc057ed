package chain

import (
	"bytes"
	"crypto/sha256"
)

// Entry is one value of the register.
type Entry struct {
	// Epoch is the latest epoch in which this node accepted the entry.
	Epoch uint64
	// Sequence is the number of writes so far. When an epoch opens, its head resends an entry under the
	// sequence that the entry already has.
	Sequence uint64
	// Version is chosen by the writer; it rises with every write.
	Version int64
	Body    []byte
}

// Digest identifies the change that produced a body; by default it is the SHA-256 of the body.
type Digest [sha256.Size]byte

// digestOfBody is the default of Config.DigestOf: it identifies a change by the whole body.
func digestOfBody(body []byte) Digest { return sha256.Sum256(body) }

// acceptedEntry is an entry with its digest and its history: the committed entries before it, oldest first.
type acceptedEntry struct {
	Entry
	digest  Digest
	history []PastEntry
}

// newAcceptedEntry returns an accepted entry with the digest of its body.
func (c *Config) newAcceptedEntry(entry Entry, history []PastEntry) acceptedEntry {
	return acceptedEntry{entry, c.DigestOf(entry.Body), history}
}

// matches reports whether an Append message identifies this entry.
func (e *acceptedEntry) matches(m *Message) bool {
	return e.Sequence == m.Sequence && e.Version == m.Version && bytes.Equal(e.digest[:], m.Digest)
}
