package upstream

import (
	"math"
	"strconv"
	"strings"

	"cresshub/internal/http1"
)

// reportFormat finds the values of a load report: by each word that a value may go by, its place.
type reportFormat struct {
	index map[string]int
	size  int
}

// loadSynonyms are other words for those of the settings. Servers have been met that use the settings'
// words and some that use these; a report not understood looks like none, and steering without
// reports jams the fleet while every request is still answered, so both are read.
var loadSynonyms = map[string]string{
	"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency_ms", "rps": "qps",
	"err_rps": "eps",
}

func newReportFormat(names []string) reportFormat {
	f := reportFormat{map[string]int{}, len(names)}
	for i, n := range names {
		f.index[n] = i
		if other, ok := loadSynonyms[n]; ok {
			f.index[other] = i
		}
	}
	return f
}

// parse returns the report's values in the order of the settings, or nil where one is missing or no
// number. A probe's answer has it as its body, any other in a header.
func (f reportFormat) parse(a *http1.Response, probe bool) []float64 {
	text := a.Header.Get("X-Server-Load")
	if probe && text == "" {
		text = string(a.Body)
	}
	if text == "" || f.size == 0 {
		return nil
	}
	values, present := make([]float64, f.size), 0
	for part := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(part, "=")
		i, known := f.index[strings.TrimSpace(name)]
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if !known || err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
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
