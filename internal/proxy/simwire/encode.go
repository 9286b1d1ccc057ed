package simwire

import (
	"github.com/go-faster/jx"

	"cresshub/balance"
)

// Encoder writes replies. Nothing leaves it before the whole reply stands.
type Encoder struct {
	w    jx.Writer
	some bool
}

// Start begins a new reply.
func (e *Encoder) Start() {
	e.w.Reset()
	e.some = false
	e.w.RawStr(`{"actions":[`)
}

// Finish closes the reply to batch n and returns its line, valid until the next Start.
func (e *Encoder) Finish(n int64) []byte {
	e.w.RawStr(`],"n":`)
	e.w.Int64(n)
	e.w.RawStr("}\n")
	return e.w.Buf
}

// Action adds one action of one instance.
func (e *Encoder) Action(sidecar int, a *balance.Action) {
	if e.some {
		e.w.RawStr(",")
	}
	e.some = true
	switch a.Kind {
	case balance.Send:
		e.open(`{"Place":{"sidecar":`, sidecar)
		e.text(`,"tid":`, a.ID)
		e.whole(`,"server":`, uint64(a.Server))
		if a.Wait > 0 {
			e.millis(`,"max-wait-ms":`, a)
		}
	case balance.Cancel:
		e.open(`{"Withdraw":{"sidecar":`, sidecar)
		e.text(`,"tid":`, a.ID)
		e.whole(`,"attempt":`, uint64(a.Attempt))
	case balance.Reject:
		e.open(`{"Busy":{"sidecar":`, sidecar)
		e.text(`,"tid":`, a.ID)
		if a.Wait > 0 {
			e.millis(`,"backoff-ms":`, a)
		}
	case balance.Fail:
		e.open(`{"Fail":{"sidecar":`, sidecar)
		e.text(`,"tid":`, a.ID)
	case balance.Probe:
		e.open(`{"Probe":{"sidecar":`, sidecar)
		e.whole(`,"server":`, uint64(a.Server))
	case balance.SetTimer:
		e.open(`{"SetTimer":{"sidecar":`, sidecar)
		e.millis(`,"delay-ms":`, a)
		e.whole(`,"name":`, a.Token)
	case balance.FollowList:
		e.open(`{"Follow":{"sidecar":`, sidecar)
		e.w.RawStr(`,"enable":true`)
	}
	e.w.RawStr("}}")
}

func (e *Encoder) open(head string, sidecar int) {
	e.w.RawStr(head)
	e.w.Int(sidecar)
}

func (e *Encoder) text(name, v string) {
	e.w.RawStr(name)
	e.w.Str(v)
}

func (e *Encoder) whole(name string, v uint64) {
	e.w.RawStr(name)
	e.w.UInt64(v)
}

func (e *Encoder) millis(name string, a *balance.Action) {
	e.w.RawStr(name)
	e.w.Float64(float64(a.Wait) / 1e6)
}
