package routerstandin

import (
	"context"
	"math/rand/v2"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlclient"
)

// The bounds of the exponential backoff between two calls after failures.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// controlCaller calls the fleet at control addresses of a list, as servers and operators do: it moves to
// another address after a failure, with a growing backoff. It is not safe for concurrent use.
type controlCaller struct {
	addresses func() []string
	chosen    string
	backoff   time.Duration
	// dropResponse reports whether the next response is dropped; nil for never.
	dropResponse func() bool
}

// call makes one call at the address that is chosen now. It returns nil where there is no clear answer; then
// the next call goes to another address.
func (c *controlCaller) call(ctx context.Context, timeout time.Duration,
	call controlclient.Call) *http1.Response {
	if c.chosen == "" && !c.choose("") {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := controlclient.Do(bounded, c.chosen, call)
	if c.dropResponse != nil && c.dropResponse() {
		c.choose(c.chosen)
		return nil
	}
	if err == nil && answer.Status < 500 && answer.Status != 408 && answer.Status != 429 {
		c.backoff = 0
		return answer
	}
	c.choose(c.chosen)
	return nil
}

// choose draws an address other than one to avoid, where there is a choice.
func (c *controlCaller) choose(avoid string) bool {
	all := c.addresses()
	if len(all) == 0 {
		return false
	}
	at := rand.IntN(len(all))
	if all[at] == avoid {
		at = (at + 1) % len(all)
	}
	c.chosen = all[at]
	return true
}

// nextBackoff is how long to wait after a failure.
func (c *controlCaller) nextBackoff() time.Duration {
	c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
	return c.backoff
}
