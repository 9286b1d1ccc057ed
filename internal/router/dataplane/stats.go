package dataplane

import "sync/atomic"

// Stats are counts since the start of the process.
type Stats struct {
	Clients             int64 // connections accepted
	ClientsRejected     int64 // connections closed at once because of the connection limit
	Requests            int64 // requests read completely
	Malformed           int64 // requests rejected while they were read
	Forwarded           int64 // responses of servers forwarded completely
	Rejected            int64 // requests answered 503, which have not run
	Failed              int64 // requests answered 502 or 504
	Truncated           int64 // responses broken off after their head was sent
	ClientsDisconnected int64 // clients that disconnected while their request was in flight
	Calls               int64 // calls sent to servers
	Retries             int64 // retries charged to the retry budgets
	Resumed             int64 // streams resumed at another server
	Prefills            int64 // prompts prefilled by one server for another
	PrefillsFailed      int64 // prefill calls that failed
	Surplus             int64 // responses of servers that belonged to another request
	Dialled             int64 // connections opened to servers
	Reused              int64 // times that an idle connection to a server was reused
}

// counters are the counts that Stats returns. Any goroutine may add to them.
type counters struct {
	clients, clientsRejected, clientsDisconnected              atomic.Int64
	requests, malformed                                        atomic.Int64
	forwarded, rejected, failed, truncated                     atomic.Int64
	calls, retries, resumed, prefills, prefillsFailed, surplus atomic.Int64
	dialled, reused                                            atomic.Int64
}

// Stats returns the current counts.
func (p *Proxy) Stats() Stats {
	c := &p.counters
	return Stats{
		Clients:             c.clients.Load(),
		ClientsRejected:     c.clientsRejected.Load(),
		Requests:            c.requests.Load(),
		Malformed:           c.malformed.Load(),
		Forwarded:           c.forwarded.Load(),
		Rejected:            c.rejected.Load(),
		Failed:              c.failed.Load(),
		Truncated:           c.truncated.Load(),
		ClientsDisconnected: c.clientsDisconnected.Load(),
		Calls:               c.calls.Load(),
		Retries:             c.retries.Load(),
		Resumed:             c.resumed.Load(),
		Prefills:            c.prefills.Load(),
		PrefillsFailed:      c.prefillsFailed.Load(),
		Surplus:             c.surplus.Load(),
		Dialled:             c.dialled.Load(),
		Reused:              c.reused.Load(),
	}
}
