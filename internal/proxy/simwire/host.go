package simwire

import (
	"errors"
	"fmt"
	"time"

	"cresshub/balance"
)

// Host runs the balancers of the simulated instances.
type Host struct {
	decoder   Decoder
	encoder   Encoder
	instances map[int]*balance.Balancer // by number
	actions   []balance.Action
}

// NewHost returns a Host without instances.
func NewHost() *Host { return &Host{instances: map[int]*balance.Balancer{}} }

// Reply passes the events of one line to their instances and returns the reply line, which is valid until the
// next call. After an error the Host must not be used again: some events of the line have taken effect.
func (h *Host) Reply(line []byte) ([]byte, error) {
	h.encoder.Start()
	n, err := h.decoder.Batch(line, h.handle)
	if err != nil {
		return nil, err
	}
	return h.encoder.Finish(n), nil
}

// handle passes one event to its instance and encodes the actions.
func (h *Host) handle(now time.Duration, ev *Event) error {
	b := h.instances[ev.Sidecar]
	if b == nil && ev.Kind != Boot {
		if ev.Kind == Detach {
			return nil
		}
		return fmt.Errorf(`field "sidecar": instance %d was never booted`, ev.Sidecar)
	}
	actions := h.actions[:0]
	switch ev.Kind {
	case Boot:
		booted, err := balance.New(ev.Settings, now)
		if err != nil {
			return fmt.Errorf(`field "facts": %w`, err)
		}
		h.instances[ev.Sidecar] = booted
		return nil
	case Detach:
		delete(h.instances, ev.Sidecar)
		return nil
	case Registry:
		actions = b.List(now, ev.List, ev.Servers, actions)
	case NewRequest:
		actions = b.Request(now, ev.Request, actions)
	case Ended:
		actions = b.Outcome(now, ev.Outcome, actions)
	case Echo:
		actions = b.Probed(now, ev.Probe, actions)
	case Elapsed:
		actions = b.Timer(now, ev.Token, actions)
	case Established:
		actions = b.StreamStarted(now, ev.Outcome.ID, ev.Outcome.Attempt, actions)
	case TimedOutClient:
		actions = b.ClientDisconnected(now, ev.Outcome.ID, actions)
	case Datagram: // client proxies share nothing
	default:
		return errors.New("no handler for this kind of event")
	}
	for i := range actions {
		h.encoder.Action(ev.Sidecar, &actions[i])
	}
	h.actions = actions
	return nil
}
