package daemon

import (
	"testing"
	"time"

	"cresshub/balance"
	"cresshub/internal/proxy/config"
)

// platformConfig returns the configuration from a platform's file, with defaults for all other keys.
func platformConfig(t *testing.T) *config.Config {
	t.Helper()
	cfg, err := loadPlatformConfig()
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// loadPlatformConfig is platformConfig for goroutines other than the test's.
func loadPlatformConfig() (*config.Config, error) {
	return config.Load(config.Input{
		Environ: func() []string { return []string{"EDGE_CONFIG=x"} },
		Read: func(string) ([]byte, error) {
			return []byte(`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","settings":{
				"registry-mode":"on_request","invariants":{"ask-within-ms":10000},"limits":{"dial-timeout-ms":250},
				"grades":[{"name":"a","aim-ms":500,"deadline-ms":1000,"effect":"at_most_once"}]}}`), nil
		},
	})
}

// The platform may kill a process once its longest deadline and 0.7 s have passed since SIGTERM, and clients
// continue to open connections for 0.4 s. No idle connection, nor one with an incomplete request, may stay
// open for so long that the kill could cut off a request on it.
func TestShutdownEndsBeforeThePlatformKillsTheProcess(t *testing.T) {
	const killMargin, connectWindow = 700 * time.Millisecond, 400 * time.Millisecond
	s := platformConfig(t).Shutdown
	for name, d := range map[string]time.Duration{"accept_for": s.AcceptFor, "close_all_after": s.CloseAll} {
		if d > killMargin || d < connectWindow {
			t.Errorf("%s: %v", name, d)
		}
	}
}

// A change that a silent watch misses takes effect 6 s after the watch fell silent. At the platform's
// settings and with every delay at its longest, that is long enough to notice the silence, to have one call
// refused and to make another; it is also long enough where one call takes as long as a call may.
func TestSilentWatchIsReplacedBeforeMissedChangesTakeEffect(t *testing.T) {
	const effectDelay, responseTime = 6 * time.Second, 400 * time.Millisecond // responseTime of each call
	cfg := platformConfig(t)
	limits, dial := listLimits(cfg), cfg.Upstream.DialLimit()
	longestDelay := time.Duration(0) // of the balancer's retry after a failed call
	for seed := range uint64(1000) {
		set := cfg.Settings().Settings
		set.Seed = seed
		b, err := balance.New(set, 0)
		if err != nil {
			t.Fatal(err)
		}
		actions := b.List(0, balance.ListFailed, nil, nil)
		if len(actions) != 1 || actions[0].Kind != balance.SetTimer {
			t.Fatalf("actions after a failed call: %+v", actions)
		}
		longestDelay = max(longestDelay, actions[0].Wait)
	}
	reconnected := limits.WatchTimeout + limits.TimeoutReopenDelay() + dial
	// The discovery client makes the second call by itself ("follower"). The bound also has to hold, at the
	// platform's settings, where it leaves that call to the balancer ("decisions").
	for caller, delay := range map[string]time.Duration{
		"follower": limits.TimeoutReopenDelay(), "decisions": longestDelay,
	} {
		if sum := reconnected + responseTime + delay + dial + responseTime; sum > effectDelay {
			t.Errorf("one call refused, the next made by the %s: %v, want at most 6s", caller, sum)
		}
	}
	if sum := reconnected + limits.WatchTimeout; sum > effectDelay {
		t.Errorf("a call as slow as permitted: %v, want at most 6s", sum)
	}
	if limits.MaxReopenDelay != 0 {
		t.Errorf("MaxReopenDelay is %v with registry-mode on_request, want 0", limits.MaxReopenDelay)
	}
}
