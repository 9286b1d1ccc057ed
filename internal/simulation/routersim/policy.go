package routersim

import (
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

// Policy decides at one proxy which servers requests go to. *scheduler.Scheduler is one, and its methods of
// the same names say what these do.
type Policy interface {
	Update(now time.Duration, table *catalog.Table)
	Split(now time.Duration, request *scheduler.Request) bool
	Choose(now time.Duration, request *scheduler.Request, role scheduler.Role,
		prefillServer *catalog.Server) *scheduler.Call
	ObserveLoad(now time.Duration, server string, load scheduler.Load)
	FirstEvent(now time.Duration, call *scheduler.Call)
	Done(now time.Duration, call *scheduler.Call, outcome scheduler.Outcome)
}

// admissionPolicy is a Policy that estimates how long a request would wait, so that those that would wait for
// too long are rejected at once.
type admissionPolicy interface {
	QueueDelay(now time.Duration, request *scheduler.Request) scheduler.SlotDelay
}

// PolicyFactory makes the policy of each proxy of a run.
type PolicyFactory struct {
	Name string
	New  func(zone string, seed uint64) Policy
}

// Scheduler returns the policy of the router fleet.
func Scheduler() PolicyFactory {
	return PolicyFactory{
		Name: "scheduler",
		New:  func(zone string, seed uint64) Policy { return scheduler.New(zone, seed) },
	}
}
