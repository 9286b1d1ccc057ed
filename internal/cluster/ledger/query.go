package ledger

import (
	"cmp"
	"slices"
)

// PeriodView is what is read of one period.
type PeriodView struct {
	ID       uint64 `json:"period"`
	ClosedMS int64  `json:"closed_ms,omitempty"` // 0 while open
	Rows     []Row  `json:"rows"`
}

// View is what is read of the ledger.
type View struct {
	Index      uint64       `json:"index"`
	OpenPeriod uint64       `json:"open"`
	Periods    []PeriodView `json:"periods"`
	Stats      Stats        `json:"figures"`
	IDs        int          `json:"ids"`
}

// Query says what to read: a tenant, or "" for all; a period, or 0 for all that are kept.
type Query struct {
	Tenant string `json:"tenant,omitempty"`
	Period uint64 `json:"period,omitempty"`
}

// Read returns what the query asks for.
func (l *Ledger) Read(q Query) View {
	v := View{Index: l.appliedIndex, OpenPeriod: l.OpenPeriod(), Stats: l.stats, IDs: l.idCount,
		Periods: []PeriodView{}}
	for _, p := range l.periods {
		if q.Period == 0 || q.Period == p.id {
			v.Periods = append(v.Periods, PeriodView{ID: p.id, ClosedMS: p.closedMS, Rows: p.rows(q.Tenant)})
		}
	}
	return v
}

func (p *period) rows(tenant string) []Row {
	all := map[Key]Row{}
	for k, s := range p.usage {
		all[k] = Row{Key: k, Usage: *s}
	}
	for k, s := range p.corrections {
		r := all[k]
		r.Key, r.Corrections = k, *s
		all[k] = r
	}
	rows := []Row{}
	for _, r := range all {
		if tenant == "" || tenant == r.Tenant {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	return rows
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Answer, b.Answer))
}

// Total is the sum over rows, corrections included.
func (p *PeriodView) Total() (s Usage) {
	for _, r := range p.Rows {
		s.Add(r.Usage)
		s.Add(r.Corrections)
	}
	return s
}
