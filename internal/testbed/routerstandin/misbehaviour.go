package routerstandin

import (
	"math/rand/v2"
	"strings"
	"time"

	"cresshub/internal/http1"
)

// Misbehaviour is what a server in trouble does to a part of the requests that it takes up.
type Misbehaviour string

// The misbehaviours of servers.
const (
	Behaves      Misbehaviour = ""
	LosesAnswers Misbehaviour = "loses answers"  // runs the request and ends the connection without an answer
	CutsAnswers  Misbehaviour = "cuts answers"   // ends the connection inside the answer
	AnswersTwice Misbehaviour = "answers twice"  // sends the answer once more behind it
	Hangs        Misbehaviour = "hangs"          // begins, and says nothing more until its caller leaves
	Sheds        Misbehaviour = "sheds"          // turns requests away though there is room
	Fails        Misbehaviour = "fails"          // answers 500 after the work
	Dawdles      Misbehaviour = "is slow"        // takes several times as long
	Garbles      Misbehaviour = "sends nonsense" // answers with bytes that are no answer
)

// Misbehaviours lists all of them.
var Misbehaviours = []Misbehaviour{
	LosesAnswers, CutsAnswers, AnswersTwice, Hangs, Sheds, Fails, Dawdles, Garbles,
}

const (
	// dawdleTimes is how many times as long a slow server takes.
	dawdleTimes = 6
	// hangTime bounds how long a server hangs whose caller does not leave.
	hangTime = 8 * time.Second
)

// Misbehave has the server treat a part of its requests so from now on; Behaves ends it.
func (s *Server) Misbehave(how Misbehaviour, part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.misbehaviour, s.misbehavedPart = how, part
}

// treatment draws how the server treats its next request.
func (s *Server) treatment() Misbehaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.misbehaviour == Behaves || rand.Float64() >= s.misbehavedPart {
		return Behaves
	}
	return s.misbehaviour
}

// slowed returns how long work takes that usually takes d.
func (x *exchange) slowed(d time.Duration) time.Duration {
	if x.treatment == Dawdles {
		return dawdleTimes * d
	}
	return d
}

// spoils ends a request, in place of its answer, as the treatment wants, and tells whether it did.
func (x *exchange) spoils(stamp string) bool {
	switch x.treatment {
	case LosesAnswers:
	case Hangs:
		x.pause(hangTime)
	case Garbles:
		x.conn.SetWriteDeadline(time.Now().Add(writeTime))
		_, _ = x.conn.Out.WriteString("HTTP/1.1 two hundred\r\nnot: an answer\r\n\r\n")
		_ = x.conn.Flush()
	case Fails:
		x.send(500, []byte("it failed\n"), field(stampHeader, stamp))
		return true
	default:
		return false
	}
	x.abandon()
	return true
}

// sendCut sends an answer's head and half of its body, and ends the connection.
func (x *exchange) sendCut(body, stamp string) {
	x.conn.SetWriteDeadline(time.Now().Add(writeTime))
	response := &http1.Response{Status: 200, Header: x.header(field(stampHeader, stamp)),
		Length: int64(len(body)), Streaming: true}
	if out, err := response.Begin(x.conn.Out, false); err == nil {
		_, _ = out.Write([]byte(body[:len(body)/2]))
		_ = x.conn.Flush()
	}
	x.abandon()
}

// sendAgain sends a second answer to a request that has been answered.
func (x *exchange) sendAgain(stamp string) {
	x.send(200, []byte(strings.Repeat("again ", 10)), field(stampHeader, stamp))
}
