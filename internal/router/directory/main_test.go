package directory

import (
	"os"
	"testing"

	"cresshub/internal/invariant"
)

// TestMain makes a violated invariant fail the tests.
func TestMain(m *testing.M) {
	invariant.PanicOnViolation()
	os.Exit(m.Run())
}
