package dataplane

import (
	"testing"

	"go.uber.org/goleak"

	"cresshub/internal/invariant"
)

func TestMain(m *testing.M) {
	invariant.PanicOnViolation()
	goleak.VerifyTestMain(m)
}
