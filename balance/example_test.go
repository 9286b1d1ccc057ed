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
			Aim: 100 * time.Millisecond, Deadline: time.Second, Worth: 1, Effect: balance.Idempotent,
		}},
	}, 0)
	if err != nil {
		panic(err)
	}
	acts := b.List(0, balance.ListFull, []balance.Server{{ID: 7, Rating: 1}}, nil)
	acts = b.Request(0, balance.Request{ID: "r1", Deadline: time.Second}, acts[:0])
	for _, a := range acts {
		if a.Kind == balance.Send {
			fmt.Printf("send %s to server %d\n", a.ID, a.Server)
		}
	}
	acts = b.Outcome(20*time.Millisecond, balance.Outcome{
		ID: "r1", Server: 7, Result: balance.Done, Over: true, Latency: 20 * time.Millisecond,
	}, acts[:0])
	fmt.Println(len(acts), "further actions")
	// Output:
	// send r1 to server 7
	// 0 further actions
}
