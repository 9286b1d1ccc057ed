package ingress

import (
	"github.com/cespare/xxhash/v2"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/stats"
)

// The values of Usage.Answer, which are stored, and are part of the names of metrics.
const (
	answerPassed     = "passed"      // the response of a server
	answerDropped    = "dropped"     // rejected
	answerBadGateway = "bad_gateway" // an error: invalid, or its attempts failed
)

// Usage is one final response that was written, as the usage ledger counts it.
type Usage struct {
	Tenant, Class string
	Answer        string // passed, dropped or bad_gateway
	ID            uint64 // hash (xxhash) of the id of the request's first attempt; 0 if it has none
	In, Out       int64  // bytes of the bodies of request and response
}

// startUsage begins the usage of a request, where usage is counted.
func (s *Server) startUsage(c *client, message *http1.Request, class int) {
	c.usage = nil
	if s.RecordUsage == nil || class < 0 {
		return
	}
	u := &Usage{Tenant: message.Header.Get(tenantField), Class: s.Classes[class]}
	id := message.Header.Get(firstAttemptIDField)
	if id == "" {
		id = message.Header.Get(idField)
	}
	if id != "" {
		u.ID = xxhash.Sum64String(id)
	}
	c.usage, c.usageClass = u, class
}

// reportUsage reports a request's usage once its final response has been written; counter is what counted it.
func (s *Server) reportUsage(c *client, counter *stats.Counter, out int64) {
	u := c.usage
	if u == nil || counter == nil {
		return
	}
	c.usage = nil
	class := s.Stats.Class(c.usageClass)
	switch counter {
	case &class.Passed:
		u.Answer = answerPassed
	case &class.Dropped:
		u.Answer = answerDropped
	case &class.Failed:
		u.Answer = answerBadGateway
	default:
		return
	}
	u.Out = out
	s.RecordUsage(*u)
}
