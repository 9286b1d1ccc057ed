package clusterrig

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"cresshub/internal/cluster/leaseholder"
	"cresshub/internal/cluster/ledger"
	"cresshub/internal/proxy/daemon"
	"cresshub/internal/testbed/proxystandin"
)

// SinkTotals returns the answers in the sink by key, summed over periods and corrections.
func (r *Rig) SinkTotals() map[ledger.Key]int64 {
	totals := map[ledger.Key]int64{}
	for _, entry := range r.Sink.Entries() {
		for _, line := range entry.Lines {
			totals[ledger.Key{Tenant: entry.Tenant, Class: line.Class, Answer: line.Answer}] += line.Count
		}
	}
	return totals
}

const (
	// exportPollInterval is how often the sink is asked whether it has all answers.
	exportPollInterval = 50 * time.Millisecond
	// ledgerReadAttempts and ledgerReadInterval bound the search for a member that can read the ledger.
	ledgerReadAttempts = 102
	ledgerReadInterval = 20 * time.Millisecond
)

// WaitExported waits until the sink has all answers that clients got, and then checks that it has each period
// and tenant of the ledger once and equal.
func (r *Rig) WaitExported(ctx context.Context, clients *Clients, limit time.Duration) error {
	err := poll(ctx, limit, exportPollInterval, func() error { return clients.Check(r.SinkTotals()) })
	if err != nil {
		return fmt.Errorf("of %d answers the ledger counts %d: the sink: %w", clients.TotalAnswers(),
			r.ledgerAnswers(), err)
	}
	if _, _, err := r.Sink.Audit(); err != nil {
		return err
	}
	return r.checkSinkAgainstLedger()
}

// ledgerAnswers returns how many answers the ledger counts, read at any member; -1 if none can read it.
func (r *Rig) ledgerAnswers() int64 {
	for _, m := range r.Running() {
		var page daemon.LedgerPage
		if m.GetJSON("/_ledger", &page) == nil && page.Ledger != nil {
			return page.Ledger.Stats.Answers
		}
	}
	return -1
}

// checkSinkAgainstLedger checks that the sink's entries equal the ledger's rows, period by period.
func (r *Rig) checkSinkAgainstLedger() error {
	snapshot, err := r.readLedger()
	if err != nil {
		return err
	}
	entries := r.Sink.Entries()
	for _, period := range snapshot.usage.Periods {
		if period.ID > snapshot.exported {
			continue
		}
		for _, want := range leaseholder.PeriodEntries(period.ID, period.Rows) {
			if got, ok := entries[want.ID]; !ok || !equalItems(got, want) {
				return fmt.Errorf("period %d, %s: the sink has %+v, the ledger %+v", period.ID, want.Tenant, got, want)
			}
		}
	}
	return nil
}

// equalItems reports whether a sink entry has the items of an export entry, in the same order.
func equalItems(got proxystandin.SinkEntry, want leaseholder.Entry) bool {
	equal := func(line proxystandin.SinkLine, item leaseholder.LineItem) bool {
		return line == proxystandin.SinkLine{Class: item.Class, Answer: item.Answer, Count: item.Count,
			BytesIn: item.BytesIn, BytesOut: item.BytesOut}
	}
	return slices.EqualFunc(got.Lines, want.Items, equal)
}

// ledgerSnapshot is the ledger as one member shows it.
type ledgerSnapshot struct {
	exported uint64       // the last exported period, read before usage
	usage    *ledger.View // of all periods
}

// readLedger reads the last exported period and then the ledger, at one member after the other until one can.
func (r *Rig) readLedger() (*ledgerSnapshot, error) {
	var page daemon.LedgerPage
	var err error
	for attempt := range ledgerReadAttempts {
		running := r.Running()
		m := running[attempt%len(running)]
		var owner leaseholder.Page
		if owner, err = OwnerPage(m); err == nil {
			err = m.GetJSON("/_ledger", &page)
		}
		if err == nil && page.Ledger != nil {
			return &ledgerSnapshot{exported: owner.Store.LastExported, usage: page.Ledger}, nil
		}
		time.Sleep(ledgerReadInterval)
	}
	if err == nil {
		err = errors.New(page.Problem)
	}
	return nil, fmt.Errorf("the ledger can't be read: %w", err)
}
