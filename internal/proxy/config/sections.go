// This file has the sections of a configuration that bound, price and classify requests.

package config

import (
	"time"
)

// Limits are what the process may use.
type Limits struct {
	_     about   `doc:"processors to use, rounded up; 0 is all"`
	Cores float64 `key:"cores" default:"0" min:"0" max:"1024"`

	_      about `doc:"memory of the whole process; 0 is no bound"`
	Memory Size  `key:"memory" default:"0MiB" min:"0B" max:"1TiB"`

	_            about   `doc:"part of the memory that bodies may take; of 64 MiB where that has no bound"`
	BodyFraction float64 `key:"bodies" default:"0.125" min:"0.01" max:"0.9"`

	_           about `doc:"file descriptors to hold; 0 is what the system allows"`
	Descriptors int   `key:"sockets" default:"0" min:"0" max:"10000000"`

	_              about   `doc:"part of the sockets that clients may hold"`
	ClientFraction float64 `key:"clients" default:"0.6" min:"0.05" max:"0.95"`

	_               about   `doc:"part of the sockets beyond which a new client closes the longest rested one"`
	CrowdedFraction float64 `key:"crowded" default:"0.25" min:"0.01" max:"0.95"`
}

// ClientFraction bounds what clients may keep the program waiting for.
type Clients struct {
	_                   about         `doc:"from a connection's start to the first byte of its first request"`
	FirstRequestTimeout time.Duration `key:"first_request" default:"2s" min:"10ms" max:"10m" reload:"live"`

	_           about         `doc:"from a request's first byte to the end of its head"`
	HeadTimeout time.Duration `key:"request" default:"3s" min:"10ms" max:"10m" reload:"live"`

	_            about         `doc:"a body that makes no progress for so long ends the request, either way"`
	StallTimeout time.Duration `key:"stall" default:"3s" min:"10ms" max:"10m" reload:"live"`

	_              about         `doc:"reading on after an answer that came before the end of a large body"`
	DiscardTimeout time.Duration `key:"discard" default:"1s" min:"0s" max:"10m" reload:"live"`

	_           about         `doc:"rest between two requests"`
	IdleTimeout time.Duration `key:"idle" default:"3s" min:"10ms" max:"1h" reload:"live"`

	_            about         `doc:"to take an answer"`
	WriteTimeout time.Duration `key:"write" default:"3s" min:"10ms" max:"10m" reload:"live"`

	_      about         `doc:"reading on after an error answer, so that a reset does not overtake it"`
	Linger time.Duration `key:"linger" default:"100ms" min:"0s" max:"10s" reload:"live"`

	_             about         `doc:"to read the request of a client beyond the sockets, which is then refused"`
	RejectTimeout time.Duration `key:"turn_away" default:"300ms" min:"10ms" max:"10s" reload:"live"`

	_            about `doc:"clients beyond the sockets that are told so at a time; others are closed"`
	MaxRejecting int   `key:"turned_away_at_once" default:"8" min:"1" max:"1024"`

	_             about         `doc:"age at which a connection without a byte may make room"`
	ReclaimSilent time.Duration `key:"silent_for" default:"50ms" min:"0s" max:"10m" reload:"live"`

	_              about         `doc:"without a byte for so long a request that is not whole may make room"`
	ReclaimPartial time.Duration `key:"half_for" default:"500ms" min:"0s" max:"10m" reload:"live"`

	_           about         `doc:"rest after which a connection may make room"`
	ReclaimIdle time.Duration `key:"rested_for" default:"20ms" min:"0s" max:"10m" reload:"live"`
}

// Shutdown times how clients are sent away, each from SIGTERM or an operator's lame duck on. The platform
// may kill the process once its longest deadline and 0.7 s have passed: what is taken later than 0.7 s
// after the signal could be cut, so that nothing that rests or is not whole is kept for longer. New
// connections come for 0.4 s.
type Shutdown struct {
	_         about         `doc:"connections that rest close"`
	CloseIdle time.Duration `key:"close_idle_after" default:"500ms" min:"0s" max:"10m" reload:"live"`

	_         about         `doc:"new connections are taken until then"`
	AcceptFor time.Duration `key:"accept_for" default:"600ms" min:"0s" max:"10m" reload:"live"`

	_        about         `doc:"also those that came since close"`
	CloseAll time.Duration `key:"close_all_after" default:"700ms" min:"0s" max:"10m" reload:"live"`

	_            about         `doc:"those whose request is not whole too; at the end with close_all_after"`
	ClosePartial time.Duration `key:"close_half_after" default:"3s" min:"0s" max:"10m" reload:"live"`
}

// Upstream is the connections to servers.
type Upstream struct {
	_           about         `doc:"a connection that does not stand by then counts as refused; 0 is 250 ms"`
	DialTimeout time.Duration `key:"dial" default:"250ms" min:"0s" max:"1m"`

	_         about         `doc:"servers close a connection that rested for so long; 0 is not known"`
	IdleClose time.Duration `key:"idle_close" default:"5s" min:"0s" max:"1h" reload:"live"`

	_             about   `doc:"part of idle_close up to which a connection is used again"`
	ReuseFraction float64 `key:"reuse" default:"0.75" min:"0" max:"0.95" reload:"live"`

	_              about         `doc:"a connection rests so long after an answer: a second one may follow it"`
	DuplicateGuard time.Duration `key:"rest" default:"20ms" min:"0s" max:"10s" reload:"live"`

	_            about         `doc:"how long a probe may take beyond a dial"`
	ProbeTimeout time.Duration `key:"probe" default:"50ms" min:"1ms" max:"1m" reload:"live"`

	_          about         `doc:"an answer of unknown length that takes longer is passed on as it comes"`
	BufferTime time.Duration `key:"hold" default:"100ms" min:"0s" max:"10m" reload:"live"`

	_            about         `doc:"a body that makes no progress for so long is given up"`
	StallTimeout time.Duration `key:"stall" default:"30s" min:"10ms" max:"1h" reload:"live"`
}

// Policy is what the decisions are told of the deployment.
type Policy struct {
	_    about `doc:"number of this instance among all"`
	Rank int   `key:"rank" default:"0" min:"0" max:"1000000"`

	_         about `doc:"instances that send to these servers"`
	Instances int   `key:"instances" default:"1" min:"0" max:"1000000"`

	_    about  `doc:"hall of this instance"`
	Hall string `key:"hall" default:"" form:"hall"`

	_    about         `doc:"granularity of decisions"`
	Tick time.Duration `key:"tick" default:"5ms" min:"0s" max:"10s"`

	_              about         `doc:"a request is answered so long before its deadline, to arrive in time"`
	ResponseMargin time.Duration `key:"travel" default:"20ms" min:"0s" max:"10s"`

	_           about `doc:"attempts for one request at most"`
	MaxAttempts int   `key:"attempts" default:"3" min:"0" max:"100"`

	_        about `doc:"servers may be probed for their load"`
	MayProbe bool  `key:"probes" default:"true"`

	_         about `doc:"attempts may be given up by closing their connection"`
	MayCancel bool  `key:"cancel" default:"true"`

	_        about `doc:"what may be repeated may have two attempts out at once"`
	MayHedge bool  `key:"duplicate" default:"true"`

	_              about `doc:"refusals carry Retry-After"`
	SendRetryAfter bool  `key:"tell_wait" default:"true"`

	_             about         `doc:"longest Retry-After"`
	MaxRetryAfter time.Duration `key:"max_wait" default:"1s" min:"0s" max:"1h"`

	_        about `doc:"a server does less work for a key it met lately"`
	WarmKeys bool  `key:"warm_keys" default:"false"`

	_      about    `doc:"values of a load report"`
	Report []string `key:"report" default:"active,waiting,cpu"`

	_          about  `doc:"what carries load reports"`
	ReportFrom string `key:"report_from" default:"probe" enum:"probe|answers|none"`

	_              about   `doc:"worth of a request beyond its tenant's share, as a part of its class's"`
	OverQuotaValue float64 `key:"over_share_worth" default:"0.1" min:"0"`

	_        about  `doc:"what a class's worth counts for"`
	ValuedBy string `key:"worth_by" default:"request" enum:"request|work"`

	_             about         `doc:"how long after its deadline an answer still counts"`
	ResponseGrace time.Duration `key:"answer_slack" default:"50ms" min:"0s" max:"1m"`
}

// Drain is the rule on servers that leave.
type Drain struct {
	_     about         `doc:"nothing new goes to a server later than this after its drain was told"`
	Grace time.Duration `key:"grace" default:"1500ms" min:"0s" max:"10m"`
}

// SlowStart is the rule on servers that have just started.
type SlowStart struct {
	_           about   `doc:"part of its capacity that a server starts with, at least"`
	MinFraction float64 `key:"start" default:"0.12" min:"0" max:"1"`

	_      about         `doc:"it is warm after this"`
	Window time.Duration `key:"warm_after" default:"23s" min:"0s" max:"1h"`

	_                about   `doc:"more than this multiple of its present capacity"`
	CollapseMultiple float64 `key:"fall_multiple" default:"4" min:"0"`

	_             about         `doc:"for so long, and it falls over"`
	CollapseAfter time.Duration `key:"fall_after" default:"1500ms" min:"0s" max:"1h"`
}

// Prices are what costs service, as parts of the worth offered.
type Prices struct {
	_         about   `doc:"each request crossing halls once"`
	CrossHall float64 `key:"cross_hall" default:"0.03" min:"0"`

	_     about   `doc:"one probe a request"`
	Probe float64 `key:"probe" default:"0.01" min:"0"`

	_     about   `doc:"as much work wasted as was asked for"`
	Waste float64 `key:"waste" default:"0.04" min:"0"`

	_        about   `doc:"all failing only after the aim"`
	LateFail float64 `key:"late_fail" default:"0.033" min:"0"`
}

// Log is what is logged and how.
type Log struct {
	_      about  `doc:"form of a line"`
	Format string `key:"format" default:"text" enum:"text|json"`

	_     about  `doc:"least level that is logged"`
	Level string `key:"level" default:"info" enum:"debug|info|warn|error" reload:"live"`

	_          about   `doc:"lines a second with the same words; the next tells how many were left out; 0: all"`
	RepeatRate float64 `key:"repeat" default:"5" min:"0" max:"100000" reload:"live"`

	_       about `doc:"kept while the reader of the log stalls; lines beyond it are lost and counted"`
	Backlog Size  `key:"backlog" default:"256KiB" min:"4KiB" max:"64MiB"`

	_        about `doc:"one line for each final answer"`
	Requests bool  `key:"requests" default:"false" reload:"live"`

	_             about   `doc:"part of the requests that get such a line"`
	RequestSample float64 `key:"request_sample" default:"1" min:"0" max:"1" reload:"live"`

	_           about   `doc:"such lines a second at most; 0 is no bound"`
	RequestRate float64 `key:"request_rate" default:"100" min:"0" max:"1000000" reload:"live"`
}

// Class is one kind of request.
type Class struct {
	_    about  `doc:"as clients name it"`
	Name string `key:"name" form:"name"`

	_             about         `doc:"an answer this soon earns the full worth"`
	LatencyTarget time.Duration `key:"aim" min:"1us" max:"24h"`

	_             about   `doc:"the aim grows by this many times the request's expected work"`
	TargetPerWork float64 `key:"aim_stretch" default:"0" min:"0"`

	_        about         `doc:"how long a client waits over all its tries"`
	Deadline time.Duration `key:"deadline" min:"1us" max:"24h"`

	_      about  `doc:"what a second run would do"`
	Effect string `key:"effect" enum:"idempotent|deduplicated|at_most_once"`

	_          about  `doc:"servers that drop each other's repeats, where deduplicated"`
	DedupScope string `key:"group" default:"all" enum:"all|zone|cell"`

	_           about         `doc:"how long repeats are dropped"`
	DedupWindow time.Duration `key:"window" default:"0s" min:"0s" max:"24h"`

	_     about   `doc:"worth of one request answered within its aim"`
	Value float64 `key:"worth" default:"1" min:"0"`

	_         about   `doc:"part of it earned between aim and deadline"`
	LateValue float64 `key:"late_worth" default:"0" min:"0" max:"1"`

	_      about `doc:"the answer is a stream"`
	Stream bool  `key:"stream" default:"false"`
}

// Tenant is one of those who share the servers.
type Tenant struct {
	_    about  `doc:"as clients name it"`
	Name string `key:"name" form:"name"`

	_     about   `doc:"part of the service"`
	Share float64 `key:"share" default:"0" min:"0" max:"1"`

	_     about   `doc:"requests a second inside its share, through all instances"`
	Quota float64 `key:"quota" default:"0" min:"0"`
}

// Server is a server that needs no discovery.
type Server struct {
	_    about  `doc:"unique name"`
	Name string `key:"name" form:"name" reload:"live"`

	_       about  `doc:"host and port"`
	Address string `key:"address" form:"address" reload:"live"`

	_    about  `doc:"hall it stands in"`
	Hall string `key:"hall" default:"" reload:"live"`

	_    about  `doc:"kind of machine"`
	Kind string `key:"kind" default:"" reload:"live"`

	_    about `doc:"servers of a cell share what keys they met"`
	Cell int   `key:"cell" default:"0" min:"0" max:"1000000" reload:"live"`

	_      about   `doc:"size beside other servers"`
	Weight float64 `key:"weight" default:"1" min:"0.000001" max:"1000000" reload:"live"`

	_        about `doc:"finishes what it has and gets nothing new"`
	Draining bool  `key:"drains" default:"false" reload:"live"`
}
