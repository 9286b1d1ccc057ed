package simwire

import (
	"fmt"

	"github.com/go-faster/jx"

	"cresshub/balance"
)

// Kind is the kind of an event.
type Kind uint8

// The events that reach the handler. A Directory event does not: the Decoder stores the server list in it.
const (
	Boot Kind = iota + 1
	Registry
	NewRequest
	Ended
	Echo
	Elapsed
	Established
	TimedOutClient
	Datagram
	Detach
	directoryPage
)

// kinds maps the names of events to their kinds. Other events are skipped.
var kinds = map[string]Kind{
	"Boot": Boot, "Registry": Registry, "NewRequest": NewRequest, "Ended": Ended, "Echo": Echo,
	"Elapsed": Elapsed, "Established": Established, "TimedOutClient": TimedOutClient,
	"Datagram": Datagram, "Detach": Detach, "Directory": directoryPage,
}

// Event is one event for one instance; it is valid only while it is being handled. Each field other than Kind
// and Sidecar is set only in events of the kinds that its comment names.
type Event struct {
	Kind     Kind
	Sidecar  int                 // number of the instance
	Settings balance.Settings    // Boot
	List     balance.ListKind    // Registry
	Servers  []balance.Server    // Registry, unless its list failed
	Request  balance.Request     // NewRequest
	Outcome  balance.Outcome     // Ended, Established, TimedOutClient
	Probe    balance.ProbeResult // Echo
	Token    uint64              // Elapsed
	From     int                 // Datagram
	Body     []byte              // Datagram
}

// decodeEvent reads the fields of one event into d.event. It stores the server list of a Directory event.
func (d *Decoder) decodeEvent(j *jx.Decoder, kind Kind) error {
	d.event = Event{Kind: kind}
	d.fields = eventFields{}
	err := j.ObjBytes(func(j *jx.Decoder, key []byte) error {
		known, err := d.decodeField(j, key)
		if !known && err == nil {
			return j.Skip()
		}
		if err != nil {
			return withField(err, string(key))
		}
		d.fields.present |= fieldBits[string(key)]
		return nil
	})
	if err != nil {
		return err
	}
	if missing := requiredFields[kind] &^ d.fields.present; missing != 0 {
		return fmt.Errorf("field %q is missing", missing.firstName())
	}
	return d.completeEvent()
}

// completeEvent sets the parts of d.event that are made from fields which several kinds of events share. It
// stores the server list of a Directory event.
func (d *Decoder) completeEvent() (err error) {
	event, fields := &d.event, &d.fields
	switch event.Kind {
	case NewRequest:
		event.Request.ID = fields.requestID
	case Ended, Established, TimedOutClient:
		event.Outcome = balance.Outcome{
			ID: fields.requestID, Server: fields.server, Attempt: fields.attempt, Result: fields.result,
			Final: fields.final, Latency: fields.latency, Report: fields.report,
		}
	case Echo:
		event.Probe = balance.ProbeResult{
			Server: fields.server, Result: fields.result, Latency: fields.latency, Report: fields.report,
		}
	case directoryPage:
		return d.pages.store(fields.page, fields.servers)
	case Registry:
		if event.List != balance.ListFailed {
			event.Servers, err = d.pages.load(fields)
		}
	}
	return err
}
