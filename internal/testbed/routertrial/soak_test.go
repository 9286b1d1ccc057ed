package routertrial

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The long soak runs on demand: go test ./internal/testbed/routertrial -run TestSoak -soak 50 -timeout 2h
var (
	soakSeeds = flag.Int("soak", 2, "soaks of overlapping troubles drawn at random")
	soakFirst = flag.Uint64("soak-first", 1, "seed of the first of these soaks")
)

// soakRounds is how many rounds of faults a soak of the tests has.
const soakRounds = 3

// Real processes in overlapping faults break no rule and no invariant, and the fleet is ready again soon
// after the last fault.
func TestSoak(t *testing.T) {
	skipIfShort(t)
	for i := range *soakSeeds {
		runSoak(t, SoakOptions{Seed: *soakFirst + uint64(i), Rounds: soakRounds, Large: i%3 == 1})
	}
}

// Each fault of the soak is injected once by itself, so that each of them is known to work.
func TestEachSoakFault(t *testing.T) {
	skipIfShort(t)
	for at, name := range SoakFaultNames() {
		runSoak(t, SoakOptions{Seed: uint64(at), Rounds: 1, OnlyFaults: []string{name}})
	}
}

func runSoak(t *testing.T, options SoakOptions) {
	t.Helper()
	options.Program, options.Rate = binary, testRate
	name := fmt.Sprintf("seed=%d %s", options.Seed, strings.Join(options.OnlyFaults, ","))
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		running <- struct{}{}
		defer func() { <-running }()
		ctx, cancel := context.WithTimeout(context.Background(), soakPatience)
		defer cancel()
		log := &tailLog{}
		options.Log = log
		report, err := Soak(ctx, options)
		qt.Check(t, err, qt.IsNil)
		if report != nil {
			checkRules(t, report.Rules)
		}
		if t.Failed() && report != nil {
			t.Log(strings.Join(report.Events, "\n"))
		}
		if t.Failed() {
			log.print(t)
		}
	})
}
