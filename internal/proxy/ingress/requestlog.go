package ingress

import (
	"time"

	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/proxy/logging"
)

// Outcomes of requests, as written to the request log.
const (
	outcomeServed             = "served"
	outcomeRejected           = "rejected" // by a Reject step of package dispatch
	outcomeFailed             = "failed"
	outcomeClientDisconnected = "client_disconnected"
)

// startLogEntry starts the log entry of a request, if the request log selects it.
func (s *Server) startLogEntry(c *client, id string, request dispatch.Request) {
	if !s.requestLog.Load().Allow() {
		return
	}
	c.logEntry = &logging.RequestEntry{Request: id, Class: s.Classes[request.Class]}
	if len(s.Tenants) > 0 {
		c.logEntry.Tenant = s.Tenants[request.Tenant]
	}
}

// recordOutcome adds the outcome of a request to its log entry. last is the index of the attempt that decided
// the outcome, -1 if there was none.
func (s *Server) recordOutcome(c *client, outcome string, status int, attempts []*attempt, last int) {
	if c.logEntry == nil {
		return
	}
	c.logEntry.Outcome, c.logEntry.Status, c.logEntry.Attempts = outcome, status, len(attempts)
	if last >= 0 {
		c.logEntry.Server = s.ServerName(attempts[last].Server)
	}
}

// logRequest writes the request's log entry, if it has one. It is called after the response is written.
func (s *Server) logRequest(c *client, arrived time.Time) {
	if c.logEntry == nil {
		return
	}
	c.logEntry.Took = time.Since(arrived)
	if log := s.requestLog.Load(); log != nil {
		log.Write(*c.logEntry)
	}
	c.logEntry = nil
}
