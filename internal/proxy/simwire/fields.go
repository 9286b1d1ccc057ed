package simwire

import (
	"strconv"
	"time"

	"github.com/go-faster/jx"

	"cresshub/balance"
)

// eventFields are the fields that events of several kinds share, and the set of fields that are present.
// completeEvent copies them to the event, by its kind.
type eventFields struct {
	present   fieldSet
	page      int // number of a server list
	servers   []balance.Server
	requestID string
	server    balance.ServerID
	attempt   int
	result    balance.Result
	final     bool
	latency   time.Duration
	report    []float64
}

// fieldSet is a set of fields that some kind of event requires, a bit each.
type fieldSet uint32

const (
	fieldSidecar fieldSet = 1 << iota
	fieldSalt
	fieldFacts
	fieldScope
	fieldTid
	fieldDeadline
	fieldLane
	fieldServer
	fieldHow
	fieldAttempt
	fieldName
	fieldNeighbour
	fieldBody
	fieldPage
	fieldEntries
)

// fieldBits maps the names of those fields to their bits.
var fieldBits = map[string]fieldSet{
	"sidecar": fieldSidecar, "salt": fieldSalt, "facts": fieldFacts, "scope": fieldScope, "tid": fieldTid,
	"client-deadline-ms": fieldDeadline, "lane": fieldLane, "server": fieldServer, "how": fieldHow,
	"attempt": fieldAttempt, "name": fieldName, "neighbour": fieldNeighbour, "body": fieldBody,
	"page": fieldPage, "entries": fieldEntries,
}

// requiredFields are the fields that an event of each kind must have. It may have others. A Registry event
// must have a page, too, unless its list failed.
var requiredFields = [...]fieldSet{
	Boot:           fieldSidecar | fieldSalt | fieldFacts,
	Registry:       fieldSidecar | fieldScope,
	NewRequest:     fieldSidecar | fieldTid | fieldDeadline | fieldLane,
	Ended:          fieldSidecar | fieldTid | fieldServer | fieldHow | fieldAttempt,
	Echo:           fieldSidecar | fieldServer | fieldHow,
	Elapsed:        fieldSidecar | fieldName,
	Established:    fieldSidecar | fieldTid | fieldAttempt | fieldServer,
	TimedOutClient: fieldSidecar | fieldTid,
	Datagram:       fieldSidecar | fieldNeighbour | fieldBody,
	Detach:         fieldSidecar,
	directoryPage:  fieldPage | fieldEntries,
}

// firstName returns the name of the alphabetically first field of a set.
func (s fieldSet) firstName() string {
	first := ""
	for name, field := range fieldBits {
		if s&field != 0 && (first == "" || name < first) {
			first = name
		}
	}
	return first
}

// results maps names to the results of attempts and probes.
var results = map[string]balance.Result{
	"done": balance.Done, "err": balance.Error, "busy": balance.Rejected, "etimedout": balance.TimedOut,
	"econnrefused": balance.ConnRefused, "econnreset": balance.Reset, "ecanceled": balance.Cancelled,
	"skipped": balance.Skipped,
}

// scopes maps names to the kinds of server lists.
var scopes = map[string]balance.ListKind{
	"cached": balance.ListCached, "full": balance.ListFull, "delta": balance.ListDelta,
	"failed": balance.ListFailed,
}

// decodeField reads one field of an event. Where the name has no meaning in an event of this kind, known is
// false and nothing is read.
func (d *Decoder) decodeField(j *jx.Decoder, key []byte) (known bool, err error) {
	event, fields := &d.event, &d.fields
	switch string(key) {
	case "sidecar":
		event.Sidecar, err = decodeCount(j)
	case "tid":
		fields.requestID, err = j.Str()
	case "name":
		if event.Kind != Elapsed {
			return false, nil
		}
		event.Token, err = j.UInt64()
	case "neighbour":
		event.From, err = decodeCount(j)
	case "body":
		event.Body, err = j.StrBytes()
	case "salt":
		event.Settings.Seed, err = decodeSeed(j)
	case "facts":
		var settings Settings
		settings, err = decodeSettings(j)
		settings.Seed = event.Settings.Seed // from "salt", if it precedes "facts"
		event.Settings = settings.Settings
	case "scope":
		event.List, err = decodeEnum(j, scopes)
	case "page":
		fields.page, err = j.Int()
	case "entries":
		fields.servers, err = decodeServers(j)
	default:
		if known, err = d.decodeResultField(j, key); known {
			return true, err
		}
		return d.decodeRequestField(j, key)
	}
	return true, err
}

// decodeResultField reads a field that describes the result of an attempt or a probe.
func (d *Decoder) decodeResultField(j *jx.Decoder, key []byte) (known bool, err error) {
	fields := &d.fields
	switch string(key) {
	case "server":
		fields.server, err = decodeServerID(j)
	case "how":
		fields.result, err = decodeEnum(j, results)
	case "rtt-ms":
		fields.latency, err = decodeMillis(j)
	case "attempt":
		fields.attempt, err = decodeCount(j)
	case "over":
		fields.final, err = j.Bool()
	case "metrics":
		d.report, err = decodeNumbers(j, d.report[:0])
		fields.report = d.report
	default:
		return false, nil
	}
	return true, err
}

// flagClientRetry is the bit of a request's "bitmap" that marks it as a retry by the client.
const flagClientRetry = 2

// decodeRequestField reads a field that describes a new request.
func (d *Decoder) decodeRequestField(j *jx.Decoder, key []byte) (known bool, err error) {
	request := &d.event.Request
	switch string(key) {
	case "object":
		if d.event.Kind != NewRequest {
			return false, nil
		}
		request.Key, err = decodeKey(j)
		request.HasKey = err == nil
	case "team":
		request.Tenant, err = decodeCount(j)
	case "client-deadline-ms":
		request.Deadline, err = decodeMillis(j)
	case "bitmap":
		var flags int
		flags, err = decodeCount(j)
		request.ClientRetry = flags&flagClientRetry != 0
	case "lane":
		request.Class, err = decodeCount(j)
	case "size-hint-ms":
		request.Work, err = decodeMillis(j)
	default:
		return false, nil
	}
	return true, err
}

// decodeKey reads the key of the object that a request asks for, a string of hex digits.
func decodeKey(j *jx.Decoder) (uint64, error) {
	digits, err := j.StrBytes()
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(string(digits), 16, 64)
}
