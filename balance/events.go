package balance

import "time"

// ServerID identifies a server; the number has no other meaning.
type ServerID uint32

// ServerState is the state of a server in the registry.
type ServerState uint8

// The states of a listed server; only one that is Up gets attempts.
const (
	Up ServerState = iota
	Draining
	Removed
)

// Server is one entry of the registry's list.
type Server struct {
	ID      ServerID
	Zone    int
	Kind    int // of machine
	Cell    int // group of servers that share what they cache of keys
	State   ServerState
	Rating  float64       // capacity in relation to other servers
	Started time.Duration // on the caller's clock; 0 means long ago
}

// ListKind says how a list relates to the one before.
type ListKind uint8

// The kinds of lists.
const (
	ListCached ListKind = iota // complete, from before a restart
	ListFull                   // complete
	ListDelta                  // the changed entries
	ListFailed                 // following or asking failed; no entries
)

// Request is one request of a client; a client's own retry is a request of its own. No decision reads Tenant
// and ClientRetry.
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
	Reset                     // connection broke; may have run
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

// ActionKind says what an Action asks for.
type ActionKind uint8

// The kinds of actions.
const (
	Send       ActionKind = iota // start an attempt of ID on Server within StartWithin; timeout Wait, 0 for none
	Cancel                       // stop waiting for attempt Attempt of ID
	Reject                       // final response of ID: rejected, a retry is harmless, after Wait
	Fail                         // final response of ID: failed, it may have run
	Probe                        // ask Server for its load
	SetTimer                     // call Timer with Token after Wait
	FollowList                   // ask the registry for its changes from now on
)

// Action is one thing for the caller to do, in the order given.
type Action struct {
	Kind        ActionKind
	ID          string
	Server      ServerID
	Attempt     int
	Wait        time.Duration
	StartWithin time.Duration // an attempt that can't begin within this must not begin
	Token       uint64
}
