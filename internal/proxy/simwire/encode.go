package simwire

import (
	"github.com/go-faster/jx"

	"cresshub/balance"
)

// Encoder writes one reply at a time into its buffer.
type Encoder struct {
	writer    jx.Writer
	hasAction bool
}

// Start begins a new reply.
func (e *Encoder) Start() {
	e.writer.Reset()
	e.hasAction = false
	e.writer.RawStr(`{"actions":[`)
}

// Finish closes the reply to batch n and returns its line, valid until the next Start.
func (e *Encoder) Finish(n int64) []byte {
	e.writer.RawStr(`],"n":`)
	e.writer.Int64(n)
	e.writer.RawStr("}\n")
	return e.writer.Buf
}

// Action adds one action of one instance.
func (e *Encoder) Action(sidecar int, a *balance.Action) {
	if e.hasAction {
		e.writer.RawStr(",")
	}
	e.hasAction = true
	switch a.Kind {
	case balance.Send:
		e.openAction(`{"Place":{"sidecar":`, sidecar)
		e.writeID(a.ID)
		e.writeUint(`,"server":`, uint64(a.Server))
		if a.Wait > 0 {
			e.writeWait(`,"max-wait-ms":`, a)
		}
	case balance.Cancel:
		e.openAction(`{"Withdraw":{"sidecar":`, sidecar)
		e.writeID(a.ID)
		e.writeUint(`,"attempt":`, uint64(a.Attempt))
	case balance.Reject:
		e.openAction(`{"Busy":{"sidecar":`, sidecar)
		e.writeID(a.ID)
		if a.Wait > 0 {
			e.writeWait(`,"backoff-ms":`, a)
		}
	case balance.Fail:
		e.openAction(`{"Fail":{"sidecar":`, sidecar)
		e.writeID(a.ID)
	case balance.Probe:
		e.openAction(`{"Probe":{"sidecar":`, sidecar)
		e.writeUint(`,"server":`, uint64(a.Server))
	case balance.SetTimer:
		e.openAction(`{"SetTimer":{"sidecar":`, sidecar)
		e.writeWait(`,"delay-ms":`, a)
		e.writeUint(`,"name":`, a.Token)
	case balance.FollowList:
		e.openAction(`{"Follow":{"sidecar":`, sidecar)
		e.writer.RawStr(`,"enable":true`)
	}
	e.writer.RawStr("}}")
}

// openAction writes the beginning of an action, up to and including the number of its instance.
func (e *Encoder) openAction(prefix string, sidecar int) {
	e.writer.RawStr(prefix)
	e.writer.Int(sidecar)
}

// writeID writes the id of a request.
func (e *Encoder) writeID(id string) {
	e.writer.RawStr(`,"tid":`)
	e.writer.Str(id)
}

// writeUint writes a number after prefix, which has the comma and the field's name.
func (e *Encoder) writeUint(prefix string, v uint64) {
	e.writer.RawStr(prefix)
	e.writer.UInt64(v)
}

// writeWait writes an action's time in milliseconds after prefix, as writeUint does.
func (e *Encoder) writeWait(prefix string, a *balance.Action) {
	e.writer.RawStr(prefix)
	e.writer.Float64(float64(a.Wait) / 1e6)
}
