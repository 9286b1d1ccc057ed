package routerstandin

import "time"

const (
	// minDenied, and one in deniedOneIn attempts, is how many valid requests may end with a proxy's own 4xx.
	minDenied   = 5
	deniedOneIn = 500
	// unackedOneIn: one in so many draining servers may stay without an acknowledgement.
	unackedOneIn = 5
	// maxLostOnReusedConns is how many requests on reused connections may get no answer from a healthy server.
	maxLostOnReusedConns = 3
	// servedOneIn: at least one in so many requests is served after a recovery.
	servedOneIn = 4
)

// Judge makes the checks that need all observations, once, and returns the verdicts on all rules. No stand-in
// may run any more.
func (o *Observations) Judge() []Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.judged {
		o.judged = true
		for _, attempt := range o.attemptsInOrder {
			o.judgeAttempt(attempt)
		}
		o.judgeBudgets()
		o.judgeDeadlines()
		o.judgeRouteTimeouts()
		o.judgeDisconnects()
		o.judgeLossesBesideChanges()
		o.judgeRecovery()
		o.judgeCounts()
	}
	return o.verdicts.list()
}

// judgeAttempt checks the rules that need the end of an attempt; the lock is held.
func (o *Observations) judgeAttempt(attempt *attempt) {
	kind := attempt.request.Kind
	if guaranteesNotRun(attempt.status) && len(attempt.runs) > 0 && !kind.idempotent() {
		o.verdicts.record(RuleRefused, "attempt %s of kind %s was answered %d and ran at %s", attempt.id, kind.Name,
			attempt.status, attempt.runs[0].server)
	}
	if maxAttempts := o.maxAttempts(attempt); maxAttempts > 0 && len(counted(attempt)) > maxAttempts {
		o.verdicts.record(RuleAttempts, "attempt %s of kind %s reached %d servers, %d are allowed", attempt.id,
			kind.Name, len(counted(attempt)), maxAttempts)
	}
	if o.lostOnReusedConn(attempt) {
		o.lostOnReusedConns++
	}
	if o.lostToPlannedWork(attempt) {
		o.verdicts.record(RuleLost,
			"attempt %s of kind %s was read by %s and its connection ended %v after its last byte", attempt.id,
			kind.Name, attempt.machine, attempt.endedAt.Sub(attempt.fullySentAt).Round(time.Millisecond))
	}
}

// lostOnReusedConn reports whether an attempt got no answer on a reused connection though a server had it and
// nobody gave it up.
func (o *Observations) lostOnReusedConn(attempt *attempt) bool {
	answered := !attempt.connLost || attempt.status != 0
	givenUp := attempt.aborted || !attempt.endedAt.Before(attempt.deadline)
	return attempt.reusedConn && len(attempt.arrivals) > 0 && !answered && !givenUp &&
		o.inTouch(attempt.machine, attempt.sentAt, attempt.endedAt)
}

// guaranteesNotRun reports whether a status guarantees that the request has not run and never will.
func guaranteesNotRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// counted returns the arrivals that count against the limit of servers for one attempt.
func counted(attempt *attempt) []*arrival {
	var all []*arrival
	for _, a := range attempt.arrivals {
		if !a.uncounted {
			all = append(all, a)
		}
	}
	return all
}

// maxAttempts returns the largest number of servers that any configuration allows an attempt to reach.
func (o *Observations) maxAttempts(attempt *attempt) int {
	maxAttempts := 0
	for _, v := range o.configs {
		if route := routeOf(v.config, attempt.request); route != nil {
			maxAttempts = max(maxAttempts, route.MaxAttempts)
		}
	}
	return maxAttempts
}

// judgeRecovery checks that requests are served again after the loss of all processes; the lock is held.
func (o *Observations) judgeRecovery() {
	if o.allRestartedAt.IsZero() {
		return
	}
	before, after := servedCount{}, servedCount{}
	for _, attempt := range o.attemptsInOrder {
		switch {
		case attempt.probe:
		case attempt.sentAt.After(o.allRestartedAt.Add(o.bounds.Recovery)):
			after.add(attempt.served)
		case attempt.sentAt.Before(o.allRestartedAt):
			before.add(attempt.served)
		}
	}
	if before.enough() && after.all > 0 && !after.enough() {
		o.verdicts.record(RuleRecover, "%d of %d requests were served from %v on after all processes were back",
			after.good, after.all, o.bounds.Recovery)
	}
}

// servedCount counts requests and those of them that were served.
type servedCount struct{ good, all int }

func (s *servedCount) add(good bool) {
	s.all++
	if good {
		s.good++
	}
}

func (s *servedCount) enough() bool { return servedOneIn*s.good >= s.all }

// judgeCounts checks the rules that allow a limited number of cases; the lock is held.
func (o *Observations) judgeCounts() {
	if allowed := minDenied + len(o.attemptsInOrder)/deniedOneIn; o.denials > allowed {
		o.verdicts.record(RuleDenied, "%d proper requests ended with a 4xx of a proxy, %d are allowed", o.denials,
			allowed)
	}
	if o.lostOnReusedConns > maxLostOnReusedConns {
		o.verdicts.record(RuleLost,
			"%d requests of kept connections reached a sound server and got no answer, %d may", o.lostOnReusedConns,
			maxLostOnReusedConns)
	}
	if o.unackedDrains*unackedOneIn > o.drains {
		o.verdicts.record(RuleAcks, "%d of %d servers that left in a calm time were not acknowledged",
			o.unackedDrains, o.drains)
	}
}

// recordDrain records a drain that began at a time, and whether it was acknowledged.
func (o *Observations) recordDrain(began time.Time, acknowledged bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.replicasStable(began, time.Now()) {
		return
	}
	o.drains++
	if !acknowledged {
		o.unackedDrains++
	}
}
