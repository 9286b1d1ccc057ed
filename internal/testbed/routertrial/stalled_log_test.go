package routertrial

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/testbed/routerstandin"
)

// A process whose log nobody reads serves on: whoever collects logs must not hold up clients, servers or the
// other processes.
func TestStalledLogDelaysNothing(t *testing.T) {
	skipIfShort(t)
	r := newRigOf(t, Options{FaultInjection: true, LogLevel: "debug"})
	m := r.WithDisk(false)[0]
	process := m.running()
	process.PauseLog()
	defer process.ResumeLog()
	client := routerstandin.NewClient(0, "", r.Entry, r.Observations)
	client.KeepsConns = false
	for range 200 {
		began := time.Now()
		status := client.Probe(r.ctx, m.proxy(), routerstandin.NewRequest(removedKind, int(r.requests.Add(1))))
		r.Assert(status, qt.Equals, 200, qt.Commentf("after %v", time.Since(began)))
	}
}

// A process goes on when whoever reads its log has gone: a write to a pipe without a reader must not end it.
func TestProcessOutlivesTheReaderOfItsLog(t *testing.T) {
	skipIfShort(t)
	r := newRigOf(t, Options{FaultInjection: true, LogLevel: "debug"})
	m := r.WithDisk(false)[0]
	r.Assert(m.running().CloseLog(), qt.IsNil)
	client := routerstandin.NewClient(0, "", r.Entry, r.Observations)
	client.KeepsConns = false
	for range 50 {
		status := client.Probe(r.ctx, m.proxy(), routerstandin.NewRequest(removedKind, int(r.requests.Add(1))))
		r.Assert(status, qt.Equals, 200)
	}
}
