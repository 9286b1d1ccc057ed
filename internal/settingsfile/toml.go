package settingsfile

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Layer is what one source says: values by path, with where each stands.
type Layer struct {
	Values  map[string]any
	Origins map[string]Origin
	Tables  map[string][]Origin // where each table of a list begins
}

// NewLayer returns an empty one.
func NewLayer() *Layer {
	return &Layer{map[string]any{}, map[string]Origin{}, map[string][]Origin{}}
}

// Set puts a value in.
func (l *Layer) Set(path string, v any, o Origin) { l.Values[path], l.Origins[path] = v, o }

const (
	maxFile   = 1 << 20 // bytes of a configuration file
	maxBroken = 50      // lines that cannot be parsed, after which the rest is not looked at
)

// tomlReader flattens one file. The library's syntax tree is read rather than its decoded values, for
// only the tree knows lines, and only a reader that goes on after a mistake can list them all.
type tomlReader struct {
	schema   *Schema
	file     string
	raw      []byte
	ends     []int // offsets of the ends of lines
	broken   int
	base     int // where the parser's part of raw begins
	p        unstable.Parser
	out      *Layer
	problems Problems
	prefix   string
	skip     bool           // the table in force is a mistake: its keys would be told twice
	tables   map[string]int // lines of the sections begun
}

// ReadTOML reads a whole file; mistakes do not end it, so that all are found.
func (s *Schema) ReadTOML(file string, raw []byte) (*Layer, Problems) {
	r := &tomlReader{schema: s, file: file, raw: raw, out: NewLayer(), tables: map[string]int{}}
	if len(raw) > maxFile {
		r.problems.Add(Origin{"file", file, 0}, "", "holds %d bytes, %d are allowed", len(raw), maxFile)
		return r.out, r.problems
	}
	for i, b := range raw {
		if b == '\n' {
			r.ends = append(r.ends, i)
		}
	}
	for rest := 0; rest < len(raw); {
		rest = r.read(rest)
	}
	return r.out, r.problems
}

// read goes through the file from an offset on, up to its end or the first broken line, and returns
// where to go on.
func (r *tomlReader) read(from int) int {
	r.base = from
	r.p.Reset(r.raw[from:])
	for r.p.NextExpression() {
		switch e := r.p.Expression(); e.Kind {
		case unstable.Table:
			r.table(e, false)
		case unstable.ArrayTable:
			r.table(e, true)
		case unstable.KeyValue:
			r.keyValue(r.prefix, e)
		}
	}
	err := r.p.Error()
	if err == nil {
		return len(r.raw)
	}
	at, message := len(r.raw)-1, err.Error()
	var pe *unstable.ParserError
	if errors.As(err, &pe) {
		// The highlight is cut out of raw, so its capacity tells where it begins.
		at = min(max(cap(r.raw)-cap(pe.Highlight), from), len(r.raw)-1)
	}
	line := r.lineOf(at)
	if r.broken++; r.broken >= maxBroken {
		r.problems.Add(Origin{"file", r.file, line}, "", "%v; the rest was not looked at after %d such lines", err,
			maxBroken)
		return len(r.raw)
	}
	text := r.line(at)
	key, _, _ := strings.Cut(text, "=")
	if key = strings.TrimSpace(key); key != "" && strings.Trim(key, bareKey) == "" {
		key = r.prefix + key
	} else {
		key = ""
	}
	r.problems.Add(Origin{"file", r.file, line}, r.schema.Shown(key), "%s", hint(message, text))
	return r.resume(at)
}

// lineOf is the number of the line that holds an offset, from 1.
func (r *tomlReader) lineOf(offset int) int {
	n, _ := slices.BinarySearch(r.ends, offset)
	return n + 1
}

// line is the text of the line that holds an offset.
func (r *tomlReader) line(at int) string {
	start := bytes.LastIndexByte(r.raw[:at], '\n') + 1
	end := bytes.IndexByte(r.raw[at:], '\n')
	if end < 0 {
		return string(r.raw[start:])
	}
	return string(r.raw[start : at+end])
}

// bareKey is what a key without quotes is made of.
const bareKey = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_-.0123456789"

// hint adds the likely fix to a message of the parser.
func hint(message, line string) string {
	_, value, set := strings.Cut(line, "=")
	value = strings.TrimSpace(value)
	switch {
	case !set && !strings.HasPrefix(strings.TrimSpace(line), "["):
		return message + "; a key is set by KEY = VALUE"
	case set && value != "" && !strings.ContainsAny(value[:1], `"'[{`):
		return fmt.Sprintf("%s; text stands in quotes: %q", message, value)
	}
	return message
}

// resume finds the next line after a broken one that looks like a table or a key.
func (r *tomlReader) resume(at int) int {
	for {
		end := bytes.IndexByte(r.raw[at:], '\n')
		if end < 0 {
			return len(r.raw)
		}
		at += end + 1
		line := bytes.TrimSpace(r.raw[at:])
		if len(line) == 0 {
			return len(r.raw)
		}
		if i := bytes.IndexByte(line, '\n'); i >= 0 {
			line = line[:i]
		}
		key, _, set := bytes.Cut(line, []byte("="))
		bare := strings.Trim(string(bytes.TrimSpace(key)), bareKey) == ""
		if line[0] == '[' && bytes.Contains(line, []byte("]")) || set && bare {
			return at
		}
	}
}

func (r *tomlReader) origin(n *unstable.Node) Origin {
	offset := min(r.base+int(n.Raw.Offset), len(r.raw))
	return Origin{"file", r.file, r.lineOf(offset)}
}

// key joins the parts of a key and tells where it stands.
func (r *tomlReader) key(n *unstable.Node) (string, Origin) {
	var parts []string
	var o Origin
	for it := n.Key(); it.Next(); {
		if len(parts) == 0 {
			o = r.origin(it.Node())
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), o
}

func (r *tomlReader) table(n *unstable.Node, listed bool) {
	name, o := r.key(n)
	_, isList := r.schema.lists[name]
	r.prefix, r.skip = name+".", true
	switch before := r.tables[name]; {
	case listed && isList:
		r.prefix = r.begin(name, o) + "."
	case listed && r.schema.Section(name):
		r.problems.Add(o, r.schema.Shown(name), "stands once, as [%s], and is no list", name)
		return
	case !listed && isList:
		r.problems.Add(o, r.schema.Shown(name), "is a list; each of its tables begins with [[%s]]", name)
		return
	case !r.schema.Section(name):
		r.problems.Add(o, r.schema.Shown(name), "is no section%s", r.schema.meantSection(name))
		return
	case before > 0:
		r.problems.Add(o, r.schema.Shown(name), "stands twice, first on line %d", before)
		return
	}
	r.tables[name] = o.Line
	r.skip = false
}

// begin begins the next table of a list and returns its path.
func (r *tomlReader) begin(list string, o Origin) string {
	n := len(r.out.Tables[list])
	r.out.Tables[list] = append(r.out.Tables[list], o)
	return fmt.Sprintf("%s.%d", list, n)
}

func (r *tomlReader) keyValue(prefix string, n *unstable.Node) {
	name, o := r.key(n)
	if r.skip {
		return
	}
	r.value(prefix+name, o, n.Value())
}

// value takes a value in; tables and lists of tables written in line are taken apart.
func (r *tomlReader) value(path string, o Origin, n *unstable.Node) {
	if before, ok := r.out.Origins[path]; ok {
		r.problems.Add(o, r.schema.Shown(path), "is set twice, first on line %d", before.Line)
		return
	}
	_, isList := r.schema.lists[path]
	switch {
	case n.Kind == unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			name, at := r.key(it.Node())
			r.value(path+"."+name, at, it.Node().Value())
		}
	case n.Kind == unstable.Array && isList:
		for it := n.Children(); it.Next(); {
			if it.Node().Kind != unstable.InlineTable {
				r.problems.Add(o, r.schema.Shown(path), "is a list of tables; each begins with [[%s]]", path)
				return
			}
			r.value(r.begin(path, o), o, it.Node())
		}
	default:
		v, err := r.scalar(n)
		if err != nil {
			r.problems.Add(o, r.schema.Shown(path), "%v", err)
			return
		}
		r.out.Set(path, v, o)
	}
}

func (r *tomlReader) scalar(n *unstable.Node) (any, error) {
	text := string(n.Data)
	switch n.Kind {
	case unstable.String:
		return text, nil
	case unstable.Bool:
		return text == "true", nil
	case unstable.Integer:
		v, err := strconv.ParseInt(strings.ReplaceAll(text, "_", ""), 0, 64)
		if err != nil {
			return nil, fmt.Errorf("%s is no whole number that fits", text)
		}
		return v, nil
	case unstable.Float:
		v, err := strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
		if err != nil {
			return nil, fmt.Errorf("%s is no number that fits", text)
		}
		return v, nil
	case unstable.Array:
		list := []any{}
		for it := n.Children(); it.Next(); {
			v, err := r.scalar(it.Node())
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		return list, nil
	}
	return nil, fmt.Errorf("found a %s, which no key takes", strings.ToLower(n.Kind.String()))
}
