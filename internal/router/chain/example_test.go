package chain_test

import (
	"fmt"
	"math/rand"
	"time"

	"cresshub/internal/router/chain"
)

// A register on a single machine: its node alone decides the first view, and each write is committed in the
// step that proposes it.
func Example() {
	var log [][]byte
	perform := func(effects chain.Effects) {
		log = append(log, effects.Persist...) // a real log would sync to disk here
		for _, reply := range effects.Replies {
			fmt.Printf("%d: %v, version %d %q\n", reply.Request, reply.Outcome, reply.Entry.Version, reply.Entry.Body)
		}
	}
	self := chain.Member{ID: "m1", Address: "10.0.0.1"}
	config := chain.Config{
		Self: self, HasDisk: true, AllowBootstrap: true, TargetMembers: 1,
		Random: rand.New(rand.NewSource(1)),
	}
	node, effects, err := chain.Open(config, 0, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	perform(effects)
	perform(node.Bootstrap(time.Millisecond, []chain.Member{self}))
	perform(node.Propose(2*time.Millisecond, 1, chain.Proposal{Expected: 0, Version: 1, Body: []byte("first")}))
	perform(node.Propose(3*time.Millisecond, 2, chain.Proposal{Expected: 0, Version: 2, Body: []byte("late")}))
	perform(node.Read(4*time.Millisecond, 3))

	restarted, _, err := chain.Open(config, 5*time.Millisecond, log)
	if err != nil {
		fmt.Println(err)
		return
	}
	entry, _ := restarted.Committed()
	fmt.Println("after a restart:", entry.Version, string(entry.Body))
	// Output:
	// 1: applied, version 1 ""
	// 2: conflict, version 1 ""
	// 3: applied, version 1 "first"
	// after a restart: 1 first
}
