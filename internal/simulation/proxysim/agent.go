package proxysim

import (
	"time"

	"cresshub/balance"
)

// Agent makes the decisions of one proxy, as a balance.Balancer does, whose documentation says what each
// method means. Each appends actions to acts and returns it; the simulation carries them out.
type Agent interface {
	List(now time.Duration, kind balance.ListKind, list []balance.Server, acts []balance.Action) []balance.Action
	Request(now time.Duration, r balance.Request, acts []balance.Action) []balance.Action
	Outcome(now time.Duration, o balance.Outcome, acts []balance.Action) []balance.Action
	Probed(now time.Duration, r balance.ProbeResult, acts []balance.Action) []balance.Action
	Timer(now time.Duration, token uint64, acts []balance.Action) []balance.Action
	ClientDisconnected(now time.Duration, id string, acts []balance.Action) []balance.Action
}
