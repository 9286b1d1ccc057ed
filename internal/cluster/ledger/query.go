package ledger

import (
	"cmp"
	"slices"
)

// Query selects what Read returns.
type Query struct {
	Tenant string `json:"tenant,omitempty"` // "" for all
	Period uint64 `json:"period,omitempty"` // 0 for all that are retained
}

// View is the answer to a Query.
type View struct {
	Index      uint64       `json:"index"`   // of the last command applied
	OpenPeriod uint64       `json:"open"`    // number of the open period
	Periods    []PeriodView `json:"periods"` // oldest first
	Stats      Stats        `json:"figures"`
	IDs        int          `json:"ids"` // request ids remembered
}

// PeriodView is one period within a View.
type PeriodView struct {
	ID       uint64 `json:"period"`
	ClosedMS int64  `json:"closed_ms,omitempty"` // wall clock of whoever closed it, 0 while open
	Rows     []Row  `json:"rows"`                // by key
}

// Read answers a query.
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

// rows returns the rows of a tenant, or of all for "", sorted by key.
func (p *period) rows(tenant string) []Row {
	byKey := map[Key]Row{}
	for k, u := range p.usage {
		byKey[k] = Row{Key: k, Usage: *u}
	}
	for k, u := range p.corrections {
		row := byKey[k]
		row.Key, row.Corrections = k, *u
		byKey[k] = row
	}
	rows := []Row{}
	for k, row := range byKey {
		if tenant == "" || tenant == k.Tenant {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	return rows
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Answer, b.Answer))
}

// Total returns the sum over all rows, corrections included.
func (p *PeriodView) Total() (total Usage) {
	for _, row := range p.Rows {
		total.Add(row.Usage)
		total.Add(row.Corrections)
	}
	return total
}
