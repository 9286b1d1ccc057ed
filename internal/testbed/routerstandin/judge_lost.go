package routerstandin

import "time"

const (
	// graceMargin is how long beyond the grace period a planned stop may still cost requests.
	graceMargin = time.Second
	// acceptTime is how long after SIGTERM a request may be sent that a server may still work on when the
	// process has to end; from half of the grace period on, that excuses its loss.
	acceptTime = 3 * time.Second
	// changeMargin is added to the time until an acknowledged configuration is in force.
	changeMargin = time.Second
	// changeLossFactor is how many times as often a machine may lose requests beside a change of configuration
	// as at other times.
	changeLossFactor = 3
	// usedUp is the fraction of its time after which a request may be lost beside a change of configuration.
	usedUp = 0.7
)

// lostWithoutReason reports whether an attempt was read and lost its connection though no server broke it
// off, its time was not over, and no fault was injected.
func (o *Observations) lostWithoutReason(attempt *attempt) bool {
	switch {
	case !attempt.connLost || attempt.fullySentAt.IsZero() || attempt.aborted:
		return false
	case !attempt.endedAt.Before(attempt.deadline):
		return false
	case len(attempt.arrivals) == 0 && o.ranBetween(attempt.fullySentAt, attempt.endedAt) <= o.bounds.Lost:
		return false
	}
	unplanned := func(fault machineFault) bool { return fault.planned == notPlanned }
	return !o.anyFault(attempt.sentAt, attempt.endedAt, unplanned)
}

// lostToPlannedWork reports whether an attempt was lost to a planned stop or a reload of its machine.
func (o *Observations) lostToPlannedWork(attempt *attempt) bool {
	if !o.lostWithoutReason(attempt) {
		return false
	}
	for _, fault := range o.faults {
		if fault.machine == attempt.machine && !fault.at.After(attempt.endedAt) && o.explainsLoss(fault, attempt) {
			return true
		}
	}
	return false
}

// explainsLoss reports whether planned work at the machine of an attempt must not have cost its connection.
func (o *Observations) explainsLoss(fault machineFault, attempt *attempt) bool {
	switch fault.planned {
	case plannedTermination:
		return attempt.sentAt.Before(fault.at.Add(o.bounds.Grace+graceMargin)) &&
			!o.stillAtWork(fault, attempt)
	case plannedReload:
		return attempt.sentAt.Before(fault.at.Add(o.bounds.Config))
	}
	return false
}

// stillAtWork reports whether a server worked so late on an attempt that the process could not wait for it.
func (o *Observations) stillAtWork(termination machineFault, attempt *attempt) bool {
	if attempt.sentAt.After(termination.at.Add(acceptTime)) {
		return false
	}
	for _, a := range attempt.arrivals {
		if a.endedAt.IsZero() || a.endedAt.After(termination.at.Add(o.bounds.Grace/2)) {
			return true
		}
	}
	return false
}

// lossCount counts the attempts that a machine has read, and those that were lost without a reason.
type lossCount struct{ all, lost int }

// judgeLossesBesideChanges checks that machines lose no more requests beside changes of the configuration
// than at other times; the lock is held.
func (o *Observations) judgeLossesBesideChanges() {
	beside, other := map[string]*lossCount{}, map[string]*lossCount{}
	for _, attempt := range o.attemptsInOrder {
		if attempt.fullySentAt.IsZero() || attempt.endedAt.IsZero() {
			continue
		}
		counts := other
		if o.besideChange(attempt) {
			counts = beside
		}
		count := counts[attempt.machine]
		if count == nil {
			count = &lossCount{}
			counts[attempt.machine] = count
		}
		count.all++
		if o.lostWithoutReason(attempt) && !attempt.nearlyOver() {
			count.lost++
		}
	}
	for machine, change := range beside {
		calm := other[machine]
		if calm != nil && change.lost*calm.all > changeLossFactor*calm.lost*change.all {
			o.verdicts.record(RuleLost,
				"%s lost %d of %d requests beside changes of the configuration, %d of %d at other times", machine,
				change.lost, change.all, calm.lost, calm.all)
		}
	}
}

// nearlyOver reports whether an attempt that has ended had used up most of its time.
func (a *attempt) nearlyOver() bool {
	return float64(a.endedAt.Sub(a.sentAt)) >= usedUp*float64(a.deadline.Sub(a.sentAt))
}

// besideChange reports whether a configuration came into force while an attempt was under way.
func (o *Observations) besideChange(attempt *attempt) bool {
	for _, v := range o.configs {
		if v.rejected || v.ackedAt.IsZero() || v.sentAt.After(attempt.endedAt) {
			continue
		}
		if attempt.sentAt.Before(v.ackedAt.Add(o.bounds.Config + changeMargin)) {
			return true
		}
	}
	return false
}
