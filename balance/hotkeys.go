package balance

import "time"

const (
	// keyDecayFactor multiplies all counts every keyDecayInterval, so that they halve in about ten seconds.
	keyDecayInterval, keyDecayFactor = time.Second, 0.93
	// minKeyCount is the count below which a key is dropped, maxKeys the maximum number of keys counted at
	// once.
	minKeyCount, maxKeys = 0.3, 4096
	// priorRequests is the number of requests for other keys assumed before the first request, so that one
	// early repeat does not make a key hot.
	priorRequests = 30
)

// keyCounter counts the requests of the last seconds by key, in bounded memory, to find the hot keys.
type keyCounter struct {
	counts    map[uint64]float64 // by key, decaying
	total     float64            // of all keys
	decayedAt time.Duration
}

// record counts a request for a key and returns which fraction of the requests before it were for this key.
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
