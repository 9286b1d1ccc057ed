package agent

import (
	"os"
	"testing"

	"cresshub/internal/invariant"
)

// TestMain makes the violation of an invariant fail the tests.
func TestMain(m *testing.M) {
	invariant.PanicOnViolation()
	os.Exit(m.Run())
}
