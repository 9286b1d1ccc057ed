package ingress

import (
	"github.com/cespare/xxhash/v2"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/stats"
)

// answer is what a final response counts as. The texts are stored, and are part of the names of metrics.
type answer string

// The kinds of answers. The zero value counts as nothing.
const (
	answerPassed     answer = "passed"      // the response of a server
	answerDropped    answer = "dropped"     // rejected
	answerBadGateway answer = "bad_gateway" // an error: the request is invalid, or its attempts failed
)

// counter is the counter of such answers among those of a class; nil if there is none.
func (a answer) counter(class *stats.ResponseCounters) *stats.Counter {
	switch a {
	case answerPassed:
		return &class.Passed
	case answerDropped:
		return &class.Dropped
	case answerBadGateway:
		return &class.Failed
	}
	return nil
}

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
	c.usage = u
}

// countAnswer counts a final response that was written, in the counters of its class and as usage. out is the
// number of bytes of its body.
func (s *Server) countAnswer(c *client, class *stats.ResponseCounters, a answer, out int64) {
	a.counter(class).Inc()
	usage := c.usage
	if usage == nil || a == "" {
		return
	}
	c.usage = nil
	usage.Answer, usage.Out = string(a), out
	s.RecordUsage(*usage)
}
