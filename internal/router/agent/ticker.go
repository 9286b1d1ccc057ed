package agent

import "time"

// runEvery calls f once per interval until done closes. A call that takes longer than the interval delays the
// next one.
func runEvery(interval time.Duration, done <-chan struct{}, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			f()
		}
	}
}
