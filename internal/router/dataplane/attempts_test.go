package dataplane

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/scheduler"
)

// did is one call of a request and what became of it.
type did struct {
	role     scheduler.Role
	rejected bool
}

func TestAttempts(t *testing.T) {
	read, readNot := did{scheduler.Prefill, false}, did{scheduler.Prefill, true}
	write, writeNot := did{scheduler.Decode, false}, did{scheduler.Decode, true}
	serve := did{scheduler.Serve, false}
	for _, test := range []struct {
		name  string
		most  int
		calls []did
		price []int          // of each call in turn
		next  scheduler.Role // a call after them
		may   bool           // it is within the servers of the request
		costs int            // what it would cost
	}{
		{"the first one is free", 1, nil, nil, scheduler.Serve, true, 0},
		{"one server only", 1, []did{serve}, []int{0}, scheduler.Serve, false, 1},
		{"the second one costs", 2, []did{serve}, []int{0}, scheduler.Serve, true, 1},
		{"reading comes beside", 1, []did{read}, []int{0}, scheduler.Decode, true, 0},
		{"reading and writing", 1, []did{read, write}, []int{0, 0}, scheduler.Serve, false, 1},
		{"a rejected reading is an arrival", 2, []did{readNot}, []int{0}, scheduler.Serve, true, 1},
		{"and leaves no room for one server", 1, []did{readNot}, []int{0}, scheduler.Serve, false, 1},
		{"nor for reading anew", 1, []did{readNot}, []int{0}, scheduler.Prefill, false, 1},
		{"reading after a rejected one", 2, []did{readNot, read}, []int{0, 1}, scheduler.Decode, true, 0},
		{"reading twice is an arrival", 2, []did{read, read}, []int{0, 1}, scheduler.Decode, true, 0},
		{"a rejected writer", 2, []did{read, writeNot}, []int{0, 0}, scheduler.Serve, true, 1},
		{"reading after a rejected writer", 3, []did{read, writeNot}, []int{0, 0}, scheduler.Prefill, true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			a := attempts{most: test.most}
			for i, call := range test.calls {
				c.Assert(a.permitted(call.role), qt.IsTrue)
				c.Assert(a.price(call.role), qt.Equals, test.price[i], qt.Commentf("call %d", i))
				a.paid += a.price(call.role)
				if call.rejected {
					a.rejected()
				} else {
					a.taken(call.role)
				}
			}
			c.Assert(a.permitted(test.next), qt.Equals, test.may)
			c.Assert(a.price(test.next), qt.Equals, test.costs)
		})
	}
}
