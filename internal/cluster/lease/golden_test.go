package lease

import (
	"testing"

	"cresshub/internal/testbed/goldenfile"
)

// Package groupstate encodes the lease commands for the log and the grants for its snapshot, and has the
// golden files of both. The files here hold what is encoded as JSON, the numbers of the operations and the
// header.
func TestGoldenGrantsAreReadAndWrittenByteForByte(t *testing.T) {
	g := Grant{Holder: "odori-1", Token: 12, Renewals: 13}
	goldenfile.CheckJSON(t, "grant.json", g)
	goldenfile.CheckJSON(t, "result.json", Result{Applied: true, Grant: g})
	goldenfile.CheckJSON(t, "ops.json", []Op{Acquire, Renew, Release})
	goldenfile.CheckBytes(t, "token-header.txt", []byte(TokenHeader))
}
