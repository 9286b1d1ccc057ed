package peerproto

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPackedDocumentsRoundTrip(t *testing.T) {
	for _, document := range []string{"", "{}", string(bytes.Repeat([]byte(`{"name":"route"}`), 10000))} {
		got, err := Unpack(Pack([]byte(document)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(got), qt.Equals, document)
	}
}

func TestTruncatedPackedDocumentsAreRejected(t *testing.T) {
	packed := Pack(bytes.Repeat([]byte(`{"name":"route","depot":"model"}`), 100))
	for cut := range packed {
		_, err := Unpack(packed[:cut])
		qt.Assert(t, err, qt.ErrorIs, errCorruptPacked)
	}
}

func TestPackedDocumentOfWrongLengthIsRejected(t *testing.T) {
	packed := Pack([]byte("0123456789"))
	for _, length := range []byte{0, 9, 11} {
		packed[0] = length
		_, err := Unpack(packed)
		qt.Assert(t, err, qt.ErrorIs, errCorruptPacked)
	}
	_, err := Unpack([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	qt.Assert(t, err, qt.ErrorIs, errCorruptPacked)
}
