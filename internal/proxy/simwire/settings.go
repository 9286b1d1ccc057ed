package simwire

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/jx"

	"cresshub/balance"
)

// Effects are the words for what a second run of a request would do.
var Effects = map[string]balance.Effect{
	"idempotent": balance.Idempotent, "deduplicated": balance.Deduplicated, "at_most_once": balance.AtMostOnce,
}

// Groups are the words for who drops each other's repeats.
var Groups = map[string]balance.DedupScope{
	"all": balance.DedupFleet, "zone": balance.DedupZone, "cell": balance.DedupCell,
}

// Fields are the words for the values of a load report that decisions read; any other word is passed over.
var Fields = map[string]balance.ReportField{
	"active": balance.FieldInFlight, "waiting": balance.FieldQueued, "cpu": balance.FieldUtilization,
}

// reader returns a function that reads one value into a field of the settings.
type reader func(*jx.Decoder) error

func into[T any](to *T, read func(*jx.Decoder) (T, error)) reader {
	return func(j *jx.Decoder) (err error) {
		*to, err = read(j)
		return err
	}
}

func float(to *float64) reader    { return into(to, (*jx.Decoder).Float64) }
func whole(to *int) reader        { return into(to, count) }
func truth(to *bool) reader       { return into(to, (*jx.Decoder).Bool) }
func ms(to *time.Duration) reader { return into(to, millis) }
func text(to *string) reader      { return into(to, (*jx.Decoder).Str) }

// listed appends one word of a list.
func listed(to *[]string) reader {
	return func(j *jx.Decoder) error {
		w, err := j.Str()
		*to = append(*to, w)
		return err
	}
}

func is(to *bool, w string) reader {
	return into(to, func(j *jx.Decoder) (bool, error) { return equals(j, w) })
}

func equals(j *jx.Decoder, w string) (bool, error) {
	b, err := j.StrBytes()
	return string(b) == w, err
}

// object reads the named values of an object and skips all others.
func object(j *jx.Decoder, by map[string]reader) error {
	return j.ObjBytes(func(j *jx.Decoder, key []byte) error {
		read, ok := by[string(key)]
		if !ok {
			return j.Skip()
		}
		return named(read(j), string(key))
	})
}

// Settings are all that the settings tell: what the balancer reads of them, and the names and figures
// that a program on real sockets needs beside.
type Settings struct {
	balance.Settings
	ClassNames  []string
	TenantNames []string
	ZoneNames   []string
	KindNames   []string
	ReportNames []string      // the words for Report
	IdleClose   time.Duration // servers close a connection that has been idle for so long
}

// ReadSettings reads the object of the settings.
func ReadSettings(raw []byte) (Settings, error) {
	s, err := settings(jx.DecodeBytes(raw))
	if err != nil {
		return s, errors.New(strings.ReplaceAll(err.Error(), "callback: ", ""))
	}
	return s, nil
}

func settings(j *jx.Decoder) (Settings, error) {
	s := Settings{Settings: balance.Settings{MaxAttempts: 1}}
	source := ""
	nested := func(by map[string]reader) reader {
		return func(j *jx.Decoder) error { return object(j, by) }
	}
	array := func(each func(*jx.Decoder) error) reader {
		return func(j *jx.Decoder) error { return j.Arr(each) }
	}
	err := object(j, map[string]reader{
		"balancers": whole(&s.Peers), "rank": whole(&s.Rank), "locality": whole(&s.Zone),
		"tick-ms": ms(&s.Tick), "over-share-worth": float(&s.OverQuotaValue),
		"counted-by": is(&s.ValuePerWork, "work"), "registry-mode": is(&s.MustFollow, "on_request"),
		"grades": array(func(j *jx.Decoder) error {
			c, name, err := class(j)
			s.Classes = append(s.Classes, c)
			s.ClassNames = append(s.ClassNames, name)
			return err
		}),
		"tenants": array(func(j *jx.Decoder) error {
			var t balance.Tenant
			var name string
			err := object(j, map[string]reader{
				"quota-per-s": float(&t.QuotaPerSec), "portion": float(&t.Fraction), "name": text(&name),
			})
			s.Tenants = append(s.Tenants, t)
			s.TenantNames = append(s.TenantNames, name)
			return err
		}),
		"deductions": nested(map[string]reader{
			"cross-zone": float(&s.Costs.CrossZone), "probe": float(&s.Costs.Probe),
			"waste":     float(&s.Costs.Waste),
			"late-fail": float(&s.Costs.LateFail),
		}),
		"azs":   array(listed(&s.ZoneNames)),
		"kinds": array(listed(&s.KindNames)),
		"extra": nested(map[string]reader{"warm-keys": truth(&s.KeyAffinity)}),
		"invariants": nested(map[string]reader{
			"answer-slack-ms": ms(&s.ResponseGrace), "ask-within-ms": ms(&s.RegistryInterval),
			"cold-ms": ms(&s.SlowStartWindow), "fall-multiple": float(&s.CollapseMultiple),
			"start-capacity": float(&s.SlowStartMin), "stop-sending-within-ms": ms(&s.DrainGrace),
			"tip-after-ms": ms(&s.CollapseAfter),
		}),
		"limits": nested(map[string]reader{
			"cancel": truth(&s.MayCancel), "dial-timeout-ms": ms(&s.DialTimeout),
			"idle-close-ms": ms(&s.IdleClose), "max-attempts": whole(&s.MaxAttempts),
			"max-retry-after-ms": ms(&s.MaxRetryAfter),
			"may-duplicate":      truth(&s.MayHedge),
			"probes":             truth(&s.MayProbe), "retry-after": truth(&s.SendsRetryAfter),
		}),
		"report": nested(map[string]reader{
			"fields": array(func(j *jx.Decoder) error {
				b, err := j.StrBytes()
				s.ReportFields = append(s.ReportFields, Fields[string(b)])
				s.ReportNames = append(s.ReportNames, string(b))
				return err
			}),
			"source": into(&source, (*jx.Decoder).Str),
		}),
	})
	s.ReportsInResponses = source == "answers"
	if err == nil && len(s.Classes) == 0 {
		err = fmt.Errorf("field %q is missing or empty", "grades")
	}
	return s, err
}

func class(j *jx.Decoder) (c balance.Class, name string, err error) {
	err = object(j, map[string]reader{
		"aim-ms": ms(&c.LatencyTarget), "aim-stretch": float(&c.TargetPerWork), "deadline-ms": ms(&c.Deadline),
		"late-worth": float(&c.LateValue), "value": float(&c.Value), "window-ms": ms(&c.DedupWindow),
		"stream": truth(&c.Stream), "name": text(&name),
		"effect": into(&c.Effect, func(j *jx.Decoder) (balance.Effect, error) { return word(j, Effects) }),
		"group":  into(&c.DedupScope, func(j *jx.Decoder) (balance.DedupScope, error) { return word(j, Groups) }),
	})
	return c, name, err
}
