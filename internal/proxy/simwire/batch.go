package simwire

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/jx"
)

// Decoder reads batches. It keeps the numbered server lists, which all instances share.
type Decoder struct {
	json   jx.Decoder
	pages  pages
	event  Event       // the event that is being read; reused
	fields eventFields // of the same event
	report []float64   // buffer of a load report
}

// Handler takes one event of a batch, with the batch's time since the simulation began. The event is valid
// only during the call.
type Handler func(now time.Duration, event *Event) error

// batchField is one of the fields of a batch, or a set of them, a bit each.
type batchField uint8

const (
	batchTime batchField = 1 << iota
	batchNumber
	batchEvents

	batchComplete = batchTime | batchNumber | batchEvents
)

// batchFieldNames lists the names of these fields in the order in which missing ones are reported.
var batchFieldNames = []struct {
	field batchField
	name  string
}{{batchTime, "sim-time-ms"}, {batchNumber, "n"}, {batchEvents, "happened"}}

// partialBatch is one batch while it is being read.
type partialBatch struct {
	present batchField // the fields that have been read
	now     time.Duration
	number  int64
	// postponed is the undecoded list of events, if it precedes the time or the number.
	postponed jx.Raw
}

// Batch reads one line and returns the batch's number. The handler is called for each event, in order. Errors
// name the batch, the event and the field.
func (d *Decoder) Batch(line []byte, handle Handler) (number int64, err error) {
	var b partialBatch
	d.json.ResetBytes(line)
	err = d.json.ObjBytes(func(j *jx.Decoder, key []byte) error {
		return d.decodeBatchField(&b, j, key, handle)
	})
	if err == nil && d.json.Next() != jx.Invalid {
		err = errors.New("data follows the JSON object")
	}
	if err == nil {
		err = b.checkComplete()
	}
	if err == nil && b.postponed != nil {
		err = d.decodeEvents(jx.DecodeBytes(b.postponed), b.now, handle)
	}
	if err != nil {
		return b.number, fmt.Errorf("batch %d: %s", b.number, withoutCallbacks(err))
	}
	return b.number, nil
}

// decodeBatchField reads one field of a batch. The events are handled at once if the time and the number
// precede them; otherwise they are kept until the whole line has been read.
func (d *Decoder) decodeBatchField(b *partialBatch, j *jx.Decoder, key []byte, handle Handler) (err error) {
	switch string(key) {
	case "sim-time-ms":
		b.present |= batchTime
		b.now, err = decodeMillis(j)
	case "n":
		b.present |= batchNumber
		b.number, err = j.Int64()
	case "happened":
		b.present |= batchEvents
		if b.present == batchComplete {
			return d.decodeEvents(j, b.now, handle)
		}
		b.postponed, err = j.Raw()
	default:
		return j.Skip()
	}
	return withField(err, string(key))
}

// checkComplete returns an error that names the first missing field.
func (b *partialBatch) checkComplete() error {
	for _, f := range batchFieldNames {
		if b.present&f.field == 0 {
			return fmt.Errorf("field %q is missing", f.name)
		}
	}
	return nil
}

// decodeEvents reads the list of a batch's events and passes them to the handler.
func (d *Decoder) decodeEvents(j *jx.Decoder, now time.Duration, handle Handler) error {
	index := -1
	return j.Arr(func(j *jx.Decoder) error {
		index++
		if err := d.decodeNamedEvent(j, now, handle); err != nil {
			return fmt.Errorf("event %d: %w", index, err)
		}
		return nil
	})
}

// decodeNamedEvent reads an element of that list: an object with one member, whose name is the kind of the
// event and whose value has its fields. Events of unknown kinds are skipped.
func (d *Decoder) decodeNamedEvent(j *jx.Decoder, now time.Duration, handle Handler) error {
	hasName := false
	return j.ObjBytes(func(j *jx.Decoder, name []byte) error {
		if hasName {
			return errors.New("an event has more than one name")
		}
		hasName = true
		kind, known := kinds[string(name)]
		if !known {
			return j.Skip()
		}
		err := d.decodeEvent(j, kind)
		if err == nil && kind != directoryPage {
			err = handle(now, &d.event)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", string(name), err)
		}
		return nil
	})
}

// withField adds the name of a field to an error, if there is one.
func withField(err error, field string) error {
	if err != nil {
		return fmt.Errorf("field %q: %w", field, err)
	}
	return nil
}

// withoutCallbacks returns the text of an error without the "callback: " that the JSON library adds at each
// level of nesting.
func withoutCallbacks(err error) string { return strings.ReplaceAll(err.Error(), "callback: ", "") }
