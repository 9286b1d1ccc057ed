package directory

import (
	"os"
	"testing"

	"cresshub/internal/invariant"
)

// TestMain makes a violated invariant panic, so that it fails the test.
func TestMain(m *testing.M) {
	invariant.PanicOnViolation()
	os.Exit(m.Run())
}
