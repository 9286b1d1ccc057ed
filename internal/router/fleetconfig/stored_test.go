package fleetconfig

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestStoredConfigurationsReadBack(t *testing.T) {
	c := qt.New(t)
	base := mustParse(t, baseDocument)
	body := []byte(`{"edition":9,"withdraw":{"routes":["a"]}}`)
	next, err := base.ParseAndApply(body)
	c.Assert(err, qt.IsNil)
	stored := EncodeStored(next.Patch(), next.Raw())
	// Without the base version the document is parsed instead of the patch.
	for _, previous := range []*Config{base, nil, next} {
		got, err := ParseStored(stored, previous)
		c.Assert(err, qt.IsNil)
		c.Assert(string(got.Raw()), qt.Equals, string(next.Raw()))
		c.Assert(got.Patch() != nil, qt.Equals, previous == base)
	}
	complete, err := ParseStored([]byte(baseDocument), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(complete.Version, qt.Equals, int64(7))

	digest := StoredDigest(stored)
	c.Assert(StoredDigest(EncodeStoredPatch(&Patch{Base: 7, Body: body})), qt.Equals, digest)
	c.Assert(StoredDigest(EncodeStoredPatch(&Patch{Base: 6, Body: body})) == digest, qt.IsFalse)
	c.Assert(StoredDigest(next.Raw()) == digest, qt.IsFalse)
	for length := range EncodeStoredPatch(next.Patch()) {
		if _, err := ParseStored(stored[:length], base); err == nil {
			c.Errorf("a stored configuration truncated to %d bytes is accepted", length)
		}
	}
}
