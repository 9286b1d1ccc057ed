package ingress

import (
	"github.com/cespare/xxhash/v2"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/stats"
)

// Usage is one final answer that was written, as a ledger counts it.
type Usage struct {
	Tenant, Class string
	Answer        string // passed, dropped or bad_gateway, as the figures have them
	ID            uint64 // of the request by its first try, hashed (xxhash); 0 where it has none
	In, Out       int64  // bytes of bodies
}

// firstAttemptIDField names the id of a request's first try, where a client that tries again says so. X-Request-ID is
// fresh with every try.
const firstAttemptIDField = "X-First-Request-ID"

// startUsage notes what a request uses, where somebody counts it.
func (s *Server) startUsage(c *client, q *http1.Request, class int) {
	c.usage = nil
	if s.RecordUsage == nil || class < 0 {
		return
	}
	u := &Usage{Tenant: q.Header.Get("X-Tenant-Id"), Class: s.Classes[class]}
	id := q.Header.Get(firstAttemptIDField)
	if id == "" {
		id = q.Header.Get(idField)
	}
	if id != "" {
		u.ID = xxhash.Sum64String(id)
	}
	c.usage, c.usageClass = u, class
}

// reportUsage counts a request's use once its final answer has been written, as the figure that counted it says.
func (s *Server) reportUsage(c *client, counter *stats.Counter, out int64) {
	u := c.usage
	if u == nil || counter == nil {
		return
	}
	c.usage = nil
	h := s.Stats.Class(c.usageClass)
	switch counter {
	case &h.Passed:
		u.Answer = "passed"
	case &h.Dropped:
		u.Answer = "dropped"
	case &h.Failed:
		u.Answer = "bad_gateway"
	default:
		return
	}
	u.Out = out
	s.RecordUsage(*u)
}
