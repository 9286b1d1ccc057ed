package fleetconfig

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
)

// patchMark begins the stored form of a configuration that a patch made. No document begins with it. Another
// form of the same, or another way to apply patches, needs another mark: it is part of the digest.
const patchMark = 0x01

// errStored tells that a stored configuration can't be read.
var errStored = errors.New("a stored configuration is damaged or of another release; " +
	"start the release that wrote it")

// EncodePatch returns the beginning of the stored form of a configuration that a patch made: all but the
// document. It names the patch and what it builds on, which decide the document.
func EncodePatch(patch *Patch) []byte {
	stored := make([]byte, 0, 1+2*binary.MaxVarintLen64+len(patch.Body))
	stored = append(stored, patchMark)
	stored = binary.AppendVarint(stored, patch.Base)
	stored = binary.AppendUvarint(stored, uint64(len(patch.Body)))
	return append(stored, patch.Body...)
}

// EncodeStored returns the form in which the control state keeps a configuration that a patch made.
func EncodeStored(patch *Patch, document []byte) []byte {
	return append(EncodePatch(patch), document...)
}

// DigestOfStored names the change that made a stored configuration: the document that was sent whole, or the
// patch and what it builds on.
func DigestOfStored(stored []byte) [sha256.Size]byte {
	if _, _, length, isPatch := cutStored(stored); isPatch {
		return sha256.Sum256(stored[:length])
	}
	return sha256.Sum256(stored)
}

// DecodeStored returns the document of a stored configuration, and the patch that made it, nil for none. The
// patch has no version yet: the document has it.
func DecodeStored(stored []byte) (document []byte, patch *Patch, err error) {
	if len(stored) == 0 || stored[0] != patchMark {
		return stored, nil, nil
	}
	base, body, length, isPatch := cutStored(stored)
	if !isPatch {
		return nil, nil, errStored
	}
	return stored[length:], &Patch{Base: base, Body: body}, nil
}

// cutStored returns the patch of a stored configuration and where the document begins.
func cutStored(stored []byte) (base int64, body []byte, length int, isPatch bool) {
	if len(stored) == 0 || stored[0] != patchMark {
		return 0, nil, 0, false
	}
	base, first := binary.Varint(stored[1:])
	if first <= 0 {
		return 0, nil, 0, false
	}
	size, second := binary.Uvarint(stored[1+first:])
	begin := 1 + first + second
	if second <= 0 || size > uint64(len(stored)-begin) {
		return 0, nil, 0, false
	}
	length = begin + int(size)
	return base, stored[begin:length], length, true
}

// FromStored reads a stored configuration. Where a patch made it of the version given, which may be nil, only
// the patch is read.
func FromStored(stored []byte, before *Config) (*Config, error) {
	document, patch, err := DecodeStored(stored)
	if err != nil {
		return nil, err
	}
	if patch != nil && before != nil && before.Version == patch.Base {
		if config, err := before.ApplyBody(patch.Body); err == nil {
			config.raw = document
			return config, nil
		}
	}
	return Parse(document)
}

// ApplyBody reads a patch that builds on this version and applies it.
func (c *Config) ApplyBody(body []byte) (*Config, error) {
	patch, err := ParsePatch(c.Version, body)
	if err != nil {
		return nil, err
	}
	return c.Apply(patch)
}
