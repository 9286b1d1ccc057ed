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

func workOf(header http1.Header) work {
	prompt, output, _ := strings.Cut(header.Get(tokensHeader), ",")
	w := work{}
	w.prompt, _ = strconv.Atoi(prompt)
	w.output, _ = strconv.Atoi(output)
	w.resumeAfter, _ = strconv.Atoi(header.Get(lastEventHeader))
	return w
}

// runModel answers a request by the server's stage.
func (x *exchange) runModel() {
	stage, changing := x.server.engine.stageState()
	isPrefill := x.request.Header.Get(stageHeader) == StagePrefill
	handle := x.request.Header.Get(kvFromHeader)
	switch {
	case changing:
		x.reject(503, "the stage changes")
	case isPrefill != (stage == StagePrefill):
		x.reject(421, "the stage is "+stage)
	case isPrefill:
		x.prefill()
	default:
		x.decode(handle)
	}
}

// admit takes a slot unless the stage changes meanwhile, and reports whether the work may begin.
func (x *exchange) admit() bool {
	problem := x.acquireSlot()
	if problem == "" {
		_, changing := x.server.engine.stageState()
		switch {
		case changing:
			problem = "the stage changes"
		case x.pastDeadline():
			problem = reasonDeadline
		default:
			return true
		}
		x.server.slots.release()
	}
	x.reject(503, problem)
	return false
}

// prefill computes a prompt's prefix cache and keeps it for another server.
func (x *exchange) prefill() {
	if !x.admit() {
		return
	}
	defer x.server.slots.release()
	defer x.trackWork()()
	x.server.options.Observations.recordPrefill(x.arrival)
	engine, w := x.server.engine, workOf(x.request.Header)
	if !x.wait(x.slowed(engine.prefillTime(w.prompt, 1))) {
		x.abort()
		return
	}
	if x.injectFault("") {
		return
	}
	x.server.tally.count(func(t *ServerTally) { t.Prefills++ })
	handle := engine.storePrefix(w.prompt)
	x.server.options.Observations.recordHandle(handle, x.arrival)
	document, _ := json.Marshal(map[string]any{"claim_ticket": handle, "tokens": w.prompt, "edition": 1})
	x.answerJSON(200, document)
}

// decode streams the answer, from a prefix cache that it fetches or after its own prefill.
func (x *exchange) decode(kvFrom string) {
	if !x.admit() {
		return
	}
	defer x.server.slots.release()
	defer x.trackWork()()
	engine, w := x.server.engine, workOf(x.request.Header)
	if x.misbehaviour == ShedsLoad {
		x.reject(503, "shed")
		return
	}
	if kvFrom != "" && !x.fetchPrefix(kvFrom) {
		x.reject(503, "the memory can't be had")
		return
	}
	run := x.server.options.Observations.startRun(x.arrival, w.resumeAfter+1, true)
	x.server.tally.count(func(t *ServerTally) { t.Runs++ })
	wait := engine.TransferTime
	if kvFrom == "" {
		wait = engine.prefillTime(w.prompt, decodePrefillPace)
	}
	if !x.wait(x.slowed(wait)) {
		x.abort()
		return
	}
	if x.misbehaviour != Hangs && x.injectFault(run.stamp) {
		return
	}
	if !x.stream(run, w) {
		x.abort()
		return
	}
	if x.misbehaviour == DuplicatesResponses {
		x.sendDuplicate(run.stamp)
	}
}

// stream sends the events, and reports whether all were sent.
func (x *exchange) stream(run *run, w work) bool {
	x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	header := x.header(field(stampHeader, run.stamp), field("Content-Type", "text/event-stream"))
	response := &http1.Response{Status: 200, Header: header, Streaming: true, Length: -1, Close: x.closesConn}
	out, err := response.Begin(x.conn.Out, false)
	if err != nil {
		return false
	}
	for last := w.resumeAfter; last < w.output; {
		if !x.wait(x.server.engine.EventInterval) || x.pastDeadline() {
			return false
		}
		first := last + 1
		last = min(last+x.server.engine.TokensPerEvent, w.output)
		x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		event := eventOf(run, first, last, w.output)
		if x.misbehaviour == TruncatesResponses && last > w.resumeAfter+x.server.engine.TokensPerEvent {
			event = event[:len(event)/2]
		}
		if _, err := out.Write(event); err != nil || x.conn.Flush() != nil {
			return false
		}
		switch {
		case x.misbehaviour == TruncatesResponses && last > w.resumeAfter+x.server.engine.TokensPerEvent:
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
