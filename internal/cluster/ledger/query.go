package ledger

import (
	"cmp"
	"slices"
)

// Query selects what Read returns.
type Query struct {
	Tenant string `json:"tenant,omitempty"` // "" for all tenants
	Period uint64 `json:"period,omitempty"` // 0 for all periods that are retained
}

// View is the answer to a Query.
type View struct {
	Index      uint64       `json:"index"`   // index of the last command applied
	OpenPeriod uint64       `json:"open"`    // number of the open period
	Periods    []PeriodView `json:"periods"` // oldest first
	Stats      Stats        `json:"figures"`
	IDs        int          `json:"ids"` // number of request ids remembered
}

// PeriodView is one period in a View.
type PeriodView struct {
	ID       uint64 `json:"period"`
	ClosedMS int64  `json:"closed_ms,omitempty"` // ClosePeriod.AtMS of its close, 0 while it is open
	Rows     []Row  `json:"rows"`                // sorted by key
}

// Read returns the answer to a query.
func (l *Ledger) Read(query Query) View {
	view := View{
		Index:      l.appliedIndex,
		OpenPeriod: l.OpenPeriod(),
		Periods:    []PeriodView{}, // encoded as [], not as null
		Stats:      l.stats,
		IDs:        l.idCount,
	}
	for _, p := range l.periods {
		if query.Period == 0 || query.Period == p.id {
			rows := p.rows(query.Tenant)
			view.Periods = append(view.Periods, PeriodView{ID: p.id, ClosedMS: p.closedMS, Rows: rows})
		}
	}
	return view
}

// rows returns the rows of a tenant, or of all for "", sorted by key.
func (p *period) rows(tenant string) []Row {
	byKey := map[Key]Row{}
	for key, usage := range p.usage {
		byKey[key] = Row{Key: key, Usage: *usage}
	}
	for key, usage := range p.corrections {
		row := byKey[key]
		row.Key, row.Corrections = key, *usage
		byKey[key] = row
	}
	rows := []Row{}
	for key, row := range byKey {
		if tenant == "" || tenant == key.Tenant {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	return rows
}

// compareKeys orders keys by tenant, class and answer.
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
