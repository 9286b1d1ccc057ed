package chain

import (
	"bytes"
	"crypto/sha256"
)

// Entry is one value of the register.
type Entry struct {
	// Epoch is the last epoch in which the entry passed along the chain here.
	Epoch uint64
	// Sequence counts writes; an opening of an epoch doesn't change it.
	Sequence uint64
	// Version is the writer's own number, rising with every write.
	Version int64
	Body    []byte
}

// Digest names the change that a body came from; by default it is the SHA-256 of the body.
type Digest [sha256.Size]byte

// digestOfBody is the digest of a body that is a change by itself.
func digestOfBody(body []byte) Digest { return sha256.Sum256(body) }

// acceptedEntry is an entry with its digest and the committed entries before it, the oldest first.
type acceptedEntry struct {
	Entry
	digest  Digest
	history []PastEntry
}

// newAcceptedEntry computes an entry's digest.
func (c *Config) newAcceptedEntry(entry Entry, history []PastEntry) acceptedEntry {
	return acceptedEntry{entry, c.DigestOf(entry.Body), history}
}

// matches tells whether an entry is the one that a message tells of by digest.
func (e *acceptedEntry) matches(m *Message) bool {
	return e.Sequence == m.Sequence && e.Version == m.Version && bytes.Equal(e.digest[:], m.Digest)
}
