package balance

import "time"

const (
	// maxEstimateSamples bounds the weight of the past in an estimate.
	maxEstimateSamples = 20
	// minEstimateGain is the weight of one latency in an estimate, at least.
	minEstimateGain = 0.05
	// queuedGainDivisor reduces the weight of a latency that queueing may have lengthened.
	queuedGainDivisor = 5
	// priorSamples of each class are assumed in averages over classes, so that they are defined from the start.
	priorSamples = 0.1
	// minValueRate bounds a divisor: classes can be without value.
	minValueRate = 1e-9
)

// estimate is a moving average of a latency without queueing. The zero value knows nothing; a mean without
// samples is a guess, which the first samples outweigh.
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
	gain := max(1/(e.samples+1), minEstimateGain)
	if !uncontended && latency > e.mean {
		gain /= queuedGainDivisor
	}
	e.mean += gain * (latency - e.mean)
}

// serviceTime is the estimate for a class on a kind of machine. The first call for a kind adds it, with the
// mean of the class as a guess. The pointer is valid until the next call.
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

// meanServiceTime is the service time of a request, in seconds: the mean over the classes, weighted by their
// samples.
func (b *Balancer) meanServiceTime() float64 {
	sum, totalWeight := 0.0, 0.0
	for i := range b.serviceTimes {
		weight := b.serviceTimes[i].samples + priorSamples
		sum += weight * b.serviceTimes[i].mean
		totalWeight += weight
	}
	return sum / totalWeight
}

// valueRate is what a request of a class earns for a second of work: its value over its service time, unless
// the settings give the value by work already.
func (b *Balancer) valueRate(class int) float64 {
	if b.settings.ValuePerWork {
		return b.settings.Classes[class].Value
	}
	return b.settings.Classes[class].Value / b.serviceTimes[class].mean
}

// meanValueRate is the mean of valueRate over the classes, weighted by the work that was observed of each.
func (b *Balancer) meanValueRate() float64 {
	sum, totalWork := 0.0, 1e-9 // above 0, as all service times may be 0
	for class, s := range b.serviceTimes {
		work := (s.samples + priorSamples) * s.mean
		sum += work * b.valueRate(class)
		totalWork += work
	}
	return max(sum/totalWork, minValueRate)
}
