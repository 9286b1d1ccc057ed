package fleetconfig

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
)

// The control state stores a complete document as it is. A configuration that a patch made is stored as
//
//	patchFormatTag | base version, varint | length of the patch, uvarint | patch | document
//
// so that a process that has the base version applies the patch and one that doesn't parses the document.

// patchFormatTag begins the stored form of a configuration that a patch made; no document begins with it. A
// change of the format, or of how patches are applied, needs another tag, because the tag is part of the
// digest.
const patchFormatTag = 0x01

// errStoredConfig reports that a stored configuration can't be decoded.
var errStoredConfig = errors.New("a stored configuration is damaged or of another release; " +
	"start the release that wrote it")

// EncodeStoredPatch returns the stored form of a configuration that a patch made, up to the document. It
// names the patch and its base, which determine the document.
func EncodeStoredPatch(patch *Patch) []byte {
	stored := make([]byte, 0, 1+2*binary.MaxVarintLen64+len(patch.Body))
	stored = append(stored, patchFormatTag)
	stored = binary.AppendVarint(stored, patch.Base)
	stored = binary.AppendUvarint(stored, uint64(len(patch.Body)))
	return append(stored, patch.Body...)
}

// EncodeStored returns the complete stored form of a configuration that a patch made.
func EncodeStored(patch *Patch, document []byte) []byte {
	return append(EncodeStoredPatch(patch), document...)
}

// DecodeStored returns the document of a stored configuration, and the patch that made it, nil for a complete
// document. The patch has no Version: the document has it.
func DecodeStored(stored []byte) (document []byte, patch *Patch, err error) {
	if !hasPatch(stored) {
		return stored, nil, nil
	}
	patch, documentStart, err := splitStored(stored)
	if err != nil {
		return nil, nil, err
	}
	return stored[documentStart:], patch, nil
}

// StoredDigest identifies the change that made a stored configuration: the complete document, or the patch
// and its base version.
func StoredDigest(stored []byte) [sha256.Size]byte {
	if hasPatch(stored) {
		if _, documentStart, err := splitStored(stored); err == nil {
			return sha256.Sum256(stored[:documentStart])
		}
	}
	return sha256.Sum256(stored)
}

// ParseStored reads a stored configuration. If a patch made it from the previous version, which may be nil,
// only the patch is parsed.
func ParseStored(stored []byte, previous *Config) (*Config, error) {
	document, patch, err := DecodeStored(stored)
	if err != nil {
		return nil, err
	}
	if patch != nil && previous != nil && previous.Version == patch.Base {
		if config, err := previous.ParseAndApply(patch.Body); err == nil {
			config.raw = document
			return config, nil
		}
	}
	return Parse(document)
}

// hasPatch reports whether a stored configuration was made by a patch.
func hasPatch(stored []byte) bool { return len(stored) > 0 && stored[0] == patchFormatTag }

// splitStored returns the patch of a stored configuration that has one, and the offset of the document.
func splitStored(stored []byte) (patch *Patch, documentStart int, err error) {
	base, baseSize := binary.Varint(stored[1:])
	if baseSize <= 0 {
		return nil, 0, errStoredConfig
	}
	bodySize, lengthSize := binary.Uvarint(stored[1+baseSize:])
	bodyStart := 1 + baseSize + lengthSize
	if lengthSize <= 0 || bodySize > uint64(len(stored)-bodyStart) {
		return nil, 0, errStoredConfig
	}
	documentStart = bodyStart + int(bodySize)
	return &Patch{Base: base, Body: stored[bodyStart:documentStart]}, documentStart, nil
}
