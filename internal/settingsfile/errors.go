package settingsfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Origin is the source of a value.
type Origin struct {
	Source string // "default", "file", "platform", "environment" or "flag"
	Name   string // path of the file, the variable or the flag
	Line   int    // in the file, from 1; 0 if unknown
}

// NewOrigin returns an origin without a line.
func NewOrigin(source, name string) Origin { return Origin{Source: source, Name: name} }

func (o Origin) String() string {
	switch {
	case o.Source == "default" || o.Name == "":
		return o.Source
	case o.Line > 0:
		return fmt.Sprintf("%s:%d", o.Name, o.Line)
	}
	return o.Name
}

// SettingError is one error in the settings.
type SettingError struct {
	Origin
	Key     string // as Schema.Display formats it; "" if no key is known, as in a malformed line
	Message string // what was found, what is allowed, and a likely fix if there is one
	// HidesKeys is set if a part of the file was skipped, so that keys in it may wrongly be reported missing.
	HidesKeys bool
}

func (e SettingError) String() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", e.Origin, e.Message)
	}
	return fmt.Sprintf("%s: %s: %s", e.Origin, e.Key, e.Message)
}

// SettingErrors are all errors in the settings, as one error with a line for each.
type SettingErrors []SettingError

func (es SettingErrors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.String()
	}
	return strings.Join(lines, "\n")
}

// Add adds an error; key is as Schema.Display formats it.
func (es *SettingErrors) Add(o Origin, key, format string, args ...any) {
	*es = append(*es, SettingError{o, key, fmt.Sprintf(format, args...), key == ""})
}

func (es SettingErrors) sort() {
	slices.SortStableFunc(es, func(a, b SettingError) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Line, b.Line))
	})
}

// Err returns the errors, sorted by name of their source and line, as one error, or nil if there are none.
func (es SettingErrors) Err() error {
	if len(es) == 0 {
		return nil
	}
	es.sort()
	return es
}

// Closest returns the one of words that was probably meant by word, by edit distance; "" if none is close.
func Closest(word string, words []string) string {
	best, distance := "", max(2, len(word)/4)+1
	for _, w := range words {
		if d := levenshtein.ComputeDistance(word, w); d < distance {
			best, distance = w, d
		}
	}
	if distance >= len(word) { // nothing in common
		return ""
	}
	return best
}
