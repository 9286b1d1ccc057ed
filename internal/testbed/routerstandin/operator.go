package routerstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlclient"
	"cresshub/internal/router/fleetconfig"
)

// operatorTimeout is when an operator's call without an answer goes to another proxy.
const operatorTimeout = time.Second

// maxUnclearAnswers is how many unclear 4xx end a call of an operator.
const maxUnclearAnswers = 3

// Operator changes the configuration and reads it back. Calls must not overlap.
type Operator struct {
	observations *Observations
	caller       controlCaller
	changes      atomic.Int64 // sent by Change

	mu      sync.Mutex
	current *Document // the last one acknowledged, nil for none
}

// NewOperator returns an operator that knows the control addresses of a list.
func NewOperator(addresses func() []string, observations *Observations) *Operator {
	return &Operator{observations: observations, caller: controlCaller{addresses: addresses}}
}

// BuildOn has the next change build on a document that another operator put.
func (o *Operator) BuildOn(document *Document) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.current = document.Clone()
}

// DropResponses drops each response of the fleet for which drops returns true.
func (o *Operator) DropResponses(drops func() bool) { o.caller.dropResponse = drops }

// Refresh has the next change build on the configuration that the fleet shows now.
func (o *Operator) Refresh(ctx context.Context) error {
	answer, err := o.callUntilFinal(ctx, operatorTimeout, controlclient.Call{Method: "GET", Target: configPath})
	if err != nil {
		return err
	}
	var document Document
	if err := json.Unmarshal(answer.Body, &document); err != nil {
		return fmt.Errorf("reading the current edition: %w; look at what the fleet answers", err)
	}
	o.BuildOn(&document)
	return nil
}

// RejectedError reports that the fleet rejected a change for good.
type RejectedError struct {
	Version int64
	Status  int
	Reason  string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("version %d was rejected with %d (%s); read the current edition and build on it",
		e.Version, e.Status, e.Reason)
}

// Current returns a copy of the document that was last acknowledged, nil for none.
func (o *Operator) Current() *Document {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.current == nil {
		return nil
	}
	return o.current.Clone()
}

// Put sends a document until it is acknowledged or rejected, or ctx ends. With an error other than
// *RejectedError it is not known whether the change is in force.
func (o *Operator) Put(ctx context.Context, document *Document) error {
	return o.send(ctx, "PUT", document, document)
}

// Patch sends the difference between the last acknowledged document and another one; errors are those of Put.
// The limits, which have no names, can't be changed by it.
func (o *Operator) Patch(ctx context.Context, document *Document) error {
	current := o.Current()
	if current == nil {
		current = &Document{}
	}
	return o.send(ctx, "PATCH", document, patchBetween(current, document))
}

// Change sends a document by Put and Patch in turn.
func (o *Operator) Change(ctx context.Context, document *Document) error {
	if o.changes.Add(1)%2 == 0 {
		return o.Put(ctx, document)
	}
	return o.Patch(ctx, document)
}

// send sends a change that makes a document.
func (o *Operator) send(ctx context.Context, method string, document *Document, change any) error {
	raw, err := encode(document.Version, document)
	if err != nil {
		return err
	}
	body, err := encode(document.Version, change)
	if err != nil {
		return err
	}
	config, err := fleetconfig.Parse(raw)
	if err != nil {
		return fmt.Errorf("version %d is no valid configuration: %w", document.Version, err)
	}
	base := int64(0)
	if current := o.Current(); current != nil {
		base = current.Version
	}
	sent := o.observations.recordConfigSent(config, base, method == "PATCH")
	call := controlclient.Call{Method: method, Target: configPath, Body: body,
		Header: http1.Header{jsonType(), field("If-Match", strconv.FormatInt(base, 10))}}
	answer, err := o.callUntilFinal(ctx, document.callTimeout(), call)
	if err != nil {
		return err
	}
	if answer.Status != 200 {
		o.observations.recordConfigRejected(sent)
		return &RejectedError{document.Version, answer.Status, string(bytes.TrimSpace(answer.Body))}
	}
	o.observations.recordConfigAcked(sent)
	o.mu.Lock()
	o.current = document.Clone()
	o.mu.Unlock()
	return nil
}

// callUntilFinal makes a call at one proxy after the other until one gives a final answer.
func (o *Operator) callUntilFinal(ctx context.Context, timeout time.Duration,
	call controlclient.Call) (*http1.Response, error) {
	for unclear := 0; ; {
		answer := o.caller.call(ctx, timeout, call)
		if answer != nil {
			if unclear++; isFinal(answer.Status) || unclear == maxUnclearAnswers {
				return answer, nil
			}
		}
		if !Sleep(ctx, o.caller.nextBackoff()) {
			return nil, fmt.Errorf("%s %s got no clear answer: %w; look whether processes with a disk run",
				call.Method, call.Target, ctx.Err())
		}
	}
}

// isFinal reports whether an answer ends a call of an operator.
func isFinal(status int) bool {
	switch status {
	case 200, 400, 409, 412, 413, 422:
		return true
	}
	return false
}

// ReadBack reads the configuration and checks that it is the newest one acknowledged. A violation is
// recorded; the error only tells that there was no answer.
func (o *Operator) ReadBack(ctx context.Context) error {
	call := controlclient.Call{Method: "GET", Target: configPath}
	answer, err := o.callUntilFinal(ctx, operatorTimeout, call)
	if err != nil {
		o.observations.RecordViolation(RuleConfig, "the configuration can't be read back: %v", err)
		return err
	}
	newest := o.observations.newestAcked()
	config, err := fleetconfig.Parse(answer.Body)
	switch {
	case newest == nil:
	case answer.Status != 200 || err != nil:
		o.observations.RecordViolation(RuleConfig, "the configuration read back is no configuration: %d, %v",
			answer.Status, err)
	case config.Version < newest.config.Version:
		o.observations.RecordViolation(RuleConfig, "version %d was read back, %d was acknowledged", config.Version,
			newest.config.Version)
	case config.Version == newest.config.Version && !newest.matches(answer.Body):
		o.observations.RecordViolation(RuleConfig, "version %d was read back with another content", config.Version)
	}
	return nil
}

// Sleep waits for d or until ctx ends, and reports whether ctx still goes on.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
