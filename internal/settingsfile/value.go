package settingsfile

import (
	"fmt"
	"math"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
)

// Text is a value from an environment variable or a flag, whose syntax, unlike a file's, does not distinguish
// numbers and booleans from strings; the elements of a list are separated by commas.
type Text string

// Decode converts a layer's value to the field's type and checks it against the tags. The error says what was
// found and what is allowed.
func (f *Field) Decode(raw any) (reflect.Value, error) {
	v, err := f.convert(raw)
	if err != nil {
		return v, err
	}
	return v, f.check(v)
}

func (f *Field) convert(raw any) (reflect.Value, error) {
	if w, ok := raw.(Text); ok {
		raw = f.parseText(string(w))
	}
	if v := reflect.ValueOf(raw); v.IsValid() && v.Type() == f.Type {
		return v, nil // a layer may hold typed values
	}
	switch {
	case f.Type == durationType:
		return parseWithUnit(raw, "time", `"250ms" or "2s" (units us, ms, s, m, h)`, time.ParseDuration)
	case f.Type == sizeType:
		return parseWithUnit(raw, "size", `"64KiB" or "1MiB" (units B, KiB, MiB, GiB, KB, MB, GB)`, parseSize)
	}
	switch f.Type.Kind() {
	case reflect.Float64:
		if n, ok := raw.(int64); ok {
			return reflect.ValueOf(float64(n)), nil
		}
	case reflect.Int:
		if n, ok := raw.(int64); ok && n == int64(int(n)) {
			return reflect.ValueOf(int(n)), nil
		}
	case reflect.Slice:
		list, ok := raw.([]any)
		all := make([]string, len(list))
		for i := range list {
			var is bool
			all[i], is = list[i].(string)
			ok = ok && is
		}
		if ok {
			return reflect.ValueOf(all), nil
		}
	}
	return reflect.Value{}, fmt.Errorf("found %s, %s is wanted", Describe(raw), f.Kind())
}

func parseSize(s string) (Size, error) {
	n, err := humanize.ParseBytes(s)
	if err == nil && n > math.MaxInt64 {
		err = strconv.ErrRange
	}
	return Size(n), err
}

// parseText converts a Text to the value that a file would give for this field. Text that does not parse as
// the field's type is returned unchanged.
func (f *Field) parseText(text string) any {
	switch {
	case f.Type == durationType || f.Type == sizeType:
		return text
	case f.Type.Kind() == reflect.Slice:
		list := []any{}
		for part := range strings.SplitSeq(text, ",") {
			if part = strings.TrimSpace(part); part != "" {
				list = append(list, part)
			}
		}
		return list
	case f.Type.Kind() == reflect.Bool:
		if b, err := strconv.ParseBool(text); err == nil {
			return b
		}
	case f.Type.Kind() == reflect.Int || f.Type.Kind() == reflect.Float64:
		if n, err := strconv.ParseInt(text, 10, 64); err == nil {
			return n
		}
		if x, err := strconv.ParseFloat(text, 64); err == nil {
			return x
		}
	}
	return text
}

// parseWithUnit parses a value that must have a unit.
func parseWithUnit[T any](raw any, what, examples string,
	parse func(string) (T, error)) (reflect.Value, error) {
	s, ok := raw.(string)
	switch n := strings.Trim(s, "+-.0123456789 "); {
	case !ok:
		return reflect.Value{}, fmt.Errorf("found %s, a %s needs a unit: %s", Describe(raw), what, examples)
	case n == "":
		return reflect.Value{}, fmt.Errorf("found %q without a unit, a %s is written %s", s, what, examples)
	}
	v, err := parse(strings.TrimSpace(s))
	if err != nil {
		return reflect.Value{}, fmt.Errorf("%q is no %s; one is written %s", s, what, examples)
	}
	return reflect.ValueOf(v), nil
}

// Describe returns a description of a layer's value for messages.
func Describe(raw any) string {
	switch v := raw.(type) {
	case string:
		return strconv.Quote(v)
	case int64, float64:
		return fmt.Sprintf("the number %v", v)
	case bool:
		return fmt.Sprint(v)
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return fmt.Sprintf("%v", raw)
}

func (f *Field) check(v reflect.Value) error {
	if f.Min != "" && less(v, f.parseBound(f.Min)) || f.Max != "" && less(f.parseBound(f.Max), v) {
		return fmt.Errorf("%s is out of range, %s is allowed", f.Format(v), f.Allowed())
	}
	switch x := v.Interface().(type) {
	case float64:
		if math.IsNaN(x) || math.IsInf(x, 0) {
			return fmt.Errorf("%v is not a finite number", x)
		}
	case string:
		return f.checkText(x)
	}
	return nil
}

func (f *Field) checkText(s string) error {
	switch {
	case len(f.Enum) > 0:
		if slices.Contains(f.Enum, s) {
			return nil
		}
		hint := ""
		if w := Closest(s, f.Enum); w != "" {
			hint = "; did you mean " + w + "?"
		}
		return fmt.Errorf("found %q, allowed are %s%s", s, strings.Join(f.Enum, ", "), hint)
	case f.Form == formName && s == "":
		return fmt.Errorf("is empty, a name is wanted")
	case f.Form == formHex && s != "":
		if _, err := strconv.ParseUint(s, 16, 64); err != nil {
			return fmt.Errorf("%q is not up to 16 hex digits", s)
		}
	case (f.Form == formOptionalAddress || f.Form == formOptionalListen) && s == "":
		return nil
	case f.isAddress():
		return f.checkAddress(s)
	}
	return nil
}

func (f *Field) checkAddress(s string) error {
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return fmt.Errorf("%q is no address; one is written 127.0.0.1:8080", s)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return fmt.Errorf("%q has port %q, 0 to 65535 is allowed", s, port)
	}
	if n == 0 && f.Form != formListen && f.Form != formOptionalListen {
		return fmt.Errorf("%q has port 0, which only an address to listen at may have", s)
	}
	return nil
}

// parseBound parses a bound from a tag, written as in the file. It panics if the bound is malformed, which is
// a programming error.
func (f *Field) parseBound(text string) reflect.Value {
	v, err := f.convert(Text(text))
	if err != nil {
		panic("settingsfile: tag of " + f.Path + ": " + err.Error())
	}
	return v
}

func less(a, b reflect.Value) bool {
	if a.CanFloat() {
		return a.Float() < b.Float()
	}
	return a.Int() < b.Int()
}

// Format formats a value as in the file, but without quotes and with commas between a list's elements.
func (f *Field) Format(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case time.Duration:
		return FormatDuration(x)
	case Size:
		return x.String()
	case []string:
		return strings.Join(x, ",")
	default:
		return fmt.Sprint(x)
	}
}

// FormatDuration formats a duration without trailing parts that are zero: 1m0s is 1m.
func FormatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// String formats a size as in the file, with the largest unit that divides it.
func (s Size) String() string {
	for _, u := range []struct {
		bytes Size
		name  string
	}{{1 << 30, "GiB"}, {1 << 20, "MiB"}, {1 << 10, "KiB"}} {
		if s >= u.bytes && s%u.bytes == 0 {
			return fmt.Sprintf("%d%s", s/u.bytes, u.name)
		}
	}
	return fmt.Sprintf("%dB", int64(s))
}
