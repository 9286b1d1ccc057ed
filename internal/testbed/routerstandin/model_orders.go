package routerstandin

import (
	"encoding/json"
	"time"
)

// orderBody is the body of an order to a model server.
type orderBody struct {
	Order    string  `json:"order"`
	Stage    string  `json:"stage"`
	Holder   string  `json:"holder"`
	Fence    *uint64 `json:"fence"`
	Expected *int    `json:"expected"`
}

// order answers an order to change the stage.
func (x *exchange) order() {
	var body orderBody
	err := json.Unmarshal(x.request.Body, &body)
	known := body.Order == "stage" && (body.Stage == StagePrefill || body.Stage == StageDecode)
	if err != nil || !known || body.Holder == "" || body.Fence == nil {
		x.answer(400)
		return
	}
	x.server.options.Observations.recordOrder(x.server.id, body.Holder, *body.Fence)
	x.answer(x.server.engine.acceptOrder(&body, x.server.options.Observations.bounds.Fenced))
}

// acceptOrder begins to carry an order out, and returns the status of the answer.
func (e *engineState) acceptOrder(body *orderBody, fenced bool) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case fenced && *body.Fence < e.fence:
		return 412
	case e.changing || body.Expected != nil && *body.Expected != e.ordersTaken:
		return 409
	}
	e.fence = max(e.fence, *body.Fence)
	if e.stage == body.Stage {
		return 200
	}
	e.ordersTaken++
	e.changing = true
	go e.switchStage(body.Stage)
	return 202
}

// switchStage waits until nothing runs, and then for the time that the switch itself takes.
func (e *engineState) switchStage(stage string) {
	select {
	case <-e.server.slots.awaitIdle():
	case <-e.server.ended:
		return
	}
	timer := time.NewTimer(e.SwitchTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.server.ended:
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stage, e.changing = stage, false
}

// modelReport is the answer to GET /api/report.
type modelReport struct {
	Stage       string        `json:"stage"`
	Models      []servedModel `json:"models"`
	Busy        bool          `json:"busy"`
	OrdersTaken int           `json:"postmark"`
	Waiting     int           `json:"waiting"`
	Running     int           `json:"running"`
	CacheUsed   int           `json:"kv_used"`  // tokens
	CacheTotal  int           `json:"kv_total"` // tokens
	Handles     int           `json:"claim_tickets"`
}

// servedModel is a model that a server serves.
type servedModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"edition"`
	Adapters []string `json:"adapters"`
}

var servedModels = []servedModel{{Name: ModelName, Version: 1, Adapters: []string{}}}

func (x *exchange) report() {
	e := x.server.engine
	handles, tokens := e.cached()
	running, waiting := x.server.slots.load()
	e.mu.Lock()
	report := modelReport{Stage: e.stage, Models: servedModels, Busy: e.changing, OrdersTaken: e.ordersTaken,
		Waiting: waiting, Running: running, CacheUsed: tokens, CacheTotal: e.CacheTokens, Handles: handles}
	e.mu.Unlock()
	document, _ := json.Marshal(report)
	x.answerJSON(200, document)
}
