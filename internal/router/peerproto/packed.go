package peerproto

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// errCorruptPacked means that a packed document can't be unpacked.
var errCorruptPacked = errors.New("packed document is corrupt; the connection must be reopened")

// Pack compresses a document that is sent to many processes. The result is the document's length as a
// uvarint, followed by its bytes compressed with DEFLATE (RFC 1951) at the fastest level, which needs the
// least memory.
func Pack(document []byte) []byte {
	var packed bytes.Buffer
	packed.Write(binary.AppendUvarint(nil, uint64(len(document))))
	if err := deflate(&packed, document); err != nil {
		panic("peerproto: " + err.Error()) // can't happen: the level is valid, and a buffer accepts all writes
	}
	return packed.Bytes()
}

// deflate writes the compressed document.
func deflate(out io.Writer, document []byte) error {
	w, err := flate.NewWriter(out, flate.BestSpeed)
	if err != nil {
		return err
	}
	if _, err := w.Write(document); err != nil {
		return err
	}
	return w.Close()
}

// Unpack is the inverse of Pack. It fails if packed is corrupt or announces more than MaxBody bytes.
func Unpack(packed []byte) ([]byte, error) {
	length, size := binary.Uvarint(packed)
	if size <= 0 || length > MaxBody {
		return nil, errCorruptPacked
	}
	r := flate.NewReader(bytes.NewReader(packed[size:]))
	document := make([]byte, length)
	if _, err := io.ReadFull(r, document); err != nil {
		return nil, fmt.Errorf("%w (%w)", errCorruptPacked, err)
	}
	if !atEnd(r) {
		return nil, errCorruptPacked
	}
	return document, nil
}

// atEnd reports whether a reader is at io.EOF, without further bytes or another error.
func atEnd(r io.Reader) bool {
	var next [1]byte
	read, err := io.ReadFull(r, next[:])
	return read == 0 && errors.Is(err, io.EOF)
}

// patchesPrefix precedes packed patches. It marks them, because a packed document begins with its length,
// which is never 0.
const patchesPrefix = 0

// PackPatches packs patches that are sent in place of a packed document.
func PackPatches(patches *Patches) []byte {
	return append([]byte{patchesPrefix}, Pack(Encode(patches))...)
}

// ArePatches reports whether packed is the result of PackPatches.
func ArePatches(packed []byte) bool { return len(packed) > 0 && packed[0] == patchesPrefix }

// UnpackPatches is the inverse of PackPatches. It fails if packed is corrupt or does not hold patches.
func UnpackPatches(packed []byte) (*Patches, error) {
	if !ArePatches(packed) {
		return nil, errCorruptPacked
	}
	body, err := Unpack(packed[1:])
	if err != nil {
		return nil, err
	}
	patches := &Patches{}
	if err := Decode(body, patches); err != nil {
		return nil, err
	}
	return patches, nil
}
