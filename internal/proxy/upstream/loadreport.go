package upstream

import (
	"math"
	"strconv"
	"strings"

	"cresshub/internal/http1"
)

// reportFormat maps the names of a load report's values to their positions. A report's text has the form
// "name=value,...".
type reportFormat struct {
	index map[string]int // position of a value by its name or synonym
	size  int            // number of values in a report
}

// loadSynonyms maps the names of the settings to the names that some servers use instead; other servers use
// those of the settings. Both are accepted, because a report that can't be parsed counts as missing, and
// without reports the balancer overloads servers although every request is still answered.
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

// parse returns the report's values in the order of the settings, or nil if one is missing or is not a finite
// number. The report is in the header X-Server-Load; a probe's response without it has the report as its
// body.
func (f reportFormat) parse(response *http1.Response, probe bool) []float64 {
	text := response.Header.Get("X-Server-Load")
	if probe && text == "" {
		text = string(response.Body)
	}
	if text == "" || f.size == 0 {
		return nil
	}
	values := make([]float64, f.size)
	present := 0 // one bit for each value that was found
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
