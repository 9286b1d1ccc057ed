package ledger

import (
	"maps"
	"slices"
)

// period is one period's state.
type period struct {
	id            uint64
	closedMS      int64 // 0 while open
	closedAtIndex uint64
	usage         map[Key]*Usage
	corrections   map[Key]*Usage
	correctionIDs map[string]bool // ids of corrections
	ids           map[uint64]bool
	idOrder       []uint64 // the ids as they came, which a snapshot holds as they are
	tenants       map[string]bool
}

func newPeriod(id uint64) *period {
	return &period{id: id, usage: map[Key]*Usage{}, corrections: map[Key]*Usage{},
		correctionIDs: map[string]bool{},
		ids:           map[uint64]bool{}, tenants: map[string]bool{}}
}

// periodOf is the period in which a request of that id was answered first, nil where none is remembered.
func (l *Ledger) periodOf(id uint64) *period {
	for i := len(l.periods) - 1; i >= 0 && i >= len(l.periods)-l.settings.DedupPeriods; i-- {
		if l.periods[i].ids[id] {
			return l.periods[i]
		}
	}
	return nil
}

// rememberID keeps an id. Where there is no room the oldest period's ids go.
func (l *Ledger) rememberID(p *period, id uint64) {
	if p.ids[id] || l.settings.MaxIDs == 0 {
		return
	}
	for l.idCount >= l.settings.MaxIDs {
		oldest := slices.IndexFunc(l.periods, func(p *period) bool { return len(p.ids) > 0 })
		n := len(l.periods[oldest].ids)
		l.stats.ForgottenIDs += int64(n)
		l.idCount -= n
		l.periods[oldest].forgetIDs()
	}
	p.ids[id] = true
	p.idOrder = append(p.idOrder, id)
	l.idCount++
}

func (p *period) forgetIDs() { p.ids, p.idOrder = map[uint64]bool{}, nil }

func (p *period) count(k Key, s Usage) {
	if p.usage[k] == nil {
		p.usage[k] = &Usage{}
	}
	p.usage[k].Add(s)
}

// boundedKey is where a key counts in a period: as itself, or as Other where the period has too many tenants.
func (l *Ledger) boundedKey(p *period, k Key) Key {
	if !p.tenants[k.Tenant] {
		if len(p.tenants) >= l.settings.MaxTenants {
			k.Tenant = OtherTenants
		}
		p.tenants[k.Tenant] = true
	}
	return k
}

// evictMember drops the member heard of longest ago where there are too many.
func (l *Ledger) evictMember() {
	if len(l.members) < l.settings.MaxMembers {
		return
	}
	oldest := ""
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		if oldest == "" || l.members[name].index < l.members[oldest].index {
			oldest = name
		}
	}
	delete(l.members, oldest)
}
