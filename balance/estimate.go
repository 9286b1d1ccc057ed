package balance

import "time"

const (
	// maxEstimateSamples bounds the weight of past latencies in an estimate.
	maxEstimateSamples = 20
	// minEstimateGain is the minimum weight of a new latency in an estimate.
	minEstimateGain = 0.05
	// queuedGainDivisor reduces the weight of a latency that queueing may have lengthened.
	queuedGainDivisor = 5
	// priorSamples is the number of samples assumed for each class in averages over classes, so that the
	// averages are defined before any latency is measured.
	priorSamples = 0.1
	// minValueRate is the lower bound of the mean value rate, a divisor: all classes may have the value 0.
	minValueRate = 1e-9
)

// estimate is a moving average of a latency without queueing. The zero value has no data; a mean without
// samples is an initial guess, which the first samples outweigh.
type estimate struct {
	mean    float64 // seconds
	samples float64 // up to maxEstimateSamples
}

// add adds a latency in seconds. The latency of a server known to be uncontended has full weight. Any other
// has less weight if it is above the mean, because queueing only lengthens latencies. Report ages are
// measured in service times, so an estimate that grew with queueing would make reports look fresher just
// when they become stale.
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

// serviceTime returns the estimate for a class on a kind of machine. The first call for a kind adds its
// estimate, with the mean of the class as initial guess. The pointer is valid until the next call.
func (b *Balancer) serviceTime(class, kind int) *estimate {
	for len(b.serviceTimesByKind[class]) <= kind {
		b.serviceTimesByKind[class] = append(b.serviceTimesByKind[class],
			estimate{mean: b.serviceTimes[class].mean})
	}
	return &b.serviceTimesByKind[class][kind]
}

// expectedServiceTime returns the service time of r: the mean of its class, scaled by its expected work if
// that is known.
func (b *Balancer) expectedServiceTime(r *request) time.Duration {
	mean := b.serviceTimes[r.Class].mean
	if h := &b.expectedWork[r.Class]; r.Work > 0 && h.mean > 0 {
		mean *= r.Work.Seconds() / h.mean
	}
	return time.Duration(mean * 1e9)
}

// meanServiceTime returns the mean service time over the classes, in seconds, weighted by their samples.
func (b *Balancer) meanServiceTime() float64 {
	sum, totalWeight := 0.0, 0.0
	for i := range b.serviceTimes {
		weight := b.serviceTimes[i].samples + priorSamples
		sum += weight * b.serviceTimes[i].mean
		totalWeight += weight
	}
	return sum / totalWeight
}

// valueRate returns the value that a request of a class earns per second of work: its value divided by its
// service time, or its value alone where the settings already state it per unit of work.
func (b *Balancer) valueRate(class int) float64 {
	if b.settings.ValuePerWork {
		return b.settings.Classes[class].Value
	}
	return b.settings.Classes[class].Value / b.serviceTimes[class].mean
}

// meanValueRate returns the mean of valueRate over the classes, weighted by the work observed in each.
func (b *Balancer) meanValueRate() float64 {
	sum, totalWork := 0.0, 1e-9 // above 0, as all service times may be 0
	for class, s := range b.serviceTimes {
		work := (s.samples + priorSamples) * s.mean
		sum += work * b.valueRate(class)
		totalWork += work
	}
	return max(sum/totalWork, minValueRate)
}
