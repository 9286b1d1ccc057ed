package agentsim

import (
	"os"
	"testing"

	"cresshub/internal/invariant"
)

// TestMain has a broken invariant fail the tests.
func TestMain(m *testing.M) {
	invariant.PanicOnViolation()
	os.Exit(m.Run())
}
