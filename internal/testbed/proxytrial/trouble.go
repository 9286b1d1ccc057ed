package proxytrial

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"cresshub/internal/testbed/proxystandin"
)

// Troubles are what may be played in the middle of a trial.
var Troubles = []string{"drain", "pause", "crash", "cold", mixed}

// CheckTrouble refuses a word that names none.
func CheckTrouble(word string) error {
	if word != "" && !slices.Contains(Troubles, word) {
		return fmt.Errorf("--trouble %q is none of %s", word, strings.Join(Troubles, ", "))
	}
	return nil
}

// trouble plays one in the middle third of the time. It returns when it is over or ctx ends; an error is
// a fault of the stand-ins.
func trouble(ctx context.Context, f *proxystandin.Fleet, o Options) error {
	if o.Trouble == "" || !sleep(ctx, o.For/3) {
		return nil
	}
	names := f.Names()
	victim := names[0]
	switch o.Trouble {
	case "drain":
		f.Drain(victim)
		if sleep(ctx, o.For/6+proxystandin.DrainGrace) {
			f.Leave(victim)
		}
	case "pause":
		for end := time.Now().Add(o.For / 3); time.Now().Before(end); {
			for _, n := range names[:(len(names)+2)/3] {
				f.Pause(n, 300*time.Millisecond)
			}
			if !sleep(ctx, time.Second) {
				return nil
			}
		}
	case "crash":
		gone, again := f.Crash(victim)
		sleep(ctx, 500*time.Millisecond)
		gone()
		if sleep(ctx, o.For/6) {
			return again()
		}
	case "cold":
		for range max(1, len(names)/3) {
			if _, err := f.Add(time.Now()); err != nil {
				return err
			}
		}
	}
	return nil
}

// sleep returns false where ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
