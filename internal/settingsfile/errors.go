package settingsfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Origin is where a value came from.
type Origin struct {
	Source string // "default", "file", "platform", "environment" or "flag"
	Name   string // path of the file, the variable or the flag
	Line   int    // in the file, from 1; 0 where it is not known
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

// SettingError is one mistake in the settings.
type SettingError struct {
	Origin
	Key     string // as Schema.Display gives it; "" where the text itself is malformed
	Message string // what was found, what is allowed and what may help
	// HidesKeys is set where a part of the file was skipped, so that keys in it may seem to be missing.
	HidesKeys bool
}

func (p SettingError) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s: %s", p.Origin, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", p.Origin, p.Key, p.Message)
}

// SettingErrors are all mistakes in the settings, as an error with one line for each.
type SettingErrors []SettingError

func (ps SettingErrors) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Add adds a mistake; key is as Schema.Display gives it.
func (ps *SettingErrors) Add(o Origin, key, format string, args ...any) {
	*ps = append(*ps, SettingError{o, key, fmt.Sprintf(format, args...), key == ""})
}

func (ps SettingErrors) sort() {
	slices.SortStableFunc(ps, func(a, b SettingError) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Line, b.Line))
	})
}

// Err returns the mistakes, sorted by file and line, as an error; nil where there are none.
func (ps SettingErrors) Err() error {
	if len(ps) == 0 {
		return nil
	}
	ps.sort()
	return ps
}

// Closest returns the word that was probably meant, "" where none is near.
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
