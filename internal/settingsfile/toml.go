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

// Layer is the settings of one source: values by path, with the origin of each. The values of a file are
// string, int64, float64, bool and []any; other sources may also give Text, or values of the fields' types.
type Layer struct {
	Values  map[string]any
	Origins map[string]Origin
	Tables  map[string][]Origin // where each table of a list begins, by list
}

// NewLayer returns a layer without values.
func NewLayer() *Layer {
	return &Layer{map[string]any{}, map[string]Origin{}, map[string][]Origin{}}
}

// Set sets the value of a path.
func (l *Layer) Set(path string, v any, o Origin) { l.Values[path], l.Origins[path] = v, o }

const (
	maxFileBytes      = 1 << 20 // size limit of a settings file
	maxMalformedLines = 50      // number of lines that can't be parsed after which reading stops
)

// tomlReader reads one file into a Layer. It uses the TOML library's syntax tree rather than its decoder,
// because only the tree has positions for line numbers, and parsing can resume after a syntax error, so that
// all errors are found.
type tomlReader struct {
	schema         *Schema
	file           string
	raw            []byte
	lineEnds       []int // offsets of the newlines in raw
	parser         unstable.Parser
	parseOffset    int // offset in raw where the parser's input begins
	malformedLines int // number of lines so far that can't be parsed

	prefix       string         // of the keys of the current table, ending with a dot
	skipTable    bool           // the current table's header is invalid; its keys are ignored
	sectionLines map[string]int // line of each section's header so far, by section

	layer    *Layer
	problems SettingErrors
}

// ReadTOML parses raw, the content of a file. The layer has the values that could be parsed; the errors are
// all that the file has.
func (s *Schema) ReadTOML(file string, raw []byte) (*Layer, SettingErrors) {
	r := &tomlReader{schema: s, file: file, raw: raw, layer: NewLayer(), sectionLines: map[string]int{}}
	if len(raw) > maxFileBytes {
		r.problems.Add(Origin{"file", file, 0}, "", "holds %d bytes, %d are allowed", len(raw), maxFileBytes)
		return r.layer, r.problems
	}
	for i, b := range raw {
		if b == '\n' {
			r.lineEnds = append(r.lineEnds, i)
		}
	}
	for offset := 0; offset < len(raw); {
		offset = r.parseFrom(offset)
	}
	return r.layer, r.problems
}

// parseFrom parses from an offset to the end of the file or the first malformed line, and returns the offset
// at which to resume.
func (r *tomlReader) parseFrom(from int) int {
	r.parseOffset = from
	r.parser.Reset(r.raw[from:])
	for r.parser.NextExpression() {
		switch e := r.parser.Expression(); e.Kind {
		case unstable.Table:
			r.openTable(e, false)
		case unstable.ArrayTable:
			r.openTable(e, true)
		case unstable.KeyValue:
			r.keyValue(r.prefix, e)
		}
	}
	if err := r.parser.Error(); err != nil {
		return r.skipMalformedLine(from, err)
	}
	return len(r.raw)
}

// skipMalformedLine reports the line that could not be parsed and returns the offset at which to resume.
func (r *tomlReader) skipMalformedLine(from int, err error) int {
	offset := len(r.raw) - 1
	var parseErr *unstable.ParserError
	if errors.As(err, &parseErr) {
		// Highlight is a subslice of raw, so the difference of their capacities is its offset.
		offset = min(max(cap(r.raw)-cap(parseErr.Highlight), from), len(r.raw)-1)
	}
	origin := Origin{"file", r.file, r.lineOf(offset)}
	if r.malformedLines++; r.malformedLines >= maxMalformedLines {
		r.problems.Add(origin, "", "%v; the rest of the file was not checked after %d such lines", err,
			maxMalformedLines)
		return len(r.raw)
	}
	text := r.lineText(offset)
	key, _, _ := strings.Cut(text, "=")
	if key = strings.TrimSpace(key); key != "" && strings.Trim(key, bareKeyChars) == "" {
		key = r.prefix + key
	} else {
		key = ""
	}
	r.problems.Add(origin, r.schema.Display(key), "%s", withHint(err.Error(), text))
	return r.nextParsableLine(offset)
}

// lineOf returns the number, from 1, of the line that contains an offset.
func (r *tomlReader) lineOf(offset int) int {
	n, _ := slices.BinarySearch(r.lineEnds, offset)
	return n + 1
}

// lineText returns the line that contains an offset.
func (r *tomlReader) lineText(offset int) string {
	start := bytes.LastIndexByte(r.raw[:offset], '\n') + 1
	end := bytes.IndexByte(r.raw[offset:], '\n')
	if end < 0 {
		return string(r.raw[start:])
	}
	return string(r.raw[start : offset+end])
}

// bareKeyChars are the characters of a key without quotes, and the dot between its parts.
const bareKeyChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_-.0123456789"

// withHint appends the likely fix, if one is known, to an error message of the parser.
func withHint(message, line string) string {
	_, value, set := strings.Cut(line, "=")
	value = strings.TrimSpace(value)
	switch {
	case !set && !strings.HasPrefix(strings.TrimSpace(line), "["):
		return message + "; a key is set by KEY = VALUE"
	case set && value != "" && !strings.ContainsAny(value[:1], `"'[{`):
		return fmt.Sprintf("%s; text must be in quotes: %q", message, value)
	}
	return message
}

// nextParsableLine returns the offset of the next line, after the malformed one at offset, that looks like a
// table header or a key. Without one it returns the end of the file.
func (r *tomlReader) nextParsableLine(offset int) int {
	for {
		end := bytes.IndexByte(r.raw[offset:], '\n')
		if end < 0 {
			return len(r.raw)
		}
		offset += end + 1
		line := bytes.TrimSpace(r.raw[offset:])
		if len(line) == 0 {
			return len(r.raw)
		}
		if i := bytes.IndexByte(line, '\n'); i >= 0 {
			line = line[:i]
		}
		key, _, set := bytes.Cut(line, []byte("="))
		bare := strings.Trim(string(bytes.TrimSpace(key)), bareKeyChars) == ""
		if line[0] == '[' && bytes.Contains(line, []byte("]")) || set && bare {
			return offset
		}
	}
}

func (r *tomlReader) origin(n *unstable.Node) Origin {
	offset := min(r.parseOffset+int(n.Raw.Offset), len(r.raw))
	return Origin{"file", r.file, r.lineOf(offset)}
}

// joinKey joins the parts of a key by dots, and returns the origin of the first part.
func (r *tomlReader) joinKey(n *unstable.Node) (string, Origin) {
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

// openTable begins the table of a header: [[name]] if isArrayTable, [name] otherwise.
func (r *tomlReader) openTable(n *unstable.Node, isArrayTable bool) {
	name, o := r.joinKey(n)
	_, isList := r.schema.lists[name]
	r.prefix, r.skipTable = name+".", true
	switch before := r.sectionLines[name]; {
	case isArrayTable && isList:
		r.prefix = r.appendTable(name, o) + "."
	case isArrayTable && r.schema.HasSection(name):
		r.problems.Add(o, r.schema.Display(name), "is a section, not a list; it is set once, as [%s]", name)
		return
	case !isArrayTable && isList:
		r.problems.Add(o, r.schema.Display(name), "is a list; each of its tables begins with [[%s]]", name)
		return
	case !r.schema.HasSection(name):
		r.problems.Add(o, r.schema.Display(name), "is no section%s", r.schema.suggestSection(name))
		r.problems[len(r.problems)-1].HidesKeys = true
		return
	case before > 0:
		r.problems.Add(o, r.schema.Display(name), "is defined twice, first on line %d", before)
		return
	}
	r.sectionLines[name] = o.Line
	r.skipTable = false
}

// appendTable adds the next table of a list and returns its path.
func (r *tomlReader) appendTable(list string, o Origin) string {
	n := len(r.layer.Tables[list])
	r.layer.Tables[list] = append(r.layer.Tables[list], o)
	return fmt.Sprintf("%s.%d", list, n)
}

func (r *tomlReader) keyValue(prefix string, n *unstable.Node) {
	name, o := r.joinKey(n)
	if r.skipTable {
		return
	}
	r.setValue(prefix+name, o, n.Value())
}

// setValue sets the value of a path. Inline tables are split into their keys.
func (r *tomlReader) setValue(path string, o Origin, n *unstable.Node) {
	if before, ok := r.layer.Origins[path]; ok {
		r.problems.Add(o, r.schema.Display(path), "is set twice, first on line %d", before.Line)
		return
	}
	_, isList := r.schema.lists[path]
	switch {
	case n.Kind == unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			name, at := r.joinKey(it.Node())
			r.setValue(path+"."+name, at, it.Node().Value())
		}
	case n.Kind == unstable.Array && isList:
		for it := n.Children(); it.Next(); {
			if it.Node().Kind != unstable.InlineTable {
				r.problems.Add(o, r.schema.Display(path), "is a list of tables; each begins with [[%s]]", path)
				return
			}
			r.setValue(r.appendTable(path, o), o, it.Node())
		}
	default:
		v, err := r.scalar(n)
		if err != nil {
			r.problems.Add(o, r.schema.Display(path), "%v", err)
			return
		}
		r.layer.Set(path, v, o)
	}
}

// scalar converts a value that is not a table, or a list of such values.
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
			return nil, fmt.Errorf("%s is no whole number in the range of 64 bits", text)
		}
		return v, nil
	case unstable.Float:
		v, err := strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
		if err != nil {
			return nil, fmt.Errorf("%s is no number in the range of 64 bits", text)
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
	return nil, fmt.Errorf("found a %s, a type that no key has", strings.ToLower(n.Kind.String()))
}
