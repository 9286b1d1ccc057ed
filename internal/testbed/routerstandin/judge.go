package routerstandin

import "time"

const (
	// deniedLeast and deniedPart bound how many proper requests may end with a proxy's own 4xx.
	deniedLeast = 5
	deniedPart  = 500
	// unheardPart of the leaving servers may go without an acknowledgement.
	unheardPart = 5
	// mostKeptLost is how many requests of kept connections may get no answer though a sound server had them.
	mostKeptLost = 3
	// servedPart is the least part of the requests that is served after a recovery.
	servedPart = 4
	// afterGrace is how long after the grace planned work still counts.
	afterGrace = time.Second
)

// Judge closes the observations and returns every rule with its breaks. Nothing may run any more.
func (o *Observations) Judge() []Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.judged {
		o.judged = true
		for _, t := range o.inOrder {
			o.judgeTry(t)
		}
		o.judgeBudgets()
		o.judgeRecovery()
		o.judgeCounts()
	}
	return o.verdicts.list()
}

// judgeTry checks what is known only once a try is over.
func (o *Observations) judgeTry(t *try) {
	kind := t.request.Kind
	if promisesNoRun(t.status) && len(t.runs) > 0 && !kind.idempotent() {
		o.verdicts.broken(Refused, "try %s of kind %s was answered %d and ran at %s", t.id, kind.Name, t.status,
			t.runs[0].server)
	}
	if most := o.mostTries(t); most > 0 && len(counted(t)) > most {
		o.verdicts.broken(Tries, "try %s of kind %s reached %d servers, %d are allowed", t.id, kind.Name,
			len(counted(t)), most)
	}
	if t.cut && t.kept && t.status == 0 && len(t.arrivals) > 0 && !t.broken && t.ended.Before(t.until) &&
		o.inTouch(t.machine, t.sent, t.ended) {
		o.keptLost++
	}
	if t.cut && o.lostByPlan(t) {
		o.verdicts.broken(Lost, "try %s of kind %s was read by %s and its connection ended %v after its last byte",
			t.id, kind.Name, t.machine, t.ended.Sub(t.lastByte).Round(time.Millisecond))
	}
}

// promisesNoRun tells whether a status says that the request has not run and never will.
func promisesNoRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// counted returns the arrivals that count among the attempts of a try.
func counted(t *try) []*arrival {
	var all []*arrival
	for _, a := range t.arrivals {
		if !a.free {
			all = append(all, a)
		}
	}
	return all
}

// mostTries is the largest number of servers that any configuration allows a try to be sent to.
func (o *Observations) mostTries(t *try) int {
	most := 0
	for _, v := range o.configs {
		if route := routeOf(v.config, t.request); route != nil {
			most = max(most, route.MaxAttempts)
		}
	}
	return most
}

// lostByPlan tells whether a try that was cut fell to a planned stop alone.
func (o *Observations) lostByPlan(t *try) bool {
	if t.lastByte.IsZero() || t.broken || !t.ended.Before(t.until) {
		return false
	}
	if len(t.arrivals) == 0 && t.ended.Sub(t.lastByte) <= o.bounds.Lost {
		return false
	}
	planned := false
	for _, trouble := range o.troubles {
		over := trouble.at.Add(o.bounds.Grace + afterGrace)
		if trouble.planned && trouble.machine == t.machine && !trouble.at.After(t.ended) && t.sent.Before(over) {
			planned = true
		}
	}
	unplanned := func(trouble trouble) bool { return !trouble.planned }
	return planned && !o.anyTrouble(t.sent, t.ended, unplanned)
}

// judgeRecovery checks that requests are served again after all processes were lost.
func (o *Observations) judgeRecovery() {
	if o.backAt.IsZero() {
		return
	}
	before, after := share{}, share{}
	for _, t := range o.inOrder {
		switch {
		case t.probe:
		case t.sent.After(o.backAt.Add(o.bounds.Recover)):
			after.add(t.served)
		case t.sent.Before(o.backAt):
			before.add(t.served)
		}
	}
	if before.enough() && after.all > 0 && !after.enough() {
		o.verdicts.broken(Recover, "%d of %d requests were served from %v on after all processes were back",
			after.good, after.all, o.bounds.Recover)
	}
}

// share counts how many of some requests were served.
type share struct{ good, all int }

func (s *share) add(good bool) {
	s.all++
	if good {
		s.good++
	}
}

func (s *share) enough() bool { return servedPart*s.good >= s.all }

// judgeCounts checks the rules that allow a number of cases.
func (o *Observations) judgeCounts() {
	if allowed := deniedLeast + len(o.inOrder)/deniedPart; o.denied > allowed {
		o.verdicts.broken(Denied, "%d proper requests ended with a 4xx of a proxy, %d are allowed", o.denied,
			allowed)
	}
	if o.keptLost > mostKeptLost {
		o.verdicts.broken(Lost, "%d requests of kept connections reached a sound server and got no answer, %d may",
			o.keptLost, mostKeptLost)
	}
	if o.unheard*unheardPart > o.leaving {
		o.verdicts.broken(Acks, "%d of %d servers that left in a calm time were not acknowledged", o.unheard,
			o.leaving)
	}
}

// serverLeft notes how the departure of a server went that began at a time.
func (o *Observations) serverLeft(began time.Time, acknowledged bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.coreStable(began, time.Now()) {
		return
	}
	o.leaving++
	if !acknowledged {
		o.unheard++
	}
}
