package balance

import "time"

const (
	// keyDecayFactor multiplies all counts every keyDecayInterval: they halve in about ten seconds.
	keyDecayInterval, keyDecayFactor = time.Second, 0.93
	// minKeyCount is the count below which a key is no longer counted, maxKeys how many keys are counted at
	// once.
	minKeyCount, maxKeys = 0.3, 4096
	// priorRequests of other keys are assumed before the first request, so that one early repeat makes no key
	// hot.
	priorRequests = 30
)

// keyCounter finds the keys that are requested most, over the last seconds and in bounded memory.
type keyCounter struct {
	counts    map[uint64]float64 // by key, decaying
	total     float64            // of all keys
	decayedAt time.Duration
}

// record counts a request for a key and returns the fraction of all requests that the key had before.
func (c *keyCounter) record(now time.Duration, key uint64) float64 {
	if c.counts == nil {
		c.counts, c.decayedAt = map[uint64]float64{}, now
	}
	if now-c.decayedAt >= keyDecayInterval {
		c.decayedAt = now
		c.total *= keyDecayFactor
		for k, n := range c.counts {
			if n *= keyDecayFactor; n < minKeyCount {
				delete(c.counts, k)
			} else {
				c.counts[k] = n
			}
		}
	}
	fraction := c.counts[key] / (c.total + priorRequests)
	c.total++
	if _, known := c.counts[key]; known || len(c.counts) < maxKeys {
		c.counts[key]++
	}
	return fraction
}
