package dataplane

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/scheduler"
)

// callResult is one call of a request and whether its server rejected it.
type callResult struct {
	role     scheduler.Role
	rejected bool
}

func TestOnlyFurtherAttemptsCostRetries(t *testing.T) {
	prefill, prefillRejected := callResult{scheduler.Prefill, false}, callResult{scheduler.Prefill, true}
	decode, decodeRejected := callResult{scheduler.Decode, false}, callResult{scheduler.Decode, true}
	serve := callResult{scheduler.Serve, false}
	for _, test := range []struct {
		name        string
		maxAttempts int
		calls       []callResult
		costs       []int          // retryCost of each call in turn
		next        scheduler.Role // role of a further call
		allowed     bool           // it is within the maximum
		nextCost    int            // its retryCost
	}{
		{"the first attempt is free", 1, nil, nil, scheduler.Serve, true, 0},
		{"a maximum of one", 1, []callResult{serve}, []int{0}, scheduler.Serve, false, 1},
		{"the second attempt is a retry", 2, []callResult{serve}, []int{0}, scheduler.Serve, true, 1},
		{"the first prefill is not counted", 1, []callResult{prefill}, []int{0}, scheduler.Decode, true, 0},
		{"prefill and decode", 1, []callResult{prefill, decode}, []int{0, 0}, scheduler.Serve, false, 1},
		{"a rejected prefill is counted", 2, []callResult{prefillRejected}, []int{0}, scheduler.Serve, true, 1},
		{"a rejected prefill uses a maximum of one", 1, []callResult{prefillRejected}, []int{0},
			scheduler.Serve, false, 1},
		{"no prefill beyond a maximum of one", 1, []callResult{prefillRejected}, []int{0},
			scheduler.Prefill, false, 1},
		{"prefill after a rejected one", 2, []callResult{prefillRejected, prefill}, []int{0, 1},
			scheduler.Decode, true, 0},
		{"a second prefill is counted", 2, []callResult{prefill, prefill}, []int{0, 1}, scheduler.Decode, true, 0},
		{"a rejected decode", 2, []callResult{prefill, decodeRejected}, []int{0, 0}, scheduler.Serve, true, 1},
		{"prefill after a rejected decode", 3, []callResult{prefill, decodeRejected}, []int{0, 0},
			scheduler.Prefill, true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			a := attemptCounter{maxAttempts: test.maxAttempts}
			for i, call := range test.calls {
				c.Assert(a.allows(call.role), qt.IsTrue)
				c.Assert(a.retryCost(call.role), qt.Equals, test.costs[i], qt.Commentf("call %d", i))
				a.paidRetries += a.retryCost(call.role)
				if call.rejected {
					a.recordRejected()
				} else {
					a.recordAccepted(call.role)
				}
			}
			c.Assert(a.allows(test.next), qt.Equals, test.allowed)
			c.Assert(a.retryCost(test.next), qt.Equals, test.nextCost)
		})
	}
}
