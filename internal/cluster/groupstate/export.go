package groupstate

import "cresshub/internal/cluster/ledger"

const (
	// maxUnexportedPeriods bounds the closed periods that are retained until their export: two weeks of periods
	// of one minute. Beyond it the oldest are dropped, which Stats.DroppedPeriods counts.
	maxUnexportedPeriods = 20_160
	// maxPendingCorrections bounds the corrections that wait for their export. Beyond it corrections of frozen
	// periods are rejected.
	maxPendingCorrections = 10_000
)

// openExport is an export whose ExportIntent was applied and whose ExportDone was not, with the rows frozen
// as they are sent. It is stored in snapshots with its fields in this order, see package logcodec.
type openExport struct {
	Period, Token uint64
	Rows          []ledger.Row
}

// PendingCorrection is a correction that arrived after the rows of its period had been frozen. It is exported
// as an entry of its own.
type PendingCorrection struct {
	Seq uint64 `json:"seq"` // from 1, without gaps
	ledger.Correction
}

// mayDrop reports whether the ledger may drop a closed period that exceeds the number it retains: the period
// is exported, no export has ever begun, or too many periods wait for their export and this one isn't being
// sent. It counts the periods dropped before their export. The ledger calls it for its oldest period when it
// closes a period, and drops that oldest period if the result is true.
func (m *Machine) mayDrop(period uint64) bool {
	if !m.state.ExportStarted || period <= m.state.LastExported {
		return true
	}
	sending := m.state.OpenExport != nil && m.state.OpenExport.Period == period
	if m.Ledger.OpenPeriod()-period > maxUnexportedPeriods && !sending {
		m.state.Stats.DroppedPeriods++
		return true
	}
	return false
}

// lastFrozenPeriod returns the newest period whose rows are frozen: the one being sent, or else the last one
// exported.
func (m *Machine) lastFrozenPeriod() uint64 {
	if m.state.OpenExport != nil {
		return m.state.OpenExport.Period
	}
	return m.state.LastExported
}

// nextDuePeriod returns the oldest period that is not exported, 0 if that one is not final yet.
func (m *Machine) nextDuePeriod() uint64 {
	next := m.nextUnexportedPeriod()
	if next > m.Ledger.FinalPeriod() {
		return 0
	}
	return next
}

// nextUnexportedPeriod returns the oldest period that the ledger retains and that is not exported.
func (m *Machine) nextUnexportedPeriod() uint64 {
	return max(m.state.LastExported+1, m.Ledger.FirstPeriod())
}

// applyExportIntent opens the export of the next due period and freezes its rows.
func (m *Machine) applyExportIntent(cmd *ExportIntent) Result {
	if !m.owns(cmd.Member, cmd.Token) {
		return m.rejectStale(cmd.Member, cmd.Token)
	}
	switch {
	case m.state.OpenExport != nil && m.state.OpenExport.Period == cmd.Period:
		return accepted // a duplicate: the frozen rows stay as they are
	case m.state.OpenExport != nil:
		return m.reject("the export of period %d is still open", m.state.OpenExport.Period)
	case cmd.Period == 0 || cmd.Period != m.nextDuePeriod():
		return m.reject("period %d is not the next to export, which is %d", cmd.Period, m.nextDuePeriod())
	}
	rows, ok := m.Ledger.Rows(cmd.Period)
	if !ok {
		return m.reject("ledger has no period %d", cmd.Period)
	}
	m.state.ExportStarted = true
	m.state.OpenExport = &openExport{Period: cmd.Period, Token: cmd.Token, Rows: rows}
	return accepted
}

// applyExportDone ends the export of the open period.
func (m *Machine) applyExportDone(cmd *ExportDone) Result {
	if !m.owns(cmd.Member, cmd.Token) {
		return m.rejectStale(cmd.Member, cmd.Token)
	}
	switch {
	case m.state.OpenExport == nil && cmd.Period == m.state.LastExported:
		return accepted // a duplicate
	case m.state.OpenExport == nil || m.state.OpenExport.Period != cmd.Period:
		return m.reject("no export of period %d is open", cmd.Period)
	}
	m.state.LastExported, m.state.OpenExport = cmd.Period, nil
	m.state.Stats.ExportedPeriods++
	return accepted
}

// applyLateCorrection applies a correction of a frozen period and adds it to the pending corrections, which
// are exported as entries of their own.
func (m *Machine) applyLateCorrection(index uint64, data []byte, correction ledger.Correction) ledger.Result {
	if len(m.state.PendingCorrections) >= maxPendingCorrections {
		m.state.Stats.Rejected++
		return ledger.Result{Status: ledger.StatusRejected, Index: index, Period: correction.Period}
	}
	result := m.Ledger.Apply(index, data)
	if result.Status == ledger.StatusCorrected {
		m.state.LastCorrectionSeq++
		m.state.PendingCorrections = append(m.state.PendingCorrections,
			PendingCorrection{m.state.LastCorrectionSeq, correction})
	}
	return result
}

// applyCorrectionsExported drops the pending corrections that the sink has acknowledged.
func (m *Machine) applyCorrectionsExported(cmd *CorrectionsExported) Result {
	if !m.owns(cmd.Member, cmd.Token) {
		return m.rejectStale(cmd.Member, cmd.Token)
	}
	if cmd.UpToSeq > m.state.LastCorrectionSeq {
		return m.reject("no correction %d was added", cmd.UpToSeq)
	}
	for len(m.state.PendingCorrections) > 0 && m.state.PendingCorrections[0].Seq <= cmd.UpToSeq {
		m.state.PendingCorrections = m.state.PendingCorrections[1:]
		m.state.Stats.ExportedCorrections++
	}
	return accepted
}
