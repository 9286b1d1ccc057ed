package dataplane

import (
	"testing"

	"cresshub/internal/invariant"
	"cresshub/internal/testbed/leaktest"
)

func TestMain(m *testing.M) {
	invariant.PanicOnViolation()
	leaktest.VerifyTestMain(m)
}
