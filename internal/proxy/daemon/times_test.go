package daemon

import (
	"testing"
	"time"

	"cresshub/balance"
	"cresshub/internal/proxy/config"
)

// platformConfig is the configuration that the platform's file gives, with all else by default.
func platformConfig(t *testing.T) *config.Config {
	t.Helper()
	cfg, err := loadPlatformConfig()
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// loadPlatformConfig is platformConfig for other goroutines than the test's.
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
// go on opening connections for 0.4 s: no idle connection, nor one with an incomplete request, is kept for so
// long that a request on it could be cut off.
func TestShutdownIsOverBeforeThePlatformKills(t *testing.T) {
	const sure, opens = 700 * time.Millisecond, 400 * time.Millisecond
	s := platformConfig(t).Shutdown
	for name, d := range map[string]time.Duration{"accept_for": s.AcceptFor, "close_all_after": s.CloseAll} {
		if d > sure || d < opens {
			t.Errorf("%s: %v", name, d)
		}
	}
}

// What a silent watch misses takes effect 6 s after it fell silent. That is time enough, at the platform's
// settings and with the longest pause everywhere, to miss it, to have one call refused, and to make
// another; and so it is where one call takes as long as a call may.
func TestSilentWatchIsReplacedBeforeMissedChangesBind(t *testing.T) {
	const binds, answer = 6 * time.Second, 400 * time.Millisecond // of each of two calls
	cfg := platformConfig(t)
	limits, dial := listLimits(cfg), cfg.Upstream.DialLimit()
	longest := time.Duration(0) // pause of the decisions after a call that failed
	for seed := range uint64(1000) {
		set := cfg.Settings().Settings
		set.Seed = seed
		b, err := balance.New(set, 0)
		if err != nil {
			t.Fatal(err)
		}
		acts := b.List(0, balance.ListFailed, nil, nil)
		if len(acts) != 1 || acts[0].Kind != balance.SetTimer {
			t.Fatalf("a call that failed: %+v", acts)
		}
		longest = max(longest, acts[0].Wait)
	}
	heard := limits.WatchTimeout + limits.TimeoutReopenDelay() + dial
	// The follower makes that other call by itself; where it leaves it to the decisions the sum has to hold too,
	// at the platform's settings.
	for by, pause := range map[string]time.Duration{
		"follower": limits.TimeoutReopenDelay(), "decisions": longest,
	} {
		if sum := heard + answer + pause + dial + answer; sum > binds {
			t.Errorf("refused once, asked again by the %s: %v", by, sum)
		}
	}
	if sum := heard + limits.WatchTimeout; sum > binds {
		t.Errorf("slow: %v", sum)
	}
	if limits.MaxReopenDelay != 0 {
		t.Errorf("asked for unasked, each %v", limits.MaxReopenDelay)
	}
}
