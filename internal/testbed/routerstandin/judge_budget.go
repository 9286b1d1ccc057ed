package routerstandin

import (
	"cmp"
	"slices"
	"time"
)

// serviceLoad is what the retry budget of a service is judged by.
type serviceLoad struct {
	requests []time.Time // when clients sent them
	repeats  []time.Time // arrivals past the first of each request
}

// judgeBudgets checks each service's repeats in every window that ends with a repeat.
func (o *Observations) judgeBudgets() {
	for service, load := range o.loads() {
		slices.SortFunc(load.repeats, time.Time.Compare)
		slices.SortFunc(load.requests, time.Time.Compare)
		for _, end := range load.repeats {
			o.judgeWindow(service, load, end)
		}
	}
}

func (o *Observations) loads() map[string]*serviceLoad {
	loads := map[string]*serviceLoad{}
	of := func(service string) *serviceLoad {
		if loads[service] == nil {
			loads[service] = &serviceLoad{}
		}
		return loads[service]
	}
	for _, attempt := range o.attemptsInOrder {
		if service := o.serviceOf(attempt); service != "" {
			of(service).requests = append(of(service).requests, attempt.sentAt)
		}
		for i, a := range counted(attempt) {
			if i > 0 {
				of(a.service).repeats = append(of(a.service).repeats, a.at)
			}
		}
	}
	return loads
}

// serviceOf names the service that an attempt was for: the one it reached, or the first that its route names.
func (o *Observations) serviceOf(attempt *attempt) string {
	if len(attempt.arrivals) > 0 {
		return attempt.arrivals[0].service
	}
	for _, v := range slices.Backward(o.configs) {
		if route := routeOf(v.config, attempt.request); route != nil {
			return route.Targets[0].Service
		}
	}
	return ""
}

// judgeWindow compares the repeats of the window that ends then with the requests of that window, of the one
// before it, or of the one half a window earlier, whichever has the most.
func (o *Observations) judgeWindow(service string, load *serviceLoad, end time.Time) {
	window := o.bounds.RetryWindow
	within := func(times []time.Time, back time.Duration) int {
		until := end.Add(-back)
		return countAfter(times, until.Add(-window)) - countAfter(times, until)
	}
	requests := max(within(load.requests, 0), within(load.requests, window/2), within(load.requests, window))
	allowed := o.bounds.RetryRatio*float64(requests) + o.bounds.RetrySlack
	if repeats := within(load.repeats, 0); float64(repeats) > allowed {
		o.verdicts.record(RuleBudget, "service %s got %d retries in %v, %.0f are allowed for %d requests", service,
			repeats, window, allowed, requests)
	}
}

// countAfter returns how many of the sorted times come after a point in time.
func countAfter(times []time.Time, point time.Time) int {
	at, _ := slices.BinarySearchFunc(times, point, func(t, point time.Time) int {
		return cmp.Or(t.Compare(point), -1) // equal times are not after it
	})
	return len(times) - at
}
