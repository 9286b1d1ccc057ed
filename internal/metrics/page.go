package metrics

import (
	"strconv"
	"time"
)

// ContentType is the media type of a Page.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Page collects metrics as text. All samples of one name have to be added consecutively, so that the name is
// described once. The zero value is an empty page.
type Page struct {
	text     []byte
	lastName string // name of the metric that was described last
}

// Text returns the page in the text format.
func (p *Page) Text() []byte { return p.text }

// Counter adds a value that only rises while the process runs.
func (p *Page) Counter(name, help string, value int64, labels ...Label) {
	p.describe(name, help, "counter")
	p.sample(name, renderLabels(labels), strconv.FormatInt(value, 10))
}

// Gauge adds a value that can rise and fall.
func (p *Page) Gauge(name, help string, value float64, labels ...Label) {
	p.describe(name, help, "gauge")
	p.sample(name, renderLabels(labels), formatFloat(value))
}

// Flag adds a gauge that is 1 if the condition holds, else 0.
func (p *Page) Flag(name, help string, condition bool, labels ...Label) {
	value := 0.0
	if condition {
		value = 1
	}
	p.Gauge(name, help, value, labels...)
}

// Family adds all counters of a family.
func (p *Page) Family(name, help string, family *CounterFamily) {
	p.describe(name, help, "counter")
	family.mu.Lock()
	defer family.mu.Unlock()
	for _, key := range family.keys {
		p.sample(name, key, strconv.FormatInt(family.counters[key].Value(), 10))
	}
}

// Histogram adds a histogram in seconds, with cumulative buckets, as the format requires.
func (p *Page) Histogram(name, help string, h *Histogram) {
	p.describe(name, help, "histogram")
	var count int64
	for bucket := range h.buckets {
		count += h.buckets[bucket].Load()
		upperBound := "+Inf"
		if bucket < len(histogramBounds) {
			upperBound = formatFloat(histogramBounds[bucket].Seconds())
		}
		p.sample(name+"_bucket", renderLabels([]Label{{"le", upperBound}}), strconv.FormatInt(count, 10))
	}
	p.sample(name+"_sum", "", formatFloat(time.Duration(h.sum.Load()).Seconds()))
	p.sample(name+"_count", "", strconv.FormatInt(count, 10))
}

// describe writes the HELP and TYPE lines of a name, once for consecutive samples of the same name.
func (p *Page) describe(name, help, kind string) {
	if p.lastName == name {
		return
	}
	p.lastName = name
	p.text = append(p.text, "# HELP "+name+" "+help+"\n# TYPE "+name+" "+kind+"\n"...)
}

func (p *Page) sample(name, labels, value string) {
	p.text = append(p.text, name+labels+" "+value+"\n"...)
}

func formatFloat(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }

// renderLabels returns labels in the form in which they follow the name of a metric.
func renderLabels(labels []Label) string {
	if len(labels) == 0 {
		return ""
	}
	text := []byte{'{'}
	for i, label := range labels {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, label.Name...)
		text = append(text, '=', '"')
		text = appendEscaped(text, label.Value)
		text = append(text, '"')
	}
	return string(append(text, '}'))
}

// appendEscaped appends a label value, with line feeds, quotes and backslashes escaped as the format
// requires.
func appendEscaped(text []byte, value string) []byte {
	for i := range len(value) {
		switch c := value[i]; c {
		case '\n':
			text = append(text, '\\', 'n')
		case '"', '\\':
			text = append(text, '\\', c)
		default:
			text = append(text, c)
		}
	}
	return text
}
