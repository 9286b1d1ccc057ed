package routerstandin

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cresshub/internal/http1"
)

// decodePrefillPace is the pace of prefill on a decode server, in relation to that on a prefill server.
const decodePrefillPace = 0.5

// work is what a request to a model server asks for.
type work struct {
	prompt      int // tokens
	output      int // tokens
	resumeAfter int // tokens that the client already has
}

// workOf reads what a request asks for; a number that is missing or malformed is 0.
func workOf(header http1.Header) work {
	prompt, output, _ := strings.Cut(header.Get(tokensHeader), ",")
	asked := work{}
	asked.prompt, _ = strconv.Atoi(prompt)
	asked.output, _ = strconv.Atoi(output)
	asked.resumeAfter, _ = strconv.Atoi(header.Get(lastEventHeader))
	return asked
}

// runModel answers a request by the server's stage.
func (x *exchange) runModel() {
	stage, changing := x.server.engine.stageState()
	isPrefill := x.request.Header.Get(stageHeader) == StagePrefill
	handle := x.request.Header.Get(kvFromHeader)
	switch {
	case changing:
		x.reject(503, reasonStageChanges)
	case isPrefill != (stage == StagePrefill):
		x.reject(421, notRunReason("the stage is "+stage))
	case isPrefill:
		x.prefill()
	default:
		x.decode(handle)
	}
}

// admit takes a slot unless the stage changes meanwhile, and reports whether the work may begin.
func (x *exchange) admit() bool {
	reason := x.acquireSlot()
	if reason == admitted {
		_, changing := x.server.engine.stageState()
		switch {
		case changing:
			reason = reasonStageChanges
		case x.pastDeadline():
			reason = reasonDeadline
		default:
			return true
		}
		x.server.slots.release()
	}
	x.reject(503, reason)
	return false
}

// handleDocument is the answer to a prefill: the handle by which another server fetches the prefix cache.
type handleDocument struct {
	Handle  string `json:"claim_ticket"`
	Version int    `json:"edition"`
	Tokens  int    `json:"tokens"`
}

// prefill computes a prompt's prefix cache and keeps it for another server.
func (x *exchange) prefill() {
	if !x.admit() {
		return
	}
	defer x.server.slots.release()
	defer x.trackWork()()
	x.server.options.Observations.recordPrefill(x.arrival)
	engine, asked := x.server.engine, workOf(x.request.Header)
	if !x.wait(x.slowed(engine.prefillTime(asked.prompt, 1))) {
		x.abort()
		return
	}
	if x.injectFault("") {
		return
	}
	x.server.tally.count(func(t *ServerTally) { t.Prefills++ })
	handle := engine.storePrefix(asked.prompt)
	x.server.options.Observations.recordHandle(handle, x.arrival)
	document, _ := json.Marshal(handleDocument{Handle: handle, Version: 1, Tokens: asked.prompt})
	x.answerJSON(200, document)
}

// decode streams the answer, from a prefix cache that it fetches or after its own prefill.
func (x *exchange) decode(kvFrom string) {
	if !x.admit() {
		return
	}
	defer x.server.slots.release()
	defer x.trackWork()()
	engine, asked := x.server.engine, workOf(x.request.Header)
	if x.misbehaviour == ShedsLoad {
		x.reject(503, reasonLoadShed)
		return
	}
	if kvFrom != "" && !x.fetchPrefix(kvFrom) {
		x.reject(503, reasonNoPrefix)
		return
	}
	run := x.server.options.Observations.startRun(x.arrival, asked.resumeAfter+1, true)
	x.server.tally.count(func(t *ServerTally) { t.Runs++ })
	wait := engine.TransferTime
	if kvFrom == "" {
		wait = engine.prefillTime(asked.prompt, decodePrefillPace)
	}
	if !x.wait(x.slowed(wait)) {
		x.abort()
		return
	}
	if x.misbehaviour != Hangs && x.injectFault(run.stamp) {
		return
	}
	if !x.stream(run, asked) {
		x.abort()
		return
	}
	if x.misbehaviour == DuplicatesResponses {
		x.sendDuplicate(run.stamp)
	}
}

// stream sends the events, and reports whether all were sent.
func (x *exchange) stream(run *run, asked work) bool {
	x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	header := x.header(field(stampHeader, run.stamp), field("Content-Type", "text/event-stream"))
	response := &http1.Response{Status: 200, Header: header, Streaming: true, Length: -1, Close: x.closesConn}
	out, err := response.Begin(x.conn.Out, false)
	if err != nil {
		return false
	}
	for last := asked.resumeAfter; last < asked.output; {
		if !x.wait(x.server.engine.EventInterval) || x.pastDeadline() {
			return false
		}
		first := last + 1
		last = min(last+x.server.engine.TokensPerEvent, asked.output)
		x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		event := eventOf(run, first, last, asked.output)
		firstEvent := last <= asked.resumeAfter+x.server.engine.TokensPerEvent
		truncated := x.misbehaviour == TruncatesResponses && !firstEvent
		if truncated {
			event = event[:len(event)/2]
		}
		if _, err := out.Write(event); err != nil || x.conn.Flush() != nil {
			return false
		}
		switch {
		case truncated:
			return false
		case x.misbehaviour == Hangs:
			x.wait(hangTime)
			return false
		}
	}
	return out.Close() == nil && x.conn.Flush() == nil
}

// eventOf returns the event with the tokens first to last of a run.
func eventOf(run *run, first, last, output int) []byte {
	end := ""
	if last == output {
		end = " end"
	}
	return fmt.Appendf(nil, "id: %d\ndata: %s %d-%d%s\n\n", last, run.stamp, first, last, end)
}
