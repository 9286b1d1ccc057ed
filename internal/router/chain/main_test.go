package chain

import (
	"os"
	"testing"

	"cresshub/internal/invariant"
)

// TestMain makes a broken invariant fail the tests.
func TestMain(m *testing.M) {
	invariant.PanicOnViolation()
	os.Exit(m.Run())
}
