package dataplane

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/agentsettings"
)

// TestConnectionLimitsLeaveDescriptors checks that the connection limits leave enough file descriptors for
// other processes, heartbeats and operators when clients and servers use all of their connections.
func TestConnectionLimitsLeaveDescriptors(t *testing.T) {
	for _, descriptors := range []int{600, 1024, 4100, 65536} {
		proxy := &Proxy{settings: &agentsettings.Settings{Descriptors: descriptors}}
		left := descriptors - reservedDescriptors - 2*proxy.connectionLimit()
		qt.Check(t, left >= (descriptors-reservedDescriptors)/controlDescriptorDivisor, qt.IsTrue,
			qt.Commentf("%d of %d are left", left, descriptors))
	}
}
