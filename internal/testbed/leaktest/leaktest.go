// Package leaktest fails a package's tests where goroutines are left after them, by goleak, which alone waits
// for less than half a second: on a busy machine, goroutines that are about to end may need longer to run.
package leaktest

import (
	"testing"
	"time"

	"go.uber.org/goleak"
)

// patience bounds the wait for goroutines that end; no verdict depends on how much of it is used.
const patience = 20 * time.Second

// VerifyTestMain runs the tests of a package and ends the process, with an error where goroutines are left.
func VerifyTestMain(m *testing.M) { goleak.VerifyTestMain(patientTests{m}) }

// patientTests are tests that wait for their goroutines.
type patientTests struct{ *testing.M }

// Run runs the tests, and waits until only the goroutines are left that were there before.
func (p patientTests) Run() int {
	code := p.M.Run()
	for end := time.Now().Add(patience); goleak.Find() != nil && time.Now().Before(end); {
		continue
	}
	return code
}
