package balance

import "time"

// ServerID identifies a server; the number has no other meaning.
type ServerID uint32

// ServerState is the state of a server in the registry.
type ServerState uint8

// The states of a listed server; only servers that are Up get attempts.
const (
	Up ServerState = iota
	Draining
	Removed
)

// Server is one entry of the registry's list.
type Server struct {
	ID      ServerID
	Zone    int
	Kind    int // kind of machine
	Cell    int // group of servers that share cached keys
	State   ServerState
	Rating  float64       // capacity relative to other servers
	Started time.Duration // on the caller's clock; 0 means long ago
}

// ListKind is the relation of a server list to the previous one.
type ListKind uint8

// The kinds of lists.
const (
	ListCached ListKind = iota // complete, saved before a restart
	ListFull                   // complete
	ListDelta                  // only the changed entries
	ListFailed                 // the registry could not be asked or followed; no entries
)

// Request is one request of a client; a retry by the client itself is a new request. No decision reads
// Tenant and ClientRetry.
type Request struct {
	ID          string
	Class       int
	Tenant      int
	Key         uint64
	HasKey      bool
	Deadline    time.Duration // when the client gives up, on the caller's clock
	Work        time.Duration // expected work on a standard core; 0 if unknown
	ClientRetry bool          // the client marked it as a retry
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results of attempts and probes.
const (
	Done        Result = iota // served
	Error                     // an error response; may have run
	Rejected                  // rejected by the server before it began
	TimedOut                  // may have run
	ConnRefused               // no connection; never ran
	Reset                     // the connection broke; may have run
	Cancelled                 // may have run
	Skipped                   // never sent
)

// neverRan reports whether the result proves that the server did not start the request.
func (r Result) neverRan() bool { return r == Rejected || r == ConnRefused || r == Skipped }

// Outcome reports the end of one attempt. Report is valid during the call only.
type Outcome struct {
	ID      string
	Attempt int // number of the attempt, in the order of the Send actions of ID, from 0
	Server  ServerID
	Result  Result
	Final   bool // the request has its final response
	Latency time.Duration
	Report  []float64 // load report of the server in the order of Settings.ReportFields; nil if none came
}

// ProbeResult reports the end of one probe. Report is valid during the call only.
type ProbeResult struct {
	Server  ServerID
	Result  Result
	Latency time.Duration
	Report  []float64
}

// ActionKind is what an Action asks the caller to do.
type ActionKind uint8

// The kinds of actions.
const (
	Send       ActionKind = iota // start an attempt of ID on Server within StartWithin; timeout Wait, 0 for none
	Cancel                       // stop waiting for attempt Attempt of ID
	Reject                       // final response of ID: rejected; a retry after Wait is harmless
	Fail                         // final response of ID: failed, may have run
	Probe                        // ask Server for a load report
	SetTimer                     // call Timer with Token after Wait
	FollowList                   // ask the registry for its changes from now on
)

// Action is one thing that the caller must do, in the order of the buffer.
type Action struct {
	Kind        ActionKind
	ID          string
	Server      ServerID
	Attempt     int
	Wait        time.Duration
	StartWithin time.Duration // an attempt that can't begin within this must not begin
	Token       uint64
}
