package upstream

import (
	"math"
	"strconv"
	"strings"

	"cresshub/internal/http1"
)

// reportFormat is the order of the values of a load report, whose text is "name=value,...".
type reportFormat struct {
	index map[string]int // position by name, synonyms included
	size  int            // number of values
}

// loadSynonyms are the names that some servers use, by the settings' names, which other servers use. Both are
// read: a report that isn't understood counts as none, and without reports the balancer overloads servers
// although every request is still answered.
var loadSynonyms = map[string]string{
	"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency_ms", "rps": "qps",
	"err_rps": "eps",
}

func newReportFormat(names []string) reportFormat {
	f := reportFormat{map[string]int{}, len(names)}
	for i, name := range names {
		f.index[name] = i
		if synonym, ok := loadSynonyms[name]; ok {
			f.index[synonym] = i
		}
	}
	return f
}

// parse returns the report's values in the order of the settings, or nil if one is missing or no finite
// number. A probe's response may have the report as its body, any other has it in a header.
func (f reportFormat) parse(response *http1.Response, probe bool) []float64 {
	text := response.Header.Get("X-Server-Load")
	if probe && text == "" {
		text = string(response.Body)
	}
	if text == "" || f.size == 0 {
		return nil
	}
	values := make([]float64, f.size)
	present := 0 // a bit for each value that was found
	for field := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(field, "=")
		i, ok := f.index[strings.TrimSpace(name)]
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			continue
		}
		values[i] = v
		present |= 1 << i
	}
	if present != 1<<f.size-1 {
		return nil
	}
	return values
}
