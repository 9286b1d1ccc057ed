package ledger

import (
	"maps"
	"slices"
)

// period is one period's state.
type period struct {
	ID          uint64
	ClosedMS    int64 // 0 while open
	ClosedAt    uint64
	Sums        map[Key]*Sum
	Corrections map[Key]*Sum
	Fixed       map[string]bool // ids of corrections
	ids         map[uint64]bool
	order       []uint64 // the ids as they came, which a snapshot holds as they are
	tenants     map[string]bool
}

func newPeriod(id uint64) *period {
	return &period{ID: id, Sums: map[Key]*Sum{}, Corrections: map[Key]*Sum{}, Fixed: map[string]bool{},
		ids: map[uint64]bool{}, tenants: map[string]bool{}}
}

// first is the period in which a request of that id was answered first, nil where none is remembered.
func (l *Ledger) first(id uint64) *period {
	for i := len(l.periods) - 1; i >= 0 && i >= len(l.periods)-l.set.Remember; i-- {
		if l.periods[i].ids[id] {
			return l.periods[i]
		}
	}
	return nil
}

// remember keeps an id. Where there is no room the oldest period's ids go.
func (l *Ledger) remember(p *period, id uint64) {
	if p.ids[id] || l.set.IDs == 0 {
		return
	}
	for l.held >= l.set.IDs {
		oldest := slices.IndexFunc(l.periods, func(p *period) bool { return len(p.ids) > 0 })
		n := len(l.periods[oldest].ids)
		l.figures.Forgot += int64(n)
		l.held -= n
		l.periods[oldest].forget()
	}
	p.ids[id] = true
	p.order = append(p.order, id)
	l.held++
}

func (p *period) forget() { p.ids, p.order = map[uint64]bool{}, nil }

func (p *period) count(k Key, s Sum) {
	if p.Sums[k] == nil {
		p.Sums[k] = &Sum{}
	}
	p.Sums[k].Add(s)
}

// key is where a key counts in a period: as itself, or as Other where the period has too many tenants.
func (l *Ledger) key(p *period, k Key) Key {
	if !p.tenants[k.Tenant] {
		if len(p.tenants) >= l.set.Tenants {
			k.Tenant = Other
		}
		p.tenants[k.Tenant] = true
	}
	return k
}

// roomForMember drops the member heard of longest ago where there are too many.
func (l *Ledger) roomForMember() {
	if len(l.members) < l.set.Members {
		return
	}
	oldest := ""
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		if oldest == "" || l.members[name].Index < l.members[oldest].Index {
			oldest = name
		}
	}
	delete(l.members, oldest)
}
