// Package simwire reads and writes the simulator's JSON lines. It is the only place that knows their
// words; it takes no decisions.
package simwire

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/jx"

	"cresshub/balance"
)

// Kind names an event.
type Kind uint8

// The events that reach the handler; pages are kept by the Decoder itself.
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

var kinds = map[string]Kind{
	"Boot": Boot, "Registry": Registry, "NewRequest": NewRequest, "Ended": Ended, "Echo": Echo,
	"Elapsed": Elapsed, "Established": Established, "TimedOutClient": TimedOutClient,
	"Datagram": Datagram, "Detach": Detach, "Directory": page,
}

// required lists the fields an event cannot do without; what may be absent is not in it.
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

var fieldNames = map[string]fieldSet{
	"sidecar": fSidecar, "salt": fSalt, "facts": fFacts, "scope": fScope, "tid": fTid,
	"client-deadline-ms": fDeadline, "lane": fLane, "server": fServer, "how": fHow, "attempt": fAttempt,
	"name": fName, "neighbour": fNeighbour, "body": fBody, "page": fPage, "entries": fEntries,
}

var results = map[string]balance.Result{
	"done": balance.Done, "err": balance.Error, "busy": balance.Rejected, "etimedout": balance.TimedOut,
	"econnrefused": balance.ConnRefused, "econnreset": balance.Reset, "ecanceled": balance.Cancelled,
	"skipped": balance.Skipped,
}

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

	page    int
	present fieldSet
	server  balance.ServerID
	result  balance.Result
	rtt     time.Duration
	tid     string
}

// Decoder reads batches. It keeps the numbered server lists, which belong to no instance.
type Decoder struct {
	json    jx.Decoder
	pages   [16][]balance.Server
	hasPage [16]bool
	ev      Event
	row     []float64
}

// Batch reads one line. The handler is called for each event, in order, with the batch's clock.
// Errors name the batch, the event and the field.
func (d *Decoder) Batch(line []byte, handle func(now time.Duration, ev *Event) error) (n int64, err error) {
	var now time.Duration
	var seen uint8
	var postponed jx.Raw
	d.json.ResetBytes(line)
	err = d.json.ObjBytes(func(j *jx.Decoder, key []byte) (err error) {
		switch string(key) {
		case "sim-time-ms":
			seen |= 1
			now, err = decodeMillis(j)
		case "n":
			seen |= 2
			n, err = j.Int64()
		case "happened":
			seen |= 4
			if seen&3 != 3 { // the clock is still to come
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
	if err == nil && seen != 7 {
		err = fmt.Errorf("field %q is missing", [...]string{"sim-time-ms", "n", "happened"}[lowestUnset(seen)])
	}
	if err == nil && postponed != nil {
		err = d.events(jx.DecodeBytes(postponed), now, handle)
	}
	if err != nil {
		// The JSON library tells how deep it was, a word a level, which helps nobody.
		return n, fmt.Errorf("batch %d: %s", n, strings.ReplaceAll(err.Error(), "callback: ", ""))
	}
	return n, nil
}

func lowestUnset(seen uint8) int {
	for i := range 3 {
		if seen&(1<<i) == 0 {
			return i
		}
	}
	return 0
}

func (d *Decoder) events(j *jx.Decoder, now time.Duration, handle func(time.Duration, *Event) error) error {
	index := -1
	return j.Arr(func(j *jx.Decoder) error {
		index++
		names := 0
		err := j.ObjBytes(func(j *jx.Decoder, key []byte) error {
			if names++; names > 1 {
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

func withField(err error, field string) error {
	if err != nil {
		return fmt.Errorf("field %q: %w", field, err)
	}
	return nil
}

func (d *Decoder) event(j *jx.Decoder, kind Kind) error {
	ev := &d.ev
	*ev = Event{Kind: kind}
	var entries []balance.Server
	var row []float64
	err := j.ObjBytes(func(j *jx.Decoder, key []byte) error {
		known, err := d.field(j, key, kind, &entries, &row)
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
		first := ""
		for name, f := range fieldNames {
			if missing&f != 0 && (first == "" || name < first) {
				first = name
			}
		}
		return fmt.Errorf("field %q is missing", first)
	}
	switch kind {
	case NewRequest:
		ev.Request.ID = ev.tid
	case Ended, Established, TimedOutClient:
		o := &ev.Outcome
		o.ID, o.Server, o.Result, o.Latency, o.Report = ev.tid, ev.server, ev.result, ev.rtt, row
	case Echo:
		ev.Probe = balance.ProbeResult{Server: ev.server, Result: ev.result, Latency: ev.rtt, Report: row}
	case page:
		if ev.page < 0 || ev.page >= len(d.pages) {
			return errors.New(`field "page": not from 0 to 15`)
		}
		d.pages[ev.page], d.hasPage[ev.page] = entries, true
	case Registry:
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
	}
	return nil
}

// field reads one field of an event; known is false, and nothing read, where the name says nothing.
func (d *Decoder) field(j *jx.Decoder, key []byte, kind Kind, entries *[]balance.Server,
	row *[]float64) (known bool, err error) {
	ev := &d.ev
	switch string(key) {
	case "sidecar":
		ev.Sidecar, err = decodeCount(j)
	case "tid":
		ev.tid, err = j.Str()
	case "server":
		var id uint32
		id, err = j.UInt32()
		ev.server = balance.ServerID(id)
	case "how":
		ev.result, err = decodeWord(j, results)
	case "rtt-ms":
		ev.rtt, err = decodeMillis(j)
	case "attempt":
		ev.Outcome.Attempt, err = decodeCount(j)
	case "over":
		ev.Outcome.Final, err = j.Bool()
	case "metrics":
		d.row, err = decodeNumbers(j, d.row[:0])
		*row = d.row
	case "object":
		if kind != NewRequest {
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
		var bits int
		bits, err = decodeCount(j)
		ev.Request.ClientRetry = bits&2 != 0
	case "lane":
		ev.Request.Class, err = decodeCount(j)
	case "size-hint-ms":
		ev.Request.Work, err = decodeMillis(j)
	case "name":
		if kind != Elapsed {
			return false, nil
		}
		ev.Token, err = j.UInt64()
	case "neighbour":
		ev.From, err = decodeCount(j)
	case "body":
		ev.Body, err = j.StrBytes()
	case "scope":
		ev.List, err = decodeWord(j, scopes)
	case "page":
		ev.page, err = j.Int()
	case "entries":
		*entries, err = decodeServers(j)
	case "salt":
		ev.Settings.Seed, err = decodeSeed(j)
	case "facts":
		var s Settings
		s, err = decodeSettings(j)
		s.Seed = cmp.Or(ev.Settings.Seed, s.Seed)
		ev.Settings = s.Settings
	default:
		return false, nil
	}
	return true, err
}
