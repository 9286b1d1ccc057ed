package routerstandin

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cresshub/internal/http1"
)

// writerReadPace is the pace at which a writing server reads a prompt itself, against that of a reading
// server.
const writerReadPace = 0.5

// work is what a request to a model server asks for.
type work struct {
	prompt   int // tokens
	output   int // tokens
	resumeAt int // tokens that the client has already
}

func workOf(header http1.Header) work {
	prompt, output, _ := strings.Cut(header.Get(tokensHeader), ",")
	w := work{}
	w.prompt, _ = strconv.Atoi(prompt)
	w.output, _ = strconv.Atoi(output)
	w.resumeAt, _ = strconv.Atoi(header.Get(lastEventHeader))
	return w
}

// runModel answers a request by the server's stage.
func (x *exchange) runModel() {
	stage, changing := x.server.engine.stageNow()
	toRead := x.request.Header.Get(stageHeader) == Reading
	handle := x.request.Header.Get(kvFromHeader)
	switch {
	case changing:
		x.reject(503, "the stage changes")
	case toRead != (stage == Reading):
		x.reject(421, "the stage is "+stage)
	case toRead:
		x.readPrompt()
	default:
		x.write(handle)
	}
}

// enter takes a slot unless the stage changes meanwhile, and tells whether the work may begin.
func (x *exchange) enter() bool {
	problem := x.takePlace()
	if problem == "" {
		_, changing := x.server.engine.stageNow()
		switch {
		case changing:
			problem = "the stage changes"
		case x.pastDeadline():
			problem = deadlineReason
		default:
			return true
		}
		x.server.places.release()
	}
	x.reject(503, problem)
	return false
}

// readPrompt reads the prompt and holds its memory for another server.
func (x *exchange) readPrompt() {
	if !x.enter() {
		return
	}
	defer x.server.places.release()
	defer x.begin()()
	x.server.options.Observations.startReading(x.arrival)
	engine, w := x.server.engine, workOf(x.request.Header)
	if !x.pause(x.slowed(engine.readTime(w.prompt, 1))) {
		x.abandon()
		return
	}
	if x.spoils("") {
		return
	}
	x.server.tally.count(func(t *ServerTally) { t.Reads++ })
	handle := engine.hold(w.prompt)
	x.server.options.Observations.newHandle(handle, x.arrival)
	document, _ := json.Marshal(map[string]any{"claim_ticket": handle, "tokens": w.prompt, "edition": 1})
	x.answerJSON(200, document)
}

// write streams the answer, from memory that it fetches or after reading the prompt itself.
func (x *exchange) write(from string) {
	if !x.enter() {
		return
	}
	defer x.server.places.release()
	defer x.begin()()
	engine, w := x.server.engine, workOf(x.request.Header)
	if x.treatment == Sheds {
		x.reject(503, "shed")
		return
	}
	if from != "" && !x.fetch(from) {
		x.reject(503, "the memory can't be had")
		return
	}
	run := x.server.options.Observations.startRun(x.arrival, w.resumeAt+1, true)
	x.server.tally.count(func(t *ServerTally) { t.Runs++ })
	wait := engine.MoveTime
	if from == "" {
		wait = engine.readTime(w.prompt, writerReadPace)
	}
	if !x.pause(x.slowed(wait)) {
		x.abandon()
		return
	}
	if x.treatment != Hangs && x.spoils(run.stamp) {
		return
	}
	if !x.stream(run, w) {
		x.abandon()
		return
	}
	if x.treatment == AnswersTwice {
		x.sendAgain(run.stamp)
	}
}

// stream sends the events, and tells whether all were sent.
func (x *exchange) stream(run *run, w work) bool {
	x.conn.SetWriteDeadline(time.Now().Add(writeTime))
	header := x.header(field(stampHeader, run.stamp), field("Content-Type", "text/event-stream"))
	response := &http1.Response{Status: 200, Header: header, Streaming: true, Length: -1, Close: x.closes}
	out, err := response.Begin(x.conn.Out, false)
	if err != nil {
		return false
	}
	for last := w.resumeAt; last < w.output; {
		if !x.pause(x.server.engine.Step) || x.pastDeadline() {
			return false
		}
		first := last + 1
		last = min(last+x.server.engine.Stride, w.output)
		x.conn.SetWriteDeadline(time.Now().Add(writeTime))
		event := eventOf(run, first, last, w.output)
		if x.treatment == CutsAnswers && last > w.resumeAt+x.server.engine.Stride {
			event = event[:len(event)/2]
		}
		if _, err := out.Write(event); err != nil || x.conn.Flush() != nil {
			return false
		}
		switch {
		case x.treatment == CutsAnswers && last > w.resumeAt+x.server.engine.Stride:
			return false
		case x.treatment == Hangs:
			x.pause(hangTime)
			return false
		}
	}
	return out.Close() == nil && x.conn.Flush() == nil
}

// eventOf lays out the event that holds the tokens first to last of a run.
func eventOf(run *run, first, last, output int) []byte {
	end := ""
	if last == output {
		end = " end"
	}
	return fmt.Appendf(nil, "id: %d\ndata: %s %d-%d%s\n\n", last, run.stamp, first, last, end)
}
