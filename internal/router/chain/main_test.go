package chain

import (
	"os"
	"testing"

	"cresshub/internal/invariant"
)

// TestMain makes a violated invariant panic, which fails the tests.
func TestMain(m *testing.M) {
	invariant.PanicOnViolation()
	os.Exit(m.Run())
}
