package balance

import "time"

// heat follows which keys are asked for most, over the last seconds and within a bound.
type heat struct {
	met    map[uint64]float64 // by key, fading
	all    float64            // of all keys
	cooled time.Duration
}

const (
	coolEvery, coolBy = time.Second, 0.93 // half is forgotten after ten seconds
	mostKeys          = 4096
	// unseen is how many requests of other keys are taken to have come before the first: one early
	// repeat makes no key hot.
	unseen = 30
)

// meet takes in one request for a key and returns the part of all requests that the key had until then.
func (h *heat) meet(now time.Duration, key uint64) float64 {
	if h.met == nil {
		h.met, h.cooled = map[uint64]float64{}, now
	}
	if now-h.cooled >= coolEvery {
		h.cooled = now
		h.all *= coolBy
		for k, n := range h.met {
			if n *= coolBy; n < 0.3 {
				delete(h.met, k)
			} else {
				h.met[k] = n
			}
		}
	}
	part := h.met[key] / (h.all + unseen)
	h.all++
	if _, known := h.met[key]; known || len(h.met) < mostKeys {
		h.met[key]++
	}
	return part
}
