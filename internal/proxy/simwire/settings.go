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
var Groups = map[string]balance.Group{
	"all": balance.GroupAll, "zone": balance.GroupZone, "cell": balance.GroupCell,
}

// Fields are the words for the values of a load report that decisions read; any other word is passed over.
var Fields = map[string]balance.Field{
	"active": balance.FieldHeld, "waiting": balance.FieldWaiting, "cpu": balance.FieldUtil,
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
		"tick-ms": ms(&s.Tick), "over-share-worth": float(&s.OverShareWorth),
		"counted-by": is(&s.WorthByWork, "work"), "registry-mode": is(&s.MustFollow, "on_request"),
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
				"quota-per-s": float(&t.QuotaPerSec), "portion": float(&t.Share), "name": text(&name),
			})
			s.Tenants = append(s.Tenants, t)
			s.TenantNames = append(s.TenantNames, name)
			return err
		}),
		"deductions": nested(map[string]reader{
			"cross-zone": float(&s.Prices.CrossZone), "probe": float(&s.Prices.Probe),
			"waste":     float(&s.Prices.Waste),
			"late-fail": float(&s.Prices.LateFail),
		}),
		"azs":   array(listed(&s.ZoneNames)),
		"kinds": array(listed(&s.KindNames)),
		"extra": nested(map[string]reader{"warm-keys": truth(&s.WarmKeys)}),
		"invariants": nested(map[string]reader{
			"answer-slack-ms": ms(&s.AnswerSlack), "ask-within-ms": ms(&s.AskWithin),
			"cold-ms": ms(&s.ColdFor), "fall-multiple": float(&s.FallMultiple),
			"start-capacity": float(&s.ColdStart), "stop-sending-within-ms": ms(&s.DrainGrace),
			"tip-after-ms": ms(&s.FallAfter),
		}),
		"limits": nested(map[string]reader{
			"cancel": truth(&s.MayCancel), "dial-timeout-ms": ms(&s.DialTimeout),
			"idle-close-ms": ms(&s.IdleClose), "max-attempts": whole(&s.MaxAttempts),
			"max-retry-after-ms": ms(&s.MaxBackoff),
			"may-duplicate":      truth(&s.MayDuplicate),
			"probes":             truth(&s.MayProbe), "retry-after": truth(&s.TellsBackoff),
		}),
		"report": nested(map[string]reader{
			"fields": array(func(j *jx.Decoder) error {
				b, err := j.StrBytes()
				s.Report = append(s.Report, Fields[string(b)])
				s.ReportNames = append(s.ReportNames, string(b))
				return err
			}),
			"source": into(&source, (*jx.Decoder).Str),
		}),
	})
	s.ReportAnswers = source == "answers"
	if err == nil && len(s.Classes) == 0 {
		err = fmt.Errorf("field %q is missing or empty", "grades")
	}
	return s, err
}

func class(j *jx.Decoder) (c balance.Class, name string, err error) {
	err = object(j, map[string]reader{
		"aim-ms": ms(&c.Aim), "aim-stretch": float(&c.AimStretch), "deadline-ms": ms(&c.Deadline),
		"late-worth": float(&c.LateWorth), "value": float(&c.Worth), "window-ms": ms(&c.Window),
		"stream": truth(&c.Stream), "name": text(&name),
		"effect": into(&c.Effect, func(j *jx.Decoder) (balance.Effect, error) { return word(j, Effects) }),
		"group":  into(&c.Group, func(j *jx.Decoder) (balance.Group, error) { return word(j, Groups) }),
	})
	return c, name, err
}
