package ledger

import (
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// Result is the outcome of a command.
type Result struct {
	Status string `json:"status"`
	Index  uint64 `json:"index"`            // of the command
	Period uint64 `json:"period,omitempty"` // the open period, or the one that was closed or corrected
}

// Values of Result.Status.
const (
	StatusCounted          = "counted"
	StatusDuplicate        = "duplicate" // it was applied before
	StatusStaleIncarnation = "past"      // of an incarnation before the member's latest: never counted
	StatusClosed           = "closed"
	StatusCorrected        = "corrected"
	StatusRejected         = "refused"
)

// String formats the result for messages.
func (r Result) String() string {
	return fmt.Sprintf("%s at %d in period %d", r.Status, r.Index, r.Period)
}

// Apply applies the command at an index of the log. A command that doesn't decode is counted and changes
// nothing else, so that every replica decides the same.
func (l *Ledger) Apply(index uint64, data []byte) Result {
	l.appliedIndex = index
	if len(data) == 0 {
		return l.reject()
	}
	switch data[0] {
	case kindBatch:
		if b, err := DecodeBatch(data); err == nil {
			return l.applyBatch(b)
		}
	case kindClose:
		var c ClosePeriod
		if codec.NewDecoderBytes(data[1:], msgpackHandle).Decode(&c) == nil {
			return l.applyClose(&c)
		}
	case kindCorrection:
		if c, ok := DecodeCorrection(data); ok {
			return l.applyCorrection(&c)
		}
	}
	return l.reject()
}

func (l *Ledger) reject() Result {
	l.stats.Rejected++
	return l.result(StatusRejected, 0)
}

// result is the outcome of the command being applied.
func (l *Ledger) result(status string, period uint64) Result {
	return Result{Status: status, Index: l.appliedIndex, Period: period}
}

func (l *Ledger) applyBatch(b *Batch) Result {
	open := l.OpenPeriod()
	if b.Member == "" || b.Seq == 0 {
		l.stats.Rejected++
		return l.result(StatusRejected, open)
	}
	m := l.members[b.Member]
	switch {
	case m == nil:
		l.evictMember()
		m = &member{}
		l.members[b.Member] = m
	case b.Incarnation < m.incarnation:
		l.stats.StaleIncarnations++
		return l.result(StatusStaleIncarnation, open)
	case b.Incarnation == m.incarnation && b.Seq <= m.seq:
		l.stats.Duplicates++
		return l.result(StatusDuplicate, open)
	}
	last := m.seq
	if b.Incarnation != m.incarnation {
		last = 0
	}
	l.stats.Gaps += int64(b.Seq - last - 1)
	m.incarnation, m.seq, m.index = b.Incarnation, b.Seq, l.appliedIndex
	l.stats.Batches++
	for i := range b.Usage {
		l.countUsage(&b.Usage[i])
	}
	return l.result(StatusCounted, open)
}

// countUsage counts the usage of one key: in the open period, or as a correction in the closed period in
// which a request was answered first.
func (l *Ledger) countUsage(u *KeyUsage) {
	open := l.openPeriod()
	if u.Count > 0 {
		l.stats.Answers += u.Count
		open.count(l.boundedKey(open, u.Key), u.Usage)
	}
	for i, id := range u.IDs {
		single := Usage{Count: 1, BytesIn: u.BytesInByID[i], BytesOut: u.BytesOutByID[i]}
		l.stats.Answers++
		if p := l.periodOf(id); p != nil && p != open {
			l.stats.Late++
			p.correct(l.boundedKey(p, u.Key), single)
			continue
		}
		open.count(l.boundedKey(open, u.Key), single)
		l.rememberID(open, id)
	}
}

func (l *Ledger) applyClose(c *ClosePeriod) Result {
	open := l.openPeriod()
	if c.Period != open.id {
		return l.result(StatusDuplicate, open.id)
	}
	open.closedMS, open.closedAtIndex = max(c.AtMS, 1), l.appliedIndex
	l.periods = append(l.periods, newPeriod(open.id+1))
	if i := len(l.periods) - 1 - l.settings.DedupPeriods; i >= 0 {
		l.forgetIDs(l.periods[i])
	}
	for len(l.periods) > l.settings.MaxPeriods+1 && (l.mayDrop == nil || l.mayDrop(l.periods[0].id)) {
		l.forgetIDs(l.periods[0])
		l.periods = l.periods[1:]
	}
	return l.result(StatusClosed, c.Period)
}

func (l *Ledger) applyCorrection(c *Correction) Result {
	p := l.period(c.Period)
	switch {
	case p == nil || p.isOpen() || c.ID == "" || c.Tenant == "":
		l.stats.Rejected++
		return l.result(StatusRejected, c.Period)
	case p.correctionIDs[c.ID]:
		return l.result(StatusDuplicate, c.Period)
	}
	p.correctionIDs[c.ID] = true
	p.correct(c.Key, c.Usage)
	return l.result(StatusCorrected, c.Period)
}
