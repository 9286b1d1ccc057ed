package lease

import (
	"testing"

	"cresshub/internal/testbed/goldenfile"
)

// A lease's commands stand in the log in package chore's form, and its grants in that package's snapshot:
// both have their golden files there. What crosses by itself is what became of a command.
func TestGoldenGrantsAreReadAndWrittenByteForByte(t *testing.T) {
	g := Grant{Holder: "odori-1", Token: 12, Renewals: 13}
	goldenfile.CheckJSON(t, "grant.json", g)
	goldenfile.CheckJSON(t, "result.json", Result{Applied: true, Grant: g})
	goldenfile.CheckJSON(t, "ops.json", []Op{Acquire, Renew, Release})
	goldenfile.CheckBytes(t, "token-header.txt", []byte(TokenHeader))
}
