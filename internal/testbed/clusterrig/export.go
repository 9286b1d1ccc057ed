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
	out := map[ledger.Key]int64{}
	for _, e := range r.Sink.Entries() {
		for _, l := range e.Lines {
			out[ledger.Key{Tenant: e.Tenant, Class: l.Class, Answer: l.Answer}] += l.Count
		}
	}
	return out
}

// WaitExported waits until the sink has all answers that clients got, and then checks that it has each period
// and tenant of the ledger once and equal.
func (r *Rig) WaitExported(ctx context.Context, l *Clients, limit time.Duration) error {
	want, sum := l.Answers()
	err := poll(ctx, limit, 50*time.Millisecond, func() error { return r.checkSinkTotals(want) })
	if err != nil {
		return fmt.Errorf("of %d answers the ledger counts %d: %w", sum, r.ledgerAnswers(), err)
	}
	if _, _, err := r.Sink.Audit(); err != nil {
		return err
	}
	return r.checkSinkAgainstLedger()
}

// ledgerAnswers returns how many answers the ledger counts, read at any member; -1 if none can read it.
func (r *Rig) ledgerAnswers() int64 {
	for _, m := range r.Running() {
		var p daemon.LedgerPage
		if m.GetJSON("/_ledger", &p) == nil && p.Ledger != nil {
			return p.Ledger.Stats.Answers
		}
	}
	return -1
}

// checkSinkTotals checks that the sink's totals equal the answers.
func (r *Rig) checkSinkTotals(want map[ledger.Key]int64) error {
	got := r.SinkTotals()
	for k, n := range want {
		if got[k] != n {
			return fmt.Errorf("%v: the sink has %d, clients got %d", k, got[k], n)
		}
	}
	for k, n := range got {
		if _, ok := want[k]; !ok {
			return fmt.Errorf("%v: the sink has %d, clients got none", k, n)
		}
	}
	return nil
}

// checkSinkAgainstLedger checks that the sink's entries equal the ledger's rows, period by period.
func (r *Rig) checkSinkAgainstLedger() error {
	exported, usage, err := r.readLedger()
	if err != nil {
		return err
	}
	entries := r.Sink.Entries()
	for _, p := range usage.Periods {
		if p.ID > exported {
			continue
		}
		for _, want := range leaseholder.PeriodEntries(p.ID, p.Rows) {
			if got, ok := entries[want.ID]; !ok || !equalItems(got, want) {
				return fmt.Errorf("period %d, %s: the sink has %+v, the ledger %+v", p.ID, want.Tenant, got, want)
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

// readLedger reads the last exported period and then the ledger, at one member after the other until one can.
func (r *Rig) readLedger() (exported uint64, usage *ledger.View, err error) {
	const attempts = 102
	var page daemon.LedgerPage
	for attempt := range attempts {
		running := r.Running()
		m := running[attempt%len(running)]
		var owner leaseholder.Page
		if owner, err = OwnerPage(m); err == nil {
			err = m.GetJSON("/_ledger", &page)
		}
		if err == nil && page.Ledger != nil {
			return owner.Store.Exported, page.Ledger, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err == nil {
		err = errors.New(page.Problem)
	}
	return 0, nil, fmt.Errorf("the ledger can't be read: %w", err)
}
