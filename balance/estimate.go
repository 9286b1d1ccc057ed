package balance

import "time"

// maxEstimateSamples bounds the weight of the past in an estimate.
const maxEstimateSamples = 20

// estimate follows an uncontended latency.
type estimate struct {
	mean    float64 // seconds
	samples float64 // up to maxEstimateSamples
}

// add adds a latency in seconds. A latency of a server known to be uncontended has full weight. Of the
// others, low ones count most: queueing can only lengthen a latency, and an estimate that grew with it
// would make reports look younger just when they age.
func (e *estimate) add(latency float64, uncontended bool) {
	if e.mean == 0 {
		e.mean = latency
	}
	e.samples = min(e.samples+1, maxEstimateSamples)
	gain := max(1/(e.samples+1), 0.05)
	if !uncontended && latency > e.mean {
		gain /= 5
	}
	e.mean += gain * (latency - e.mean)
}

// serviceTime is the estimate for a class on a kind of machine; a new one begins with that of the class.
func (b *Balancer) serviceTime(class, kind int) *estimate {
	for len(b.serviceTimesByKind[class]) <= kind {
		b.serviceTimesByKind[class] = append(b.serviceTimesByKind[class],
			estimate{mean: b.serviceTimes[class].mean})
	}
	return &b.serviceTimesByKind[class][kind]
}

// expectedServiceTime is the service time of one request: its class's, in proportion to its hint if it has
// one.
func (b *Balancer) expectedServiceTime(r *request) time.Duration {
	mean := b.serviceTimes[r.Class].mean
	if h := &b.hintedWork[r.Class]; r.Work > 0 && h.mean > 0 {
		mean *= r.Work.Seconds() / h.mean
	}
	return time.Duration(mean * 1e9)
}

// meanServiceTime is the service time of a request here, over the classes, in seconds.
func (b *Balancer) meanServiceTime() float64 {
	sum, n := 0.0, 0.0
	for i := range b.serviceTimes {
		w := b.serviceTimes[i].samples + 0.1
		sum, n = sum+w*b.serviceTimes[i].mean, n+w
	}
	return sum / n
}

// valueRate is what a class earns for a second of work.
func (b *Balancer) valueRate(class int) float64 {
	if b.settings.ValuePerWork {
		return b.settings.Classes[class].Value
	}
	return b.settings.Classes[class].Value / b.serviceTimes[class].mean
}

// meanValueRate is the same over the mix of classes observed.
func (b *Balancer) meanValueRate() float64 {
	sum, n := 0.0, 1e-9
	for i, s := range b.serviceTimes {
		w := (s.samples + 0.1) * s.mean
		sum, n = sum+w*b.valueRate(i), n+w
	}
	return max(sum/n, 1e-9)
}
