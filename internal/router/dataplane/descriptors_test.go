package dataplane

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/agentsettings"
)

// TestClientsAndServersLeaveDescriptors: however many connections clients and servers take, other processes,
// heartbeats and operators get through.
func TestClientsAndServersLeaveDescriptors(t *testing.T) {
	for _, descriptors := range []int{600, 1024, 4100, 65536} {
		proxy := &Proxy{settings: &agentsettings.Settings{Descriptors: descriptors}}
		left := descriptors - reservedDescriptors - 2*proxy.connectionLimit()
		qt.Check(t, left >= (descriptors-reservedDescriptors)/controlDescriptorDivisor, qt.IsTrue,
			qt.Commentf("%d of %d are left", left, descriptors))
	}
}
