package settingsfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Origin tells where a value came from.
type Origin struct {
	Source string // "default", "file", "platform", "environment" or "flag"
	Name   string // path of the file, the variable or the flag
	Line   int    // in a file, from 1; 0 where it is not known
}

// At is an origin without a line.
func At(source, name string) Origin { return Origin{Source: source, Name: name} }

func (o Origin) String() string {
	switch {
	case o.Source == "default" || o.Name == "":
		return o.Source
	case o.Line > 0:
		return fmt.Sprintf("%s:%d", o.Name, o.Line)
	}
	return o.Name
}

// Problem is one mistake.
type Problem struct {
	Origin
	Key     string // as a person would write it; "" where the text itself is broken
	Message string // what was found, what is allowed and what may help
}

func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s: %s", p.Origin, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", p.Origin, p.Key, p.Message)
}

// Problems are all mistakes found in one go, as an error with one line for each.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Add notes a mistake; key is as a person would write it.
func (ps *Problems) Add(o Origin, key, format string, args ...any) {
	*ps = append(*ps, Problem{o, key, fmt.Sprintf(format, args...)})
}

func (ps Problems) sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Line, b.Line))
	})
}

// Err returns the problems as an error, nil where there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	ps.sort()
	return ps
}

// Likely returns the word that was probably meant, or "".
func Likely(word string, words []string) string {
	best, least := "", max(2, len(word)/4)+1
	for _, w := range words {
		if d := levenshtein.ComputeDistance(word, w); d < least {
			best, least = w, d
		}
	}
	if least >= len(word) { // nothing in common
		return ""
	}
	return best
}
