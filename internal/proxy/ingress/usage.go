package ingress

import (
	"github.com/cespare/xxhash/v2"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/stats"
)

// responseKind is the kind as which a final response is counted. The values are stored in the usage ledger,
// and are part of the names of metrics.
type responseKind string

// The kinds of final responses. One of the zero value, to a health check, is not counted.
const (
	responsePassed     responseKind = "passed"      // the response of a server
	responseDropped    responseKind = "dropped"     // rejected
	responseBadGateway responseKind = "bad_gateway" // an error: the request is invalid, or its attempts failed
)

// counter returns the counter of responses of this kind among those of a class; nil for the zero value.
func (k responseKind) counter(class *stats.ResponseCounters) *stats.Counter {
	switch k {
	case responsePassed:
		return &class.Passed
	case responseDropped:
		return &class.Dropped
	case responseBadGateway:
		return &class.Failed
	}
	return nil
}

// Usage is one request with its final response, as the usage ledger counts it once the response is written.
type Usage struct {
	Tenant, Class string
	Answer        string // kind of the final response: passed, dropped or bad_gateway
	ID            uint64 // xxhash of the request's id, for a client's retry that of the original; 0 if none
	In, Out       int64  // bytes of the request's and of the response's body
}

// startUsage begins the usage of a request, if usage is counted and the class is known.
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

// countResponse counts a final response that was written, in the counters of its class and as usage. out is
// the number of bytes of its body. Each request is recorded as usage at most once.
func (s *Server) countResponse(c *client, class *stats.ResponseCounters, kind responseKind, out int64) {
	kind.counter(class).Inc()
	usage := c.usage
	if usage == nil || kind == "" {
		return
	}
	c.usage = nil
	usage.Answer, usage.Out = string(kind), out
	s.RecordUsage(*usage)
}
