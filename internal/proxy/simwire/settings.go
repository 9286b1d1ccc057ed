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

// fieldDecoder returns a function that reads one value into a field of the settings.
type fieldDecoder func(*jx.Decoder) error

func decodeInto[T any](to *T, read func(*jx.Decoder) (T, error)) fieldDecoder {
	return func(j *jx.Decoder) (err error) {
		*to, err = read(j)
		return err
	}
}

func floatInto(to *float64) fieldDecoder        { return decodeInto(to, (*jx.Decoder).Float64) }
func countInto(to *int) fieldDecoder            { return decodeInto(to, decodeCount) }
func boolInto(to *bool) fieldDecoder            { return decodeInto(to, (*jx.Decoder).Bool) }
func millisInto(to *time.Duration) fieldDecoder { return decodeInto(to, decodeMillis) }
func textInto(to *string) fieldDecoder          { return decodeInto(to, (*jx.Decoder).Str) }

// appendTo appends one word of a list.
func appendTo(to *[]string) fieldDecoder {
	return func(j *jx.Decoder) error {
		w, err := j.Str()
		*to = append(*to, w)
		return err
	}
}

func equalsInto(to *bool, w string) fieldDecoder {
	return decodeInto(to, func(j *jx.Decoder) (bool, error) { return equals(j, w) })
}

func equals(j *jx.Decoder, w string) (bool, error) {
	b, err := j.StrBytes()
	return string(b) == w, err
}

// decodeObject reads the named values of an object and skips all others.
func decodeObject(j *jx.Decoder, by map[string]fieldDecoder) error {
	return j.ObjBytes(func(j *jx.Decoder, key []byte) error {
		read, ok := by[string(key)]
		if !ok {
			return j.Skip()
		}
		return withField(read(j), string(key))
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
	s, err := decodeSettings(jx.DecodeBytes(raw))
	if err != nil {
		return s, errors.New(strings.ReplaceAll(err.Error(), "callback: ", ""))
	}
	return s, nil
}

func decodeSettings(j *jx.Decoder) (Settings, error) {
	s := Settings{Settings: balance.Settings{MaxAttempts: 1}}
	source := ""
	nested := func(by map[string]fieldDecoder) fieldDecoder {
		return func(j *jx.Decoder) error { return decodeObject(j, by) }
	}
	array := func(each func(*jx.Decoder) error) fieldDecoder {
		return func(j *jx.Decoder) error { return j.Arr(each) }
	}
	err := decodeObject(j, map[string]fieldDecoder{
		"balancers": countInto(&s.Peers), "rank": countInto(&s.Rank), "locality": countInto(&s.Zone),
		"tick-ms": millisInto(&s.Tick), "over-share-worth": floatInto(&s.OverShareWorth),
		"counted-by": equalsInto(&s.WorthByWork, "work"), "registry-mode": equalsInto(&s.MustFollow, "on_request"),
		"grades": array(func(j *jx.Decoder) error {
			c, name, err := decodeClass(j)
			s.Classes = append(s.Classes, c)
			s.ClassNames = append(s.ClassNames, name)
			return err
		}),
		"tenants": array(func(j *jx.Decoder) error {
			var t balance.Tenant
			var name string
			err := decodeObject(j, map[string]fieldDecoder{
				"quota-per-s": floatInto(&t.QuotaPerSec), "portion": floatInto(&t.Share), "name": textInto(&name),
			})
			s.Tenants = append(s.Tenants, t)
			s.TenantNames = append(s.TenantNames, name)
			return err
		}),
		"deductions": nested(map[string]fieldDecoder{
			"cross-zone": floatInto(&s.Prices.CrossZone), "probe": floatInto(&s.Prices.Probe),
			"waste":     floatInto(&s.Prices.Waste),
			"late-fail": floatInto(&s.Prices.LateFail),
		}),
		"azs":   array(appendTo(&s.ZoneNames)),
		"kinds": array(appendTo(&s.KindNames)),
		"extra": nested(map[string]fieldDecoder{"warm-keys": boolInto(&s.WarmKeys)}),
		"invariants": nested(map[string]fieldDecoder{
			"answer-slack-ms": millisInto(&s.AnswerSlack), "ask-within-ms": millisInto(&s.AskWithin),
			"cold-ms": millisInto(&s.ColdFor), "fall-multiple": floatInto(&s.FallMultiple),
			"start-capacity": floatInto(&s.ColdStart), "stop-sending-within-ms": millisInto(&s.DrainGrace),
			"tip-after-ms": millisInto(&s.FallAfter),
		}),
		"limits": nested(map[string]fieldDecoder{
			"cancel": boolInto(&s.MayCancel), "dial-timeout-ms": millisInto(&s.DialTimeout),
			"idle-close-ms": millisInto(&s.IdleClose), "max-attempts": countInto(&s.MaxAttempts),
			"max-retry-after-ms": millisInto(&s.MaxBackoff),
			"may-duplicate":      boolInto(&s.MayDuplicate),
			"probes":             boolInto(&s.MayProbe), "retry-after": boolInto(&s.TellsBackoff),
		}),
		"report": nested(map[string]fieldDecoder{
			"fields": array(func(j *jx.Decoder) error {
				b, err := j.StrBytes()
				s.Report = append(s.Report, Fields[string(b)])
				s.ReportNames = append(s.ReportNames, string(b))
				return err
			}),
			"source": decodeInto(&source, (*jx.Decoder).Str),
		}),
	})
	s.ReportAnswers = source == "answers"
	if err == nil && len(s.Classes) == 0 {
		err = fmt.Errorf("field %q is missing or empty", "grades")
	}
	return s, err
}

func decodeClass(j *jx.Decoder) (c balance.Class, name string, err error) {
	err = decodeObject(j, map[string]fieldDecoder{
		"aim-ms": millisInto(&c.Aim), "aim-stretch": floatInto(&c.AimStretch),
		"deadline-ms": millisInto(&c.Deadline),
		"late-worth":  floatInto(&c.LateWorth), "value": floatInto(&c.Worth), "window-ms": millisInto(&c.Window),
		"stream": boolInto(&c.Stream), "name": textInto(&name),
		"effect": decodeInto(&c.Effect,
			func(j *jx.Decoder) (balance.Effect, error) { return decodeWord(j, Effects) }),
		"group": decodeInto(&c.Group, func(j *jx.Decoder) (balance.Group, error) { return decodeWord(j, Groups) }),
	})
	return c, name, err
}
