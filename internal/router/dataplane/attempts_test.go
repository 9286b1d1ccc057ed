package dataplane

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/scheduler"
)

// callResult is one call of a request and what became of it.
type callResult struct {
	role     scheduler.Role
	rejected bool
}

func TestOnlyFurtherAttemptsCostRetries(t *testing.T) {
	read, readNot := callResult{scheduler.Prefill, false}, callResult{scheduler.Prefill, true}
	write, writeNot := callResult{scheduler.Decode, false}, callResult{scheduler.Decode, true}
	serve := callResult{scheduler.Serve, false}
	for _, test := range []struct {
		name  string
		max   int
		calls []callResult
		price []int          // of each call in turn
		next  scheduler.Role // a call after them
		may   bool           // it is within the maximum
		costs int            // how many retries it would cost
	}{
		{"the first attempt is free", 1, nil, nil, scheduler.Serve, true, 0},
		{"a maximum of one", 1, []callResult{serve}, []int{0}, scheduler.Serve, false, 1},
		{"the second attempt is a retry", 2, []callResult{serve}, []int{0}, scheduler.Serve, true, 1},
		{"the first prefill is not counted", 1, []callResult{read}, []int{0}, scheduler.Decode, true, 0},
		{"prefill and decode", 1, []callResult{read, write}, []int{0, 0}, scheduler.Serve, false, 1},
		{"a rejected prefill is counted", 2, []callResult{readNot}, []int{0}, scheduler.Serve, true, 1},
		{"a rejected prefill uses a maximum of one", 1, []callResult{readNot}, []int{0}, scheduler.Serve, false, 1},
		{"no prefill beyond a maximum of one", 1, []callResult{readNot}, []int{0}, scheduler.Prefill, false, 1},
		{"prefill after a rejected one", 2, []callResult{readNot, read}, []int{0, 1}, scheduler.Decode, true, 0},
		{"a second prefill is counted", 2, []callResult{read, read}, []int{0, 1}, scheduler.Decode, true, 0},
		{"a rejected decode", 2, []callResult{read, writeNot}, []int{0, 0}, scheduler.Serve, true, 1},
		{"prefill after a rejected decode", 3, []callResult{read, writeNot}, []int{0, 0},
			scheduler.Prefill, true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			a := attemptCounter{maxAttempts: test.max}
			for i, call := range test.calls {
				c.Assert(a.allows(call.role), qt.IsTrue)
				c.Assert(a.retryCost(call.role), qt.Equals, test.price[i], qt.Commentf("call %d", i))
				a.paidRetries += a.retryCost(call.role)
				if call.rejected {
					a.recordRejected()
				} else {
					a.recordAccepted(call.role)
				}
			}
			c.Assert(a.allows(test.next), qt.Equals, test.may)
			c.Assert(a.retryCost(test.next), qt.Equals, test.costs)
		})
	}
}
