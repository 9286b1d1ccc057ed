// Package simwire translates between the simulator's JSON lines and the balancer: a line with a batch of
// events comes in, each event goes to the balancer of its instance, and the actions go out as one line of
// reply. It is the only package with the names of that protocol, which are those of the operators' page. The
// platform's configuration file has the same settings object (ReadSettings). It makes no decisions.
//
// A Host holds the balancers by number. It, its Decoder and its Encoder reuse their buffers and are used from
// one goroutine at a time.
package simwire

import (
	"cmp"
	"errors"
	"fmt"
	"math/bits"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/jx"

	"cresshub/balance"
)

// Kind is the kind of an event.
type Kind uint8

// The events that reach the handler. The Decoder itself stores pages, the numbered server lists.
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
	page
)

// kinds are the kinds of events by their names. Other events are skipped.
var kinds = map[string]Kind{
	"Boot": Boot, "Registry": Registry, "NewRequest": NewRequest, "Ended": Ended, "Echo": Echo,
	"Elapsed": Elapsed, "Established": Established, "TimedOutClient": TimedOutClient,
	"Datagram": Datagram, "Detach": Detach, "Directory": page,
}

// required are the fields that an event of each kind must have. It may have others.
var required = [...]fieldSet{
	Boot:           fSidecar | fSalt | fFacts,
	Registry:       fSidecar | fScope,
	NewRequest:     fSidecar | fTid | fDeadline | fLane,
	Ended:          fSidecar | fTid | fServer | fHow | fAttempt,
	Echo:           fSidecar | fServer | fHow,
	Elapsed:        fSidecar | fName,
	Established:    fSidecar | fTid | fAttempt | fServer,
	TimedOutClient: fSidecar | fTid,
	Datagram:       fSidecar | fNeighbour | fBody,
	Detach:         fSidecar,
	page:           fPage | fEntries,
}

// fieldSet is a set of fields that some kind of event requires, a bit each.
type fieldSet uint32

const (
	fSidecar fieldSet = 1 << iota
	fSalt
	fFacts
	fScope
	fTid
	fDeadline
	fLane
	fServer
	fHow
	fAttempt
	fName
	fNeighbour
	fBody
	fPage
	fEntries
)

// fieldNames are the bits of those fields by their names.
var fieldNames = map[string]fieldSet{
	"sidecar": fSidecar, "salt": fSalt, "facts": fFacts, "scope": fScope, "tid": fTid,
	"client-deadline-ms": fDeadline, "lane": fLane, "server": fServer, "how": fHow, "attempt": fAttempt,
	"name": fName, "neighbour": fNeighbour, "body": fBody, "page": fPage, "entries": fEntries,
}

// results are the results of attempts and probes by their names.
var results = map[string]balance.Result{
	"done": balance.Done, "err": balance.Error, "busy": balance.Rejected, "etimedout": balance.TimedOut,
	"econnrefused": balance.ConnRefused, "econnreset": balance.Reset, "ecanceled": balance.Cancelled,
	"skipped": balance.Skipped,
}

// scopes are the kinds of server lists by their names.
var scopes = map[string]balance.ListKind{
	"cached": balance.ListCached, "full": balance.ListFull, "delta": balance.ListDelta,
	"failed": balance.ListFailed,
}

// Event is one event for one instance; it is valid only while it is being handled.
type Event struct {
	Kind     Kind
	Sidecar  int
	Settings balance.Settings
	List     balance.ListKind
	Servers  []balance.Server
	Request  balance.Request
	Outcome  balance.Outcome
	Probe    balance.ProbeResult
	Token    uint64
	From     int
	Body     []byte

	// Fields that several kinds of events have; event puts them into the fields above once all are read.
	present fieldSet // the fields of fieldNames that came
	page    int      // number of a server list
	entries []balance.Server
	tid     string
	server  balance.ServerID
	result  balance.Result
	rtt     time.Duration
	report  []float64
}

// Decoder reads batches. It keeps the numbered server lists, which belong to no instance.
type Decoder struct {
	json    jx.Decoder
	pages   [16][]balance.Server
	hasPage [16]bool
	ev      Event
	row     []float64
}

// The fields of a batch, a bit each.
const (
	hasTime = 1 << iota
	hasNumber
	hasEvents
)

// batchFields are the names of these fields, in the order of their bits.
var batchFields = [...]string{"sim-time-ms", "n", "happened"}

// Batch reads one line and returns the batch's number. The handler is called for each event, in order, with
// the batch's time since the simulation began. Errors name the batch, the event and the field.
func (d *Decoder) Batch(line []byte, handle func(now time.Duration, ev *Event) error) (n int64, err error) {
	var now time.Duration
	var present uint8
	var postponed jx.Raw
	d.json.ResetBytes(line)
	err = d.json.ObjBytes(func(j *jx.Decoder, key []byte) (err error) {
		switch string(key) {
		case "sim-time-ms":
			present |= hasTime
			now, err = decodeMillis(j)
		case "n":
			present |= hasNumber
			n, err = j.Int64()
		case "happened":
			present |= hasEvents
			if present != hasTime|hasNumber|hasEvents { // the clock or the number follows
				postponed, err = j.Raw()
				return withField(err, "happened")
			}
			return d.events(j, now, handle)
		default:
			return j.Skip()
		}
		return withField(err, string(key))
	})
	if err == nil && d.json.Next() != jx.Invalid {
		err = errors.New("something follows the object")
	}
	if err == nil && present != hasTime|hasNumber|hasEvents {
		err = fmt.Errorf("field %q is missing", batchFields[bits.TrailingZeros8(^present)])
	}
	if err == nil && postponed != nil {
		err = d.events(jx.DecodeBytes(postponed), now, handle)
	}
	if err != nil {
		// The JSON library says "callback: " once for each level of nesting.
		return n, fmt.Errorf("batch %d: %s", n, strings.ReplaceAll(err.Error(), "callback: ", ""))
	}
	return n, nil
}

// events reads the events of a batch and passes them to the handler.
func (d *Decoder) events(j *jx.Decoder, now time.Duration, handle func(time.Duration, *Event) error) error {
	index := -1
	return j.Arr(func(j *jx.Decoder) error {
		index++
		names := 0
		err := j.ObjBytes(func(j *jx.Decoder, key []byte) error {
			names++
			if names > 1 {
				return errors.New("more than one name")
			}
			kind, known := kinds[string(key)]
			if !known {
				return j.Skip()
			}
			if err := d.event(j, kind); err != nil {
				return fmt.Errorf("%s: %w", string(key), err)
			}
			if kind == page {
				return nil
			}
			if err := handle(now, &d.ev); err != nil {
				return fmt.Errorf("%s: %w", string(key), err)
			}
			return nil
		})
		if err != nil {
			return fmt.Errorf("event %d: %w", index, err)
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

// event reads one event into d.ev and checks that it has the fields that its kind needs.
func (d *Decoder) event(j *jx.Decoder, kind Kind) error {
	ev := &d.ev
	*ev = Event{Kind: kind}
	err := j.ObjBytes(func(j *jx.Decoder, key []byte) error {
		known, err := d.field(j, key)
		if !known && err == nil {
			return j.Skip()
		}
		if err != nil {
			return withField(err, string(key))
		}
		ev.present |= fieldNames[string(key)]
		return nil
	})
	if err != nil {
		return err
	}
	if missing := required[kind] &^ ev.present; missing != 0 {
		return fmt.Errorf("field %q is missing", missing.firstName())
	}
	switch kind {
	case NewRequest:
		ev.Request.ID = ev.tid
	case Ended, Established, TimedOutClient:
		o := &ev.Outcome
		o.ID, o.Server, o.Result, o.Latency, o.Report = ev.tid, ev.server, ev.result, ev.rtt, ev.report
	case Echo:
		ev.Probe = balance.ProbeResult{Server: ev.server, Result: ev.result, Latency: ev.rtt, Report: ev.report}
	case page:
		return d.storePage()
	case Registry:
		return d.loadPage()
	}
	return nil
}

// firstName is the name of the alphabetically first field of a set.
func (s fieldSet) firstName() string {
	first := ""
	for name, f := range fieldNames {
		if s&f != 0 && (first == "" || name < first) {
			first = name
		}
	}
	return first
}

// storePage keeps the server list of a Directory event under its number.
func (d *Decoder) storePage() error {
	ev := &d.ev
	if ev.page < 0 || ev.page >= len(d.pages) {
		return errors.New(`field "page": not from 0 to 15`)
	}
	d.pages[ev.page], d.hasPage[ev.page] = ev.entries, true
	return nil
}

// loadPage gives a Registry event the server list that it names by number.
func (d *Decoder) loadPage() error {
	ev := &d.ev
	if ev.List == balance.ListFailed {
		return nil
	}
	if ev.present&fPage == 0 {
		return errors.New(`field "page" is missing`)
	}
	if ev.page < 0 || ev.page >= len(d.pages) || !d.hasPage[ev.page] {
		return fmt.Errorf(`field "page": no Directory has number %d`, ev.page)
	}
	ev.Servers = d.pages[ev.page]
	return nil
}

// field reads one field of an event; known is false, and nothing read, where the name has no meaning in an
// event of this kind.
func (d *Decoder) field(j *jx.Decoder, key []byte) (known bool, err error) {
	ev := &d.ev
	switch string(key) {
	case "sidecar":
		ev.Sidecar, err = decodeCount(j)
	case "tid":
		ev.tid, err = j.Str()
	case "name":
		if ev.Kind != Elapsed {
			return false, nil
		}
		ev.Token, err = j.UInt64()
	case "neighbour":
		ev.From, err = decodeCount(j)
	case "body":
		ev.Body, err = j.StrBytes()
	case "salt":
		ev.Settings.Seed, err = decodeSeed(j)
	case "facts":
		var s Settings
		s, err = decodeSettings(j)
		s.Seed = cmp.Or(ev.Settings.Seed, s.Seed)
		ev.Settings = s.Settings
	case "scope":
		ev.List, err = decodeEnum(j, scopes)
	case "page":
		ev.page, err = j.Int()
	case "entries":
		ev.entries, err = decodeServers(j)
	default:
		if known, err = d.resultField(j, key); known {
			return true, err
		}
		return d.requestField(j, key)
	}
	return true, err
}

// resultField reads a field that tells how an attempt or a probe went.
func (d *Decoder) resultField(j *jx.Decoder, key []byte) (known bool, err error) {
	ev := &d.ev
	switch string(key) {
	case "server":
		var id uint32
		id, err = j.UInt32()
		ev.server = balance.ServerID(id)
	case "how":
		ev.result, err = decodeEnum(j, results)
	case "rtt-ms":
		ev.rtt, err = decodeMillis(j)
	case "attempt":
		ev.Outcome.Attempt, err = decodeCount(j)
	case "over":
		ev.Outcome.Final, err = j.Bool()
	case "metrics":
		d.row, err = decodeNumbers(j, d.row[:0])
		ev.report = d.row
	default:
		return false, nil
	}
	return true, err
}

// flagClientRetry is the bit of a request's "bitmap" that marks a client's own retry.
const flagClientRetry = 2

// requestField reads a field that describes a new request.
func (d *Decoder) requestField(j *jx.Decoder, key []byte) (known bool, err error) {
	ev := &d.ev
	switch string(key) {
	case "object":
		if ev.Kind != NewRequest {
			return false, nil
		}
		var b []byte
		if b, err = j.StrBytes(); err == nil {
			ev.Request.Key, err = strconv.ParseUint(string(b), 16, 64)
			ev.Request.HasKey = true
		}
	case "team":
		ev.Request.Tenant, err = decodeCount(j)
	case "client-deadline-ms":
		ev.Request.Deadline, err = decodeMillis(j)
	case "bitmap":
		var flags int
		flags, err = decodeCount(j)
		ev.Request.ClientRetry = flags&flagClientRetry != 0
	case "lane":
		ev.Request.Class, err = decodeCount(j)
	case "size-hint-ms":
		ev.Request.Work, err = decodeMillis(j)
	default:
		return false, nil
	}
	return true, err
}
