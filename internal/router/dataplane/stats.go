package dataplane

import "sync/atomic"

// Stats counts what has happened since the start.
type Stats struct {
	Clients             int64 // connections accepted
	ClientsRejected     int64 // connections closed at once as there were too many
	Requests            int64 // requests read whole
	Malformed           int64 // requests that were not proper HTTP/1.1 or beyond the limits
	Forwarded           int64 // answers of servers passed on whole
	Rejected            int64 // requests answered 503: they have not run
	Failed              int64 // requests answered 502 or 504
	Truncated           int64 // answers cut off after their beginning
	ClientsDisconnected int64 // clients that left while their request was under way
	Calls               int64 // calls sent to servers
	Retries             int64 // calls that the retry budget paid for
	Resumed             int64 // streams taken up at another server
	Prefills            int64 // prompts read by one server for another
	PrefillsFailed      int64 // prompts whose reading failed, or whose memory could not be fetched
	Surplus             int64 // answers of servers that belonged to another request
	Dialled             int64 // connections opened to servers
	Reused              int64 // calls sent on a connection that was used before
}

type counters struct {
	clients, clientsRejected, requests, malformed, forwarded, rejected, failed, truncated, clientsDisconnected,
	calls, retries,
	resumed, prefills, prefillsFailed, surplus, dialled, reused atomic.Int64
}

// Stats returns the counts of this moment.
func (p *Proxy) Stats() Stats {
	c := &p.counters
	return Stats{
		Clients: c.clients.Load(), ClientsRejected: c.clientsRejected.Load(), Requests: c.requests.Load(),
		Malformed: c.malformed.Load(), Forwarded: c.forwarded.Load(), Rejected: c.rejected.Load(),
		Failed: c.failed.Load(), Truncated: c.truncated.Load(), ClientsDisconnected: c.clientsDisconnected.Load(),
		Calls:   c.calls.Load(),
		Retries: c.retries.Load(), Resumed: c.resumed.Load(), Prefills: c.prefills.Load(),
		PrefillsFailed: c.prefillsFailed.Load(), Surplus: c.surplus.Load(), Dialled: c.dialled.Load(),
		Reused: c.reused.Load(),
	}
}
