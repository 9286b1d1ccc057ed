package peerproto

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// errCorruptPacked tells that a packed document can't be read.
var errCorruptPacked = errors.New("a packed document is damaged; the connection has to begin anew")

// Pack returns a document in the form in which it is sent to many: its length, and its bytes deflated. The
// fastest level is taken, which allots the least memory.
func Pack(document []byte) []byte {
	var packed bytes.Buffer
	packed.Write(binary.AppendUvarint(nil, uint64(len(document))))
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(document)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		panic("peerwire: " + err.Error()) // the level is valid, and a buffer takes all
	}
	return packed.Bytes()
}

// patchesPrefix begins patches in place of a packed document, whose length is never 0.
const patchesPrefix = 0

// PackPatches returns patches in the form in which they are sent in place of a packed document.
func PackPatches(patches *Patches) []byte {
	return append([]byte{patchesPrefix}, Pack(Encode(patches))...)
}

// ArePatches tells whether patches were packed, and not a document.
func ArePatches(packed []byte) bool { return len(packed) > 0 && packed[0] == patchesPrefix }

// UnpackPatches returns patches of their packed form.
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

// Unpack returns the document of its packed form.
func Unpack(packed []byte) ([]byte, error) {
	length, size := binary.Uvarint(packed)
	if size <= 0 || length > MaxBody {
		return nil, errCorruptPacked
	}
	r := flate.NewReader(bytes.NewReader(packed[size:]))
	document := make([]byte, length)
	if _, err := io.ReadFull(r, document); err != nil {
		return nil, fmt.Errorf("%w (%v)", errCorruptPacked, err)
	}
	if n, err := io.ReadFull(r, make([]byte, 1)); n != 0 || err != io.EOF {
		return nil, errCorruptPacked
	}
	return document, nil
}
