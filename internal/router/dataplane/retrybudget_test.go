package dataplane

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/agentsettings"
)

const window = 10 * time.Second

func TestBudgetAllowance(t *testing.T) {
	for _, test := range []struct {
		name     string
		requests int
		ratio    float64
		slack    float64
		proxies  int
		want     int // retries that may be taken at once
	}{
		{"nothing allowed", 0, 0.2, 0, 1, 0},
		{"ratio alone", 100, 0.2, 0, 1, 16},
		{"slack alone", 0, 0.2, 60, 1, 36},
		{"slack is shared", 0, 0.2, 60, 10, 3},
		{"both", 100, 0.2, 60, 10, 19},
		{"no count of proxies", 0, 0, 10, 0, 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var b retryBudget
			allowed := allowance{window: window, ratio: test.ratio, slack: test.slack, proxies: test.proxies}
			for range test.requests {
				b.recordRequest(time.Minute, window)
			}
			taken := 0
			for b.available(time.Minute, allowed) {
				c.Assert(b.take(time.Minute, allowed, 1), qt.IsTrue)
				taken++
			}
			c.Assert(b.take(time.Minute, allowed, 1), qt.IsFalse)
			c.Assert(taken, qt.Equals, test.want)
		})
	}
}

func TestBudgetTakesAllOrNone(t *testing.T) {
	c := qt.New(t)
	var b retryBudget
	allowed := allowance{window: window, slack: 5, proxies: 1} // 3 retries
	c.Assert(b.take(0, allowed, 2), qt.IsTrue)
	c.Assert(b.take(0, allowed, 2), qt.IsFalse)
	c.Assert(b.take(0, allowed, 1), qt.IsTrue)
	c.Assert(b.take(0, allowed, 0), qt.IsTrue)
}

func TestRecordedRetriesUseTheBudget(t *testing.T) {
	c := qt.New(t)
	var b retryBudget
	allowed := allowance{window: window, slack: 5, proxies: 1} // 3 retries
	b.recordRetries(0, window, 3)
	c.Assert(b.available(0, allowed), qt.IsFalse)
	c.Assert(b.available(window+window/budgetBuckets, allowed), qt.IsTrue)
}

// No window contains more retries than the slack and the requests in the same window allow, whenever the
// requests and retries come.
func TestRetriesStayWithinTheAllowanceInEveryWindow(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 7))
		allowed := allowance{window: window, ratio: 0.2, slack: 10, proxies: 2}
		var b retryBudget
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range 4000 {
			now += time.Duration(random.ExpFloat64() * float64(10*time.Millisecond))
			if random.IntN(500) == 0 {
				now += time.Duration(random.IntN(12)) * time.Second
			}
			b.recordRequest(now, window)
			requests = append(requests, now)
			if random.IntN(3) > 0 && b.take(now, allowed, 1) {
				retries = append(retries, now)
			}
		}
		for i, first := range retries {
			count := 0
			for _, at := range retries[i:] {
				if at-first < window {
					count++
				}
			}
			last := retries[i+count-1]
			limit := slackFraction*5 + ratioFraction*0.2*float64(countWithin(requests, last-window, last))
			if float64(count) > limit {
				t.Fatalf("seed %d: %d retries within the window from %v, %.1f allowed", seed, count, first, limit)
			}
		}
	}
}

// countWithin returns how many of the times are later than after, and not later than until.
func countWithin(times []time.Duration, after, until time.Duration) (count int) {
	for _, at := range times {
		if at > after && at <= until {
			count++
		}
	}
	return count
}

func TestSlackShareStaysThroughAPartition(t *testing.T) {
	c := qt.New(t)
	b := newRetryBudgets(agentsettings.Bounds{RetryRatio: 0, RetrySlack: 100, RetryWindow: window})
	now := time.Minute
	b.recordRequest(now, "s", 10)
	c.Assert(takeAll(b, now, 1), qt.Equals, 6) // 0.6 * 100 / 10, although only one proxy is believed live now
	now += 40 * time.Second
	c.Assert(takeAll(b, now, 1), qt.Equals, 6)
	now += 40 * time.Second // the other proxies have been gone for longer than slidingMaxWindow
	c.Assert(takeAll(b, now, 1), qt.Equals, 60)
}

func TestSlackIsNotUsedRightAfterTheStart(t *testing.T) {
	c := qt.New(t)
	b := newRetryBudgets(agentsettings.Bounds{RetryRatio: 0.5, RetrySlack: 100, RetryWindow: window})
	for range 10 {
		b.recordRequest(0, "s", 1)
	}
	c.Assert(takeAll(b, 0, 1), qt.Equals, 4) // 0.8 * 0.5 * 10
	c.Assert(takeAll(b, window, 4), qt.Equals, 0)
	c.Assert(takeAll(b, window+slackMargin, 4), qt.Equals, 15)
}

func TestEachServiceHasItsOwnBudget(t *testing.T) {
	c := qt.New(t)
	b := newRetryBudgets(agentsettings.Bounds{RetrySlack: 10, RetryWindow: window})
	c.Assert(takeAll(b, time.Minute, 1), qt.Equals, 6)
	c.Assert(b.available(time.Minute, "other", 1), qt.IsTrue)
}

// takeAll takes all retries that the budget of the service "s" allows, and returns their number.
func takeAll(b *retryBudgets, now time.Duration, proxies int) (taken int) {
	for b.take(now, "s", proxies, 1) {
		taken++
	}
	return taken
}

func TestSlidingMaxForgetsOldValues(t *testing.T) {
	c := qt.New(t)
	var maximum slidingMax
	c.Assert(maximum.observe(0, 5), qt.Equals, 5)
	c.Assert(maximum.observe(10*time.Second, 2), qt.Equals, 5)
	c.Assert(maximum.observe(slidingMaxWindow, 3), qt.Equals, 5)
	c.Assert(maximum.observe(slidingMaxWindow+15*time.Second, 1), qt.Equals, 3)
	c.Assert(maximum.observe(10*slidingMaxWindow, 1), qt.Equals, 1)
}
