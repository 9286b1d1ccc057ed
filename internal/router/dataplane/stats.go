package dataplane

import "sync/atomic"

// Stats counts what has happened since the start.
type Stats struct {
	Clients           int64 // connections accepted
	ClientsTurnedAway int64 // connections closed at once as there were too many
	Requests          int64 // requests read whole
	Malformed         int64 // requests that were not proper HTTP/1.1 or beyond the limits
	Passed            int64 // answers of servers passed on whole
	Refused           int64 // requests answered 503: they have not run
	Failed            int64 // requests answered 502 or 504
	Cut               int64 // answers cut off after their beginning
	ClientsLeft       int64 // clients that left while their request was under way
	Calls             int64 // calls sent to servers
	Repeats           int64 // calls that the retry budget paid for
	Resumed           int64 // streams taken up at another server
	Splits            int64 // prompts read by one server for another
	SplitsLost        int64 // prompts whose reading failed, or whose memory could not be fetched
	Surplus           int64 // answers of servers that belonged to another request
	Dialled           int64 // connections opened to servers
	Reused            int64 // calls sent on a connection that was used before
}

type counters struct {
	clients, clientsTurnedAway, requests, malformed, passed, refused, failed, cut, clientsLeft, calls, repeats,
	resumed, splits, splitsLost, surplus, dialled, reused atomic.Int64
}

// Stats returns the counts of this moment.
func (f *Front) Stats() Stats {
	c := &f.stats
	return Stats{
		Clients: c.clients.Load(), ClientsTurnedAway: c.clientsTurnedAway.Load(), Requests: c.requests.Load(),
		Malformed: c.malformed.Load(), Passed: c.passed.Load(), Refused: c.refused.Load(),
		Failed: c.failed.Load(), Cut: c.cut.Load(), ClientsLeft: c.clientsLeft.Load(), Calls: c.calls.Load(),
		Repeats: c.repeats.Load(), Resumed: c.resumed.Load(), Splits: c.splits.Load(),
		SplitsLost: c.splitsLost.Load(), Surplus: c.surplus.Load(), Dialled: c.dialled.Load(),
		Reused: c.reused.Load(),
	}
}
