package fleetconfig

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
)

// The control state stores a complete document as it is. A configuration that a patch created is stored as
//
//	patchFormatTag | base version, varint | length of the patch, uvarint | patch | document
//
// so that a process that has the base version applies the patch and one that doesn't parses the document.

// patchFormatTag is the first byte of the stored form of a configuration that a patch created; no document
// begins with it. A change of the format, or of how patches are applied, needs a new tag, because the tag is
// part of the digest.
const patchFormatTag = 0x01

// errStoredConfig reports that a stored configuration can't be decoded.
var errStoredConfig = errors.New("the stored configuration is corrupt or was written by another release; " +
	"start the release that wrote it")

// EncodeStoredPatch returns the stored form of a configuration that a patch created, without the document at
// its end. It contains the patch and its base version, which determine the document.
func EncodeStoredPatch(patch *Patch) []byte {
	stored := make([]byte, 0, 1+2*binary.MaxVarintLen64+len(patch.Body))
	stored = append(stored, patchFormatTag)
	stored = binary.AppendVarint(stored, patch.Base)
	stored = binary.AppendUvarint(stored, uint64(len(patch.Body)))
	return append(stored, patch.Body...)
}

// EncodeStored returns the complete stored form of a configuration that a patch created.
func EncodeStored(patch *Patch, document []byte) []byte {
	return append(EncodeStoredPatch(patch), document...)
}

// StoredDocument returns the document of a stored configuration.
func StoredDocument(stored []byte) ([]byte, error) {
	decoded, err := decodeStored(stored)
	return decoded.document, err
}

// StoredDigest identifies the change that created a stored configuration: it is the digest of the complete
// document, or of the patch and its base version.
func StoredDigest(stored []byte) [sha256.Size]byte {
	change := stored
	if decoded, err := decodeStored(stored); err == nil && decoded.patch != nil {
		change = stored[:len(stored)-len(decoded.document)]
	}
	return sha256.Sum256(change)
}

// ParseStored parses a stored configuration. If a patch created it from previous, which may be nil, only the
// patch is parsed.
func ParseStored(stored []byte, previous *Config) (*Config, error) {
	decoded, err := decodeStored(stored)
	if err != nil {
		return nil, err
	}
	if patch := decoded.patch; patch != nil && previous != nil && previous.Version == patch.Base {
		if config, err := previous.ParseAndApply(patch.Body); err == nil {
			config.raw = decoded.document
			return config, nil
		}
	}
	return Parse(decoded.document)
}

// storedConfig holds the parts of a stored configuration.
type storedConfig struct {
	patch    *Patch // nil for a complete document; its Version is not set, as the document has it
	document []byte
}

// decodeStored splits a stored configuration into its parts without copying them.
func decodeStored(stored []byte) (storedConfig, error) {
	if len(stored) == 0 || stored[0] != patchFormatTag {
		return storedConfig{document: stored}, nil
	}
	remaining := stored[1:]
	base, size := binary.Varint(remaining)
	if size <= 0 {
		return storedConfig{}, errStoredConfig
	}
	remaining = remaining[size:]
	length, size := binary.Uvarint(remaining)
	if size <= 0 || length > uint64(len(remaining)-size) {
		return storedConfig{}, errStoredConfig
	}
	remaining = remaining[size:]
	return storedConfig{patch: &Patch{Base: base, Body: remaining[:length]}, document: remaining[length:]}, nil
}
