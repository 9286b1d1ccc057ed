package ledger

import (
	"fmt"

	"cresshub/internal/cluster/logcodec"
)

// Result is the outcome of a command.
type Result struct {
	Status string `json:"status"`
	Index  uint64 `json:"index"`            // index of the command in the log
	Period uint64 `json:"period,omitempty"` // the open period, or the one to be closed or corrected
}

// Values of Result.Status.
const (
	StatusCounted          = "counted"
	StatusDuplicate        = "duplicate" // the command was applied before
	StatusStaleIncarnation = "past"      // a batch of an earlier incarnation of its member: never counted
	StatusClosed           = "closed"
	StatusCorrected        = "corrected"
	StatusRejected         = "refused"
)

// String formats the result for logs and error messages.
func (r Result) String() string {
	return fmt.Sprintf("%s at %d in period %d", r.Status, r.Index, r.Period)
}

// Apply applies the command at an index of the log. A command that doesn't decode changes nothing except
// Stats.Rejected and the applied index, so that every replica ends in the same state.
func (l *Ledger) Apply(index uint64, data []byte) Result {
	l.appliedIndex = index
	if len(data) == 0 {
		return l.reject()
	}
	switch data[0] {
	case kindBatch:
		if batch, err := DecodeBatch(data); err == nil {
			return l.applyBatch(batch)
		}
	case kindClose:
		var cmd ClosePeriod
		if logcodec.DecodeCommand(data, &cmd) == nil {
			return l.applyClose(&cmd)
		}
	case kindCorrection:
		if correction, ok := DecodeCorrection(data); ok {
			return l.applyCorrection(&correction)
		}
	}
	return l.reject()
}

// reject counts a command that doesn't decode or is of an unknown kind.
func (l *Ledger) reject() Result {
	l.stats.Rejected++
	return l.result(StatusRejected, 0)
}

// result returns the outcome of the command that is being applied.
func (l *Ledger) result(status string, period uint64) Result {
	return Result{Status: status, Index: l.appliedIndex, Period: period}
}

// applyBatch counts the usage in a batch, unless this batch or a later one of its member was counted before.
func (l *Ledger) applyBatch(batch *Batch) Result {
	open := l.OpenPeriod()
	if batch.Member == "" || batch.Seq == 0 {
		l.stats.Rejected++
		return l.result(StatusRejected, open)
	}
	sender := l.members[batch.Member]
	switch {
	case sender == nil:
		l.evictMember()
		sender = &member{}
		l.members[batch.Member] = sender
	case batch.Incarnation < sender.incarnation:
		l.stats.StaleIncarnations++
		return l.result(StatusStaleIncarnation, open)
	case batch.Incarnation == sender.incarnation && batch.Seq <= sender.seq:
		l.stats.Duplicates++
		return l.result(StatusDuplicate, open)
	}
	l.recordBatch(sender, batch)
	for i := range batch.Usage {
		l.countUsage(&batch.Usage[i])
	}
	return l.result(StatusCounted, open)
}

// recordBatch records a batch as the latest of its member, and counts the sequence numbers that are missing
// before it.
func (l *Ledger) recordBatch(sender *member, batch *Batch) {
	previousSeq := sender.seq
	if batch.Incarnation != sender.incarnation {
		previousSeq = 0
	}
	l.stats.Gaps += int64(batch.Seq - previousSeq - 1)
	l.stats.Batches++
	sender.incarnation, sender.seq, sender.index = batch.Incarnation, batch.Seq, l.appliedIndex
}

// countUsage counts the usage of one key. It counts in the open period, except for an answer to a request
// that was first answered in a period that is closed by now: that one counts there, as a correction.
func (l *Ledger) countUsage(usage *KeyUsage) {
	open := l.openPeriod()
	if usage.Count > 0 {
		l.stats.Answers += usage.Count
		open.count(l.boundedKey(open, usage.Key), usage.Usage)
	}
	for i, id := range usage.IDs {
		single := Usage{Count: 1, BytesIn: usage.BytesInByID[i], BytesOut: usage.BytesOutByID[i]}
		l.stats.Answers++
		if closed := l.periodOf(id); closed != nil && closed != open {
			l.stats.Late++
			closed.correct(l.boundedKey(closed, usage.Key), single)
			continue
		}
		open.count(l.boundedKey(open, usage.Key), single)
		l.rememberID(open, id)
	}
}

// applyClose closes the open period and opens the next one. Periods beyond Settings.MaxPeriods are dropped,
// and the request ids of periods beyond Settings.DedupPeriods are forgotten.
func (l *Ledger) applyClose(cmd *ClosePeriod) Result {
	open := l.openPeriod()
	if cmd.Period != open.id {
		return l.result(StatusDuplicate, open.id)
	}
	open.closedMS, open.closedAtIndex = max(cmd.AtMS, 1), l.appliedIndex
	l.periods = append(l.periods, newPeriod(open.id+1))
	if i := len(l.periods) - 1 - l.settings.DedupPeriods; i >= 0 {
		l.forgetIDs(l.periods[i])
	}
	for l.mayDropOldest() {
		l.forgetIDs(l.periods[0])
		l.periods = l.periods[1:]
	}
	return l.result(StatusClosed, cmd.Period)
}

// mayDropOldest reports whether the oldest period is beyond Settings.MaxPeriods and may be dropped. It calls
// Ledger.mayDrop only for a period beyond that limit, since that function counts periods that are dropped.
func (l *Ledger) mayDropOldest() bool {
	if len(l.periods) <= l.settings.MaxPeriods+1 {
		return false
	}
	return l.mayDrop == nil || l.mayDrop(l.periods[0].id)
}

// applyCorrection adds a correction to a closed period, unless one with the same id was added to it before.
func (l *Ledger) applyCorrection(correction *Correction) Result {
	closed := l.period(correction.Period)
	switch {
	case closed == nil || closed.isOpen() || correction.ID == "" || correction.Tenant == "":
		l.stats.Rejected++
		return l.result(StatusRejected, correction.Period)
	case closed.correctionIDs[correction.ID]:
		return l.result(StatusDuplicate, correction.Period)
	}
	closed.correctionIDs[correction.ID] = true
	closed.correct(correction.Key, correction.Usage)
	return l.result(StatusCorrected, correction.Period)
}
