package simwire

import (
	"errors"
	"fmt"
	"time"

	"cresshub/balance"
)

// Host holds the instances by number.
type Host struct {
	dec  Decoder
	enc  Encoder
	all  map[int]*balance.Balancer
	acts []balance.Action
}

// NewHost returns a Host without instances.
func NewHost() *Host { return &Host{all: map[int]*balance.Balancer{}} }

// Reply hands the events of one line to their instances and returns the reply line, which is valid
// until the next call. After an error the Host must not be used again.
func (h *Host) Reply(line []byte) ([]byte, error) {
	h.enc.Start()
	n, err := h.dec.Batch(line, h.handle)
	if err != nil {
		return nil, err
	}
	return h.enc.Finish(n), nil
}

func (h *Host) handle(now time.Duration, ev *Event) error {
	b := h.all[ev.Sidecar]
	if b == nil && ev.Kind != Boot {
		if ev.Kind == Detach {
			return nil
		}
		return fmt.Errorf(`field "sidecar": instance %d was never booted`, ev.Sidecar)
	}
	acts := h.acts[:0]
	switch ev.Kind {
	case Boot:
		nb, err := balance.New(ev.Settings, now)
		if err != nil {
			return fmt.Errorf(`field "facts": %w`, err)
		}
		h.all[ev.Sidecar] = nb
		return nil
	case Detach:
		delete(h.all, ev.Sidecar)
		return nil
	case Registry:
		acts = b.List(now, ev.List, ev.Servers, acts)
	case NewRequest:
		acts = b.Request(now, ev.Request, acts)
	case Ended:
		acts = b.Outcome(now, ev.Outcome, acts)
	case Echo:
		acts = b.Probed(now, ev.Probe, acts)
	case Elapsed:
		acts = b.Timer(now, ev.Token, acts)
	case Established:
		acts = b.StreamStarted(now, ev.Outcome.ID, ev.Outcome.Attempt, acts)
	case TimedOutClient:
		acts = b.ClientGone(now, ev.Outcome.ID, acts)
	case Datagram: // client proxies share nothing
	default:
		return errors.New("no handler")
	}
	for i := range acts {
		h.enc.Action(ev.Sidecar, &acts[i])
	}
	h.acts = acts
	return nil
}
