package balance_test

import (
	"fmt"
	"time"

	"cresshub/balance"
)

func Example() {
	b, err := balance.New(balance.Settings{
		Seed:        1,
		MaxAttempts: 3,
		Classes: []balance.Class{{
			LatencyTarget: 100 * time.Millisecond, Deadline: time.Second, Value: 1, Effect: balance.Idempotent,
		}},
	}, 0)
	if err != nil {
		panic(err)
	}
	actions := b.List(0, balance.ListFull, []balance.Server{{ID: 7, Rating: 1}}, nil)
	actions = b.Request(0, balance.Request{ID: "r1", Deadline: time.Second}, actions[:0])
	for _, a := range actions {
		if a.Kind == balance.Send {
			fmt.Printf("send %s to server %d\n", a.ID, a.Server)
		}
	}
	actions = b.Outcome(20*time.Millisecond, balance.Outcome{
		ID: "r1", Server: 7, Result: balance.Done, Final: true, Latency: 20 * time.Millisecond,
	}, actions[:0])
	fmt.Println(len(actions), "further actions")
	// Output:
	// send r1 to server 7
	// 0 further actions
}
