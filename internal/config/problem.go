package config

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

func (ps *Problems) add(o Origin, key, format string, args ...any) {
	*ps = append(*ps, Problem{o, shown(key), fmt.Sprintf(format, args...)})
}

func (ps Problems) sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Line, b.Line))
	})
}

// err returns the problems as an error, nil where there are none.
func (ps Problems) err() error {
	if len(ps) == 0 {
		return nil
	}
	ps.sort()
	return ps
}

// shown is a path as a person would say it: "class.0.aim" is "class[1].aim".
func shown(path string) string {
	parts := strings.Split(path, ".")
	if _, ok := keys().lists[parts[0]]; ok && len(parts) > 1 && digits(parts[1]) {
		n := 0
		fmt.Sscan(parts[1], &n)
		parts[0] = fmt.Sprintf("%s[%d]", parts[0], n+1)
		parts = slices.Delete(parts, 1, 2)
	}
	return strings.Join(parts, ".")
}

func digits(s string) bool { return s != "" && strings.Trim(s, "0123456789") == "" }

// likely returns the word that was probably meant, or "".
func likely(word string, words []string) string {
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

// meant words the likely key for one that is not known, given by path.
func meant(path string) string {
	field, list, n, _ := keys().generic(path)
	var all []string
	for _, f := range keys().fields {
		all = append(all, f.Path)
	}
	for l := range keys().lists {
		all = append(all, l)
	}
	hit := likely(field, all)
	if hit == "" { // right word, other section
		_, last, nested := strings.Cut(field, ".")
		for _, f := range keys().fields {
			if _, l, ok := strings.Cut(f.Path, "."); ok && nested && l == last {
				hit = f.Path
				break
			}
		}
	}
	if hit == "" {
		return "; `cresshub config docs` lists all keys"
	}
	if list != "" {
		hit = strings.Replace(hit, list+"[].", fmt.Sprintf("%s[%d].", list, n+1), 1)
	}
	return "; did you mean " + strings.ReplaceAll(hit, "[].", ".") + "?"
}
