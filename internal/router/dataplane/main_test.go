package dataplane

import (
	"testing"
	"time"

	"go.uber.org/goleak"

	"cresshub/internal/invariant"
)

func TestMain(m *testing.M) {
	invariant.PanicOnViolation()
	goleak.VerifyTestMain(patientTests{m})
}

// patientTests are tests whose goroutines may take testTimeout to end after them. goleak alone waits for less
// than half a second, which a busy machine may need to run those that are about to end.
type patientTests struct{ *testing.M }

// Run runs the tests, and waits until only the goroutines are left that were there before.
func (p patientTests) Run() int {
	code := p.M.Run()
	for end := time.Now().Add(testTimeout); goleak.Find() != nil && time.Now().Before(end); {
		continue
	}
	return code
}
