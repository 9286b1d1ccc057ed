package agentsim

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/simulation/simnet"
)

// TestOperatorsRace has two operators send different changes under the same versions, each to several
// machines at once, while answers get lost and members come and go: exactly one change per version is taken,
// all of its senders get 200, also when it is sent again after later ones, and the other is rejected.
func TestOperatorsRace(t *testing.T) {
	for seed := range int64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRace(t, seed) })
		})
	}
}

const (
	raceRounds      = 12
	parallelSenders = 3 // machines that a change is sent to at the same time
	answerLoss      = 0.3
)

func runRace(t *testing.T, seed int64) {
	t.Helper()
	f := New(t, Options{Disks: 3, Others: 7, Servers: 3, Seed: seed})
	history := &History{}
	operators := []*Operator{f.AddOperator(history), f.AddOperator(history)}
	stop := make(chan struct{})
	var partitions sync.WaitGroup
	if seed%2 == 1 {
		partitions.Go(func() { partitionInTurn(f, stop) })
	}
	base := int64(0)
	var taken []Change
	for round := range raceRounds {
		version := base + 1 + f.Random.Int63n(3)
		winner := race(t, f, operators, base, version)
		taken = append(taken, winner)
		base = version
		again := taken[f.Random.Intn(len(taken))]
		status := operators[round%2].PutUntil(f.Machines, again, 8*time.Second, answerLoss)
		qt.Check(t, status, qt.Equals, 200, qt.Commentf("%+v sent again", again))
	}
	close(stop)
	partitions.Wait()
	f.Heal()
	f.Await("all agree", agreeTime, f.Converged)
	for _, m := range f.Machines {
		version, status := operators[0].Get(m)
		qt.Check(t, status, qt.Equals, 200)
		qt.Check(t, version, qt.Equals, base)
	}
	qt.Check(t, strings.Join(history.Check(), "\n"), qt.Equals, "")
}

// race has each operator send its change to several machines at once until each copy has a clear answer, and
// returns the one that was taken.
func race(t *testing.T, f *Fleet, operators []*Operator, base, version int64) Change {
	t.Helper()
	outcomes := make([][]int, len(operators))
	changes := make([]Change, len(operators))
	var sending sync.WaitGroup
	var mu sync.Mutex
	for i, operator := range operators {
		changes[i] = Change{base, version, 1 + int64(i)}
		for range parallelSenders {
			sending.Go(func() {
				status := operator.PutUntil(f.Machines, changes[i], 12*time.Second, answerLoss)
				mu.Lock()
				defer mu.Unlock()
				outcomes[i] = append(outcomes[i], status)
			})
		}
	}
	sending.Wait()
	all := func(i, status int) bool {
		return fmt.Sprint(outcomes[i]) == fmt.Sprint([]int{status, status, status})
	}
	for i := range operators {
		if all(i, 200) && all(1-i, 412) {
			return changes[i]
		}
	}
	t.Fatalf("version %d: the operators were told %v", version, outcomes)
	return Change{}
}

// partitionInTurn isolates one member after the other for some seconds each.
func partitionInTurn(f *Fleet, stop <-chan struct{}) {
	pause := func(long time.Duration) bool {
		select {
		case <-stop:
			return false
		case <-f.done:
			return false
		case <-time.After(long):
			return true
		}
	}
	for turn := 0; ; turn++ {
		m := f.Machines[turn%3]
		f.Partition(IPs(m), IPs(f.Except(m)...), simnet.Blackhole)
		if !pause(3 * time.Second) {
			return
		}
		f.Heal()
		if !pause(4 * time.Second) {
			return
		}
	}
}
