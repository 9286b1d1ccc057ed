package balance

// What latencies tell of service times. What follows from them the policy files decide.

import "time"

// estimate follows an uncontended latency.
type estimate struct {
	mean float64 // seconds
	n    float64 // samples, up to a limit
}

// add takes a latency in. One from a server known to be calm counts as it is; of others the low ones
// count most, for queueing only ever adds, and an estimate that grew with it would make reports look
// younger just when they age.
func (e *estimate) add(x float64, calm bool) {
	if e.mean == 0 {
		e.mean = x
	}
	e.n = min(e.n+1, 20)
	gain := max(1/(e.n+1), 0.05)
	if !calm && x > e.mean {
		gain /= 5
	}
	e.mean += gain * (x - e.mean)
}

func (b *Balancer) kind(class, kind int) *estimate {
	for len(b.byKind[class]) <= kind {
		b.byKind[class] = append(b.byKind[class], estimate{mean: b.service[class].mean})
	}
	return &b.byKind[class][kind]
}

// expected is the service time of one request: its class's, in proportion to its hint if it has one.
func (b *Balancer) expected(r *request) time.Duration {
	mean := b.service[r.Class].mean
	if h := &b.hinted[r.Class]; r.Work > 0 && h.mean > 0 {
		mean *= r.Work.Seconds() / h.mean
	}
	return time.Duration(mean * 1e9)
}

// meanService is the service time of a request here, over the classes, in seconds.
func (b *Balancer) meanService() float64 {
	sum, n := 0.0, 0.0
	for i := range b.service {
		w := b.service[i].n + 0.1
		sum, n = sum+w*b.service[i].mean, n+w
	}
	return sum / n
}

// worth is what a class earns for a second of work.
func (b *Balancer) worth(class int) float64 {
	if b.set.WorthByWork {
		return b.set.Classes[class].Worth
	}
	return b.set.Classes[class].Worth / b.service[class].mean
}

// meanWorth is the same over the mix of classes seen.
func (b *Balancer) meanWorth() float64 {
	sum, n := 0.0, 1e-9
	for i, s := range b.service {
		w := (s.n + 0.1) * s.mean
		sum, n = sum+w*b.worth(i), n+w
	}
	return max(sum/n, 1e-9)
}
