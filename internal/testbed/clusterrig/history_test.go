package clusterrig

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// ledgerOp is an operation of the history that porcupine checks: the count rises by one, or is read.
type ledgerOp struct {
	read bool
	n    int64 // what a read returned
}

// ledgerModel is a counter that only rises.
var ledgerModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		n := state.(int64)
		if input.(ledgerOp).read {
			return output.(ledgerOp).n == n, n
		}
		return true, n + 1
	},
	DescribeOperation: func(input, output any) string {
		if input.(ledgerOp).read {
			return fmt.Sprintf("read %d", output.(ledgerOp).n)
		}
		return "count one"
	},
}

// The history of all counts and reads is linearizable while the leader is killed and restarted, and
// partitioned and healed. A count lasts from its request until its member reports it committed, a read from
// its call to its answer.
func TestLedgerHistoryIsLinearizable(t *testing.T) {
	t.Parallel()
	rig := startLedger(t, 5, Options{Relay: true})
	replicated := replicas(t, rig)
	writers := without(rig.Members, replicated...)
	started := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(client int, op ledgerOp, from time.Time) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: ledgerOp{read: op.read}, Output: op,
			Call: from.Sub(started).Nanoseconds(), Return: time.Since(started).Nanoseconds()})
	}
	ctx, stop := context.WithCancel(testContext(t))
	clients := NewClients()
	var wg sync.WaitGroup
	defer wg.Wait() // also where the test fails below
	defer stop()
	for i, member := range writers {
		wg.Go(func() {
			for asked := int64(1); ctx.Err() == nil; asked++ {
				from := time.Now()
				if err := clients.Send(member, Tenants[0], "zone-lookup", "", ""); err != nil {
					t.Errorf("a request got no answer: %v", err)
					return
				}
				// Until the member has committed as many as were asked of it, one write at a time. That nothing
				// waits there says less: a client may have its answer just before the member counts it.
				for {
					page, _ := ledgerPage(member, "?period=1&tenant=-")
					if page.Here.Committed >= asked {
						break
					}
					if time.Since(from) > 30*time.Second {
						t.Errorf("a count was not committed: %+v", page.Here)
						return
					}
					time.Sleep(5 * time.Millisecond)
				}
				record(i, ledgerOp{}, from)
			}
		})
	}
	for i, member := range []*Member{writers[0], replicated[1], replicated[2]} {
		wg.Go(func() {
			for ctx.Err() == nil {
				from := time.Now()
				if page, err := ledgerPage(member, ""); err == nil && page.Ledger != nil {
					var n int64
					for _, period := range page.Ledger.Periods {
						n += period.Total().Count
					}
					record(10+i, ledgerOp{read: true, n: n}, from)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	leading := leader(t, rig)
	rig.Net.Partition([]string{leading.Name}, MemberNames(without(rig.Members, leading)))
	time.Sleep(1500 * time.Millisecond)
	rig.Net.Heal()
	time.Sleep(time.Second)
	if victim := leader(t, rig); victim != writers[0] && victim != writers[1] {
		rig.Kill(victim)
		time.Sleep(time.Second)
		must(t, rig.Spawn(testContext(t), victim, Unchanged))
	}
	const lasting, minWrites, minReads = 8 * time.Second, 10, 50
	must(t, poll(testContext(t), time.Minute, pollInterval, func() error {
		mu.Lock()
		writes, reads := countOperations(history)
		mu.Unlock()
		if writes < minWrites || reads < minReads || time.Since(started) < lasting {
			return fmt.Errorf("a history of %d counts and %d reads shows little", writes, reads)
		}
		return nil
	}))
	stop()
	wg.Wait()
	writes, reads := countOperations(history)
	t.Logf("%d counts committed, %d reads", writes, reads)
	if got := porcupine.CheckOperationsTimeout(ledgerModel, history, 2*time.Minute); got != porcupine.Ok {
		t.Errorf("the history is not linearizable: %v", got)
	}
}

// countOperations returns how many counts and reads a history has.
func countOperations(history []porcupine.Operation) (writes, reads int) {
	for _, op := range history {
		if op.Input.(ledgerOp).read {
			reads++
		} else {
			writes++
		}
	}
	return writes, reads
}
