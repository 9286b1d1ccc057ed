package fleetconfig

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
)

// patchFormatTag begins the stored form of a configuration that a patch made. No document begins with it.
// Another form of the same, or another way to apply patches, needs another mark: it is part of the digest.
const patchFormatTag = 0x01

// errStoredConfig tells that a stored configuration can't be read.
var errStoredConfig = errors.New("a stored configuration is damaged or of another release; " +
	"start the release that wrote it")

// EncodeStoredPatch returns the beginning of the stored form of a configuration that a patch made: all but
// the document. It names the patch and what it builds on, which decide the document.
func EncodeStoredPatch(patch *Patch) []byte {
	stored := make([]byte, 0, 1+2*binary.MaxVarintLen64+len(patch.Body))
	stored = append(stored, patchFormatTag)
	stored = binary.AppendVarint(stored, patch.Base)
	stored = binary.AppendUvarint(stored, uint64(len(patch.Body)))
	return append(stored, patch.Body...)
}

// EncodeStored returns the form in which the control state keeps a configuration that a patch made.
func EncodeStored(patch *Patch, document []byte) []byte {
	return append(EncodeStoredPatch(patch), document...)
}

// StoredDigest names the change that made a stored configuration: the document that was sent whole, or the
// patch and what it builds on.
func StoredDigest(stored []byte) [sha256.Size]byte {
	if _, _, documentStart, isPatch := splitStored(stored); isPatch {
		return sha256.Sum256(stored[:documentStart])
	}
	return sha256.Sum256(stored)
}

// DecodeStored returns the document of a stored configuration, and the patch that made it, nil for none. The
// patch has no version yet: the document has it.
func DecodeStored(stored []byte) (document []byte, patch *Patch, err error) {
	if len(stored) == 0 || stored[0] != patchFormatTag {
		return stored, nil, nil
	}
	base, body, documentStart, isPatch := splitStored(stored)
	if !isPatch {
		return nil, nil, errStoredConfig
	}
	return stored[documentStart:], &Patch{Base: base, Body: body}, nil
}

// splitStored returns the patch of a stored configuration and where the document begins.
func splitStored(stored []byte) (base int64, body []byte, documentStart int, isPatch bool) {
	if len(stored) == 0 || stored[0] != patchFormatTag {
		return 0, nil, 0, false
	}
	base, baseSize := binary.Varint(stored[1:])
	if baseSize <= 0 {
		return 0, nil, 0, false
	}
	bodySize, lengthSize := binary.Uvarint(stored[1+baseSize:])
	bodyStart := 1 + baseSize + lengthSize
	if lengthSize <= 0 || bodySize > uint64(len(stored)-bodyStart) {
		return 0, nil, 0, false
	}
	documentStart = bodyStart + int(bodySize)
	return base, stored[bodyStart:documentStart], documentStart, true
}

// ParseStored reads a stored configuration. Where a patch made it of the version given, which may be nil,
// only the patch is read.
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

// ParseAndApply reads a patch that builds on this version and applies it.
func (c *Config) ParseAndApply(body []byte) (*Config, error) {
	patch, err := ParsePatch(c.Version, body)
	if err != nil {
		return nil, err
	}
	return c.Apply(patch)
}
