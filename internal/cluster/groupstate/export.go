package groupstate

import "cresshub/internal/cluster/ledger"

const (
	// maxUnexportedPeriods bounds the closed periods that wait for their export: two weeks of minutes. Beyond
	// it the oldest are dropped, which Stats.Unsent counts.
	maxUnexportedPeriods = 20_160
	// maxPendingCorrections bounds the corrections that wait for their export. Beyond it corrections of
	// exported periods are rejected.
	maxPendingCorrections = 10_000
)

// openExport is an ExportIntent without its ExportDone, with the rows frozen as they are sent. It is stored
// in snapshots, see package logcodec.
type openExport struct {
	Period, Token uint64
	Rows          []ledger.Row
}

// PendingCorrection is a correction of a period that was sealed before it came. It is exported on its own.
type PendingCorrection struct {
	Seq uint64 `json:"seq"` // from 1, without gaps
	ledger.Correction
}

// mayDrop reports whether the ledger may drop a closed period beyond those it retains: once it is exported,
// if there was no export at all, or if too many wait. It counts the periods dropped before their export. The
// ledger calls it for its oldest period when it applies a close, and drops the period if it may.
func (m *Machine) mayDrop(period uint64) bool {
	if !m.state.ExportStarted || period <= m.state.Exported {
		return true
	}
	sending := m.state.Open != nil && m.state.Open.Period == period
	if m.Ledger.OpenPeriod()-period > maxUnexportedPeriods && !sending {
		m.state.Stats.DroppedPeriods++
		return true
	}
	return false
}

// lastSealed returns the newest period whose rows are frozen: the one being sent, else the last one exported.
func (m *Machine) lastSealed() uint64 {
	if m.state.Open != nil {
		return m.state.Open.Period
	}
	return m.state.Exported
}

// nextDue returns the next period to be exported, 0 if there is none yet.
func (m *Machine) nextDue() uint64 {
	next := m.nextUnexported()
	if next > m.Ledger.FinalPeriod() {
		return 0
	}
	return next
}

// nextUnexported returns the oldest period that is retained and not exported.
func (m *Machine) nextUnexported() uint64 { return max(m.state.Exported+1, m.Ledger.FirstPeriod()) }

// applyIntent opens the export of the next due period and freezes its rows.
func (m *Machine) applyIntent(cmd *ExportIntent) Result {
	if !m.owns(cmd.Member, cmd.Token) {
		return m.rejectStale(cmd.Member, cmd.Token)
	}
	switch {
	case m.state.Open != nil && m.state.Open.Period == cmd.Period:
		return accepted // a duplicate: what is sent remains as it was
	case m.state.Open != nil:
		return m.reject("period %d is being sent", m.state.Open.Period)
	case cmd.Period == 0 || cmd.Period != m.nextDue():
		return m.reject("period %d is not the next to be sent; that is %d", cmd.Period, m.nextDue())
	}
	rows, ok := m.Ledger.Rows(cmd.Period)
	if !ok {
		return m.reject("there is no period %d", cmd.Period)
	}
	m.state.ExportStarted = true
	m.state.Open = &openExport{Period: cmd.Period, Token: cmd.Token, Rows: rows}
	return accepted
}

// applyDone ends the export of the open period.
func (m *Machine) applyDone(cmd *ExportDone) Result {
	if !m.owns(cmd.Member, cmd.Token) {
		return m.rejectStale(cmd.Member, cmd.Token)
	}
	switch {
	case m.state.Open == nil && cmd.Period == m.state.Exported:
		return accepted // a duplicate
	case m.state.Open == nil || m.state.Open.Period != cmd.Period:
		return m.reject("period %d is not being sent", cmd.Period)
	}
	m.state.Exported, m.state.Open = cmd.Period, nil
	m.state.Stats.ExportedPeriods++
	return accepted
}

// applyCorrection applies a correction of a sealed period, which is exported on its own.
func (m *Machine) applyCorrection(index uint64, data []byte, correction ledger.Correction) ledger.Result {
	if len(m.state.Corrections) >= maxPendingCorrections {
		m.state.Stats.Rejected++
		return ledger.Result{Status: ledger.StatusRejected, Index: index, Period: correction.Period}
	}
	result := m.Ledger.Apply(index, data)
	if result.Status == ledger.StatusCorrected {
		m.state.CorrectionSeq++
		m.state.Corrections = append(m.state.Corrections, PendingCorrection{m.state.CorrectionSeq, correction})
	}
	return result
}

// applyCorrectionsSent drops the pending corrections that the sink has.
func (m *Machine) applyCorrectionsSent(cmd *CorrectionsExported) Result {
	if !m.owns(cmd.Member, cmd.Token) {
		return m.rejectStale(cmd.Member, cmd.Token)
	}
	if cmd.UpToSeq > m.state.CorrectionSeq {
		return m.reject("there is no correction %d", cmd.UpToSeq)
	}
	for len(m.state.Corrections) > 0 && m.state.Corrections[0].Seq <= cmd.UpToSeq {
		m.state.Corrections = m.state.Corrections[1:]
		m.state.Stats.ExportedCorrections++
	}
	return accepted
}
