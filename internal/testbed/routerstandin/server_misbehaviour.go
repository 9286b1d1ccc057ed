package routerstandin

import (
	"math/rand/v2"
	"strings"
	"time"

	"cresshub/internal/http1"
)

// Misbehaviour is what a server does wrong with a fraction of its requests.
type Misbehaviour string

// The misbehaviours of servers.
const (
	NoMisbehaviour      Misbehaviour = ""
	DropsResponses      Misbehaviour = "loses answers"  // runs the request, then ends the connection unanswered
	TruncatesResponses  Misbehaviour = "cuts answers"   // ends the connection inside the answer
	DuplicatesResponses Misbehaviour = "answers twice"  // sends the answer once more behind it
	Hangs               Misbehaviour = "hangs"          // begins, and stalls until its caller disconnects
	ShedsLoad           Misbehaviour = "sheds"          // rejects requests though a slot is free
	Fails               Misbehaviour = "fails"          // answers 500 after the work
	IsSlow              Misbehaviour = "is slow"        // takes several times as long
	SendsGarbage        Misbehaviour = "sends nonsense" // answers with bytes that are no HTTP
)

// Misbehaviours lists all of them.
var Misbehaviours = []Misbehaviour{
	DropsResponses, TruncatesResponses, DuplicatesResponses, Hangs, ShedsLoad, Fails, IsSlow, SendsGarbage,
}

const (
	// slowFactor is how many times as long a slow server takes.
	slowFactor = 6
	// hangTime bounds how long a server hangs whose caller stays connected.
	hangTime = 8 * time.Second
)

// Misbehave applies a misbehaviour to a fraction of the requests from now on; NoMisbehaviour ends it.
func (s *Server) Misbehave(misbehaviour Misbehaviour, fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.misbehaviour, s.misbehavedFraction = misbehaviour, fraction
}

// drawMisbehaviour draws how the server treats its next request.
func (s *Server) drawMisbehaviour() Misbehaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.misbehaviour == NoMisbehaviour || rand.Float64() >= s.misbehavedFraction {
		return NoMisbehaviour
	}
	return s.misbehaviour
}

// slowed returns how long work takes that usually takes d.
func (x *exchange) slowed(d time.Duration) time.Duration {
	if x.misbehaviour == IsSlow {
		return slowFactor * d
	}
	return d
}

// injectFault applies the misbehaviours that replace the answer, and reports whether one did.
func (x *exchange) injectFault(stamp string) bool {
	switch x.misbehaviour {
	case DropsResponses:
	case Hangs:
		x.wait(hangTime)
	case SendsGarbage:
		x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = x.conn.Out.WriteString("HTTP/1.1 two hundred\r\nnot: an answer\r\n\r\n")
		_ = x.conn.Flush()
	case Fails:
		x.send(500, []byte("it failed\n"), field(stampHeader, stamp))
		return true
	default:
		return false
	}
	x.abort()
	return true
}

// sendTruncated sends an answer's head and half of its body, and ends the connection.
func (x *exchange) sendTruncated(body, stamp string) {
	x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	response := &http1.Response{Status: 200, Header: x.header(field(stampHeader, stamp)),
		Length: int64(len(body)), Streaming: true}
	if out, err := response.Begin(x.conn.Out, false); err == nil {
		_, _ = out.Write([]byte(body[:len(body)/2]))
		_ = x.conn.Flush()
	}
	x.abort()
}

// sendDuplicate sends a second answer to a request that has been answered.
func (x *exchange) sendDuplicate(stamp string) {
	x.send(200, []byte(strings.Repeat("again ", 10)), field(stampHeader, stamp))
}
