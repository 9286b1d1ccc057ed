package simwire

import (
	"errors"
	"fmt"
	"time"

	"github.com/go-faster/jx"

	"cresshub/balance"
)

// Effects maps names to the effects that a second execution of a request may have.
var Effects = map[string]balance.Effect{
	"idempotent": balance.Idempotent, "deduplicated": balance.Deduplicated, "at_most_once": balance.AtMostOnce,
}

// Groups maps names to the sets of servers within which a second execution of a deduplicated request is
// dropped.
var Groups = map[string]balance.DedupScope{
	"all": balance.DedupFleet, "zone": balance.DedupZone, "cell": balance.DedupCell,
}

// Fields maps names to the values of a load report that the balancer reads; others are skipped.
var Fields = map[string]balance.ReportField{
	"active": balance.FieldInFlight, "waiting": balance.FieldQueued, "cpu": balance.FieldUtilization,
}

// fieldDecoder decodes one value into the variable to which it is bound.
type fieldDecoder func(*jx.Decoder) error

// decodeInto returns a decoder that stores the result of read in *to.
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
func stringInto(to *string) fieldDecoder        { return decodeInto(to, (*jx.Decoder).Str) }

// enumInto returns a decoder that reads the name of one of a fixed set of values.
func enumInto[T any](to *T, values map[string]T) fieldDecoder {
	return decodeInto(to, func(j *jx.Decoder) (T, error) { return decodeEnum(j, values) })
}

// equalsInto returns a decoder that stores whether a string equals text.
func equalsInto(to *bool, text string) fieldDecoder {
	return decodeInto(to, func(j *jx.Decoder) (bool, error) {
		b, err := j.StrBytes()
		return string(b) == text, err
	})
}

// appendTo returns a decoder that appends one string to a list.
func appendTo(to *[]string) fieldDecoder {
	return func(j *jx.Decoder) error {
		text, err := j.Str()
		*to = append(*to, text)
		return err
	}
}

// arrayOf returns a decoder that calls each for every element of an array.
func arrayOf(each fieldDecoder) fieldDecoder {
	return func(j *jx.Decoder) error { return j.Arr(each) }
}

// objectOf returns a decoder that reads the named values of an object.
func objectOf(fields map[string]fieldDecoder) fieldDecoder {
	return func(j *jx.Decoder) error { return decodeObject(j, fields) }
}

// decodeObject reads the named values of an object and skips all others.
func decodeObject(j *jx.Decoder, fields map[string]fieldDecoder) error {
	return j.ObjBytes(func(j *jx.Decoder, key []byte) error {
		decode, ok := fields[string(key)]
		if !ok {
			return j.Skip()
		}
		return withField(decode(j), string(key))
	})
}

// Settings are the settings of one instance: those of the balancer, and the names and times that a program on
// real sockets also needs. The position of a name in its list is the number by which the balancer knows it.
type Settings struct {
	balance.Settings
	ClassNames  []string
	TenantNames []string
	ZoneNames   []string
	KindNames   []string
	ReportNames []string      // of ReportFields
	IdleClose   time.Duration // servers close a connection that has been idle for so long
}

// ReadSettings reads the settings object of the platform's file.
func ReadSettings(raw []byte) (Settings, error) {
	s, err := decodeSettings(jx.DecodeBytes(raw))
	if err != nil {
		return s, errors.New(withoutCallbacks(err))
	}
	return s, nil
}

// decodeSettings reads a settings object. Fields that are missing keep their zero values, except for
// MaxAttempts, which is 1 then.
func decodeSettings(j *jx.Decoder) (Settings, error) {
	s := Settings{Settings: balance.Settings{MaxAttempts: 1}}
	err := decodeObject(j, map[string]fieldDecoder{
		"balancers":        countInto(&s.Peers),
		"rank":             countInto(&s.Rank),
		"locality":         countInto(&s.Zone),
		"tick-ms":          millisInto(&s.Tick),
		"over-share-worth": floatInto(&s.OverQuotaValue),
		"counted-by":       equalsInto(&s.ValuePerWork, "work"),
		"registry-mode":    equalsInto(&s.MustFollow, "on_request"),
		"grades":           arrayOf(s.decodeClass),
		"tenants":          arrayOf(s.decodeTenant),
		"azs":              arrayOf(appendTo(&s.ZoneNames)),
		"kinds":            arrayOf(appendTo(&s.KindNames)),
		"deductions":       objectOf(s.costFields()),
		"extra":            objectOf(map[string]fieldDecoder{"warm-keys": boolInto(&s.KeyAffinity)}),
		"invariants":       objectOf(s.ruleFields()),
		"limits":           objectOf(s.limitFields()),
		"report": objectOf(map[string]fieldDecoder{
			"fields": arrayOf(s.decodeReportField),
			"source": equalsInto(&s.ReportsInResponses, "answers"),
		}),
	})
	if err == nil && len(s.Classes) == 0 {
		err = fmt.Errorf("field %q is missing or empty", "grades")
	}
	return s, err
}

func (s *Settings) costFields() map[string]fieldDecoder {
	return map[string]fieldDecoder{
		"cross-zone": floatInto(&s.Costs.CrossZone),
		"probe":      floatInto(&s.Costs.Probe),
		"waste":      floatInto(&s.Costs.Waste),
		"late-fail":  floatInto(&s.Costs.LateFail),
	}
}

func (s *Settings) ruleFields() map[string]fieldDecoder {
	return map[string]fieldDecoder{
		"answer-slack-ms":        millisInto(&s.ResponseGrace),
		"ask-within-ms":          millisInto(&s.RegistryInterval),
		"stop-sending-within-ms": millisInto(&s.DrainGrace),
		"start-capacity":         floatInto(&s.SlowStartMin),
		"cold-ms":                millisInto(&s.SlowStartWindow),
		"fall-multiple":          floatInto(&s.CollapseMultiple),
		"tip-after-ms":           millisInto(&s.CollapseAfter),
	}
}

func (s *Settings) limitFields() map[string]fieldDecoder {
	return map[string]fieldDecoder{
		"max-attempts":       countInto(&s.MaxAttempts),
		"may-duplicate":      boolInto(&s.MayHedge),
		"cancel":             boolInto(&s.MayCancel),
		"probes":             boolInto(&s.MayProbe),
		"retry-after":        boolInto(&s.SendsRetryAfter),
		"max-retry-after-ms": millisInto(&s.MaxRetryAfter),
		"dial-timeout-ms":    millisInto(&s.DialTimeout),
		"idle-close-ms":      millisInto(&s.IdleClose),
	}
}

func (s *Settings) decodeClass(j *jx.Decoder) error {
	var c balance.Class
	var name string
	err := decodeObject(j, map[string]fieldDecoder{
		"name":        stringInto(&name),
		"aim-ms":      millisInto(&c.LatencyTarget),
		"aim-stretch": floatInto(&c.TargetPerWork),
		"deadline-ms": millisInto(&c.Deadline),
		"value":       floatInto(&c.Value),
		"late-worth":  floatInto(&c.LateValue),
		"effect":      enumInto(&c.Effect, Effects),
		"group":       enumInto(&c.DedupScope, Groups),
		"window-ms":   millisInto(&c.DedupWindow),
		"stream":      boolInto(&c.Stream),
	})
	s.Classes = append(s.Classes, c)
	s.ClassNames = append(s.ClassNames, name)
	return err
}

func (s *Settings) decodeTenant(j *jx.Decoder) error {
	var t balance.Tenant
	var name string
	err := decodeObject(j, map[string]fieldDecoder{
		"name":        stringInto(&name),
		"portion":     floatInto(&t.Fraction),
		"quota-per-s": floatInto(&t.QuotaPerSec),
	})
	s.Tenants = append(s.Tenants, t)
	s.TenantNames = append(s.TenantNames, name)
	return err
}

func (s *Settings) decodeReportField(j *jx.Decoder) error {
	b, err := j.StrBytes()
	s.ReportFields = append(s.ReportFields, Fields[string(b)])
	s.ReportNames = append(s.ReportNames, string(b))
	return err
}
