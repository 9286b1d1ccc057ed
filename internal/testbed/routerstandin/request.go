package routerstandin

import (
	"fmt"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/fleetconfig"
)

// Kind is a kind of requests that clients send.
type Kind struct {
	Name      string
	Host      string
	Prefix    string // of the path
	Class     fleetconfig.Kind
	Resumable bool    // a stream may be resumed at another server
	Fraction  float64 // of all requests

	LatencyTarget time.Duration // within which an answer, or the first event of a stream, is in time
	GapTarget     time.Duration // the longest gap between events that is in time
	Deadline      time.Duration // how long the client waits
	Retries       int           // of a client

	SharedTokens int // of the part of the prompt that the kind's requests share
	OwnTokens    int // of the request's own part
	OutputTokens int // that the answer has
	BodyBytes    int // of an answer that is no stream
}

func (k *Kind) isStream() bool { return k.Class == fleetconfig.Stream }

func (k *Kind) idempotent() bool {
	return k.Class == fleetconfig.Safe || k.isStream() && k.Resumable
}

// Request is what a client wants answered, in one attempt or several.
type Request struct {
	Kind   *Kind
	Number int
	Method string
	Target string
	Body   []byte
}

// NewRequest returns the request of that number of a kind.
func NewRequest(kind *Kind, number int) *Request {
	r := &Request{Kind: kind, Number: number, Method: "POST", Target: fmt.Sprintf("%s%x", kind.Prefix, number)}
	if kind.Class == fleetconfig.Safe {
		r.Method = "GET"
		return r
	}
	r.Body = fmt.Appendf(nil, "request %d of %s", number, kind.Name)
	return r
}

// message returns an attempt as it is sent.
func (r *Request) message(id string, timeLeft time.Duration, resumeAfter int) *http1.Request {
	kind := r.Kind
	header := http1.Header{
		field("Host", kind.Host), field(attemptIDHeader, id),
		field(deadlineHeader, fmt.Sprint(max(timeLeft.Milliseconds(), 1))),
	}
	if kind.OutputTokens > 0 {
		own := fmt.Sprintf("%x", r.Number)
		header = append(header, field(modelHeader, ModelName),
			field(tokensHeader, fmt.Sprintf("%d,%d", kind.SharedTokens+kind.OwnTokens, kind.OutputTokens)),
			field(prefixHeader, fmt.Sprintf("%x:%d,%s:%d", kind.Name, kind.SharedTokens, own, kind.OwnTokens)))
	}
	if resumeAfter > 0 {
		header = append(header, field(lastEventHeader, fmt.Sprint(resumeAfter)))
	}
	return &http1.Request{Method: r.Method, Target: r.Target, Header: header, Body: r.Body}
}
