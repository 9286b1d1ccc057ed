package ledger

import (
	"maps"
	"slices"
)

// period is the state of one period.
type period struct {
	id            uint64
	closedMS      int64  // wall clock of the member that proposed to close it, in ms since 1970; 0 while open
	closedAtIndex uint64 // log index of the command that closed it
	usage         map[Key]*Usage
	corrections   map[Key]*Usage  // usage added after it was closed
	correctionIDs map[string]bool // ids of the Correction commands that were applied to it
	ids           map[uint64]bool // ids of requests that were first answered in this period
	idOrder       []uint64        // ids in the order of the log, for snapshots
	tenants       map[string]bool // tenants that have rows of their own, see boundedKey
}

// newPeriod returns an open period without usage.
func newPeriod(id uint64) *period {
	return &period{id: id, usage: map[Key]*Usage{}, corrections: map[Key]*Usage{},
		correctionIDs: map[string]bool{}, ids: map[uint64]bool{}, tenants: map[string]bool{}}
}

func (p *period) isOpen() bool { return p.closedMS == 0 }

// count adds usage of a key while the period is open.
func (p *period) count(key Key, usage Usage) { addUsage(p.usage, key, usage) }

// correct adds usage of a key after the period has closed.
func (p *period) correct(key Key, usage Usage) { addUsage(p.corrections, key, usage) }

// addUsage adds usage to the sum of a key.
func addUsage(sums map[Key]*Usage, key Key, usage Usage) {
	if sums[key] == nil {
		sums[key] = &Usage{}
	}
	sums[key].Add(usage)
}

// periodOf returns the period in which the request with an id was first answered, nil if that isn't
// remembered.
func (l *Ledger) periodOf(id uint64) *period {
	for i := len(l.periods) - 1; i >= 0 && i >= len(l.periods)-l.settings.DedupPeriods; i-- {
		if l.periods[i].ids[id] {
			return l.periods[i]
		}
	}
	return nil
}

// rememberID records the id of a request that was first answered in p. If there are already
// Settings.MaxIDs, it first forgets all ids of the oldest period that has any.
func (l *Ledger) rememberID(p *period, id uint64) {
	if p.ids[id] || l.settings.MaxIDs == 0 {
		return
	}
	for l.idCount >= l.settings.MaxIDs {
		i := slices.IndexFunc(l.periods, func(p *period) bool { return len(p.ids) > 0 })
		l.stats.ForgottenIDs += int64(len(l.periods[i].ids))
		l.forgetIDs(l.periods[i])
	}
	p.ids[id] = true
	p.idOrder = append(p.idOrder, id)
	l.idCount++
}

// forgetIDs forgets the request ids of a period.
func (l *Ledger) forgetIDs(p *period) {
	l.idCount -= len(p.ids)
	p.ids, p.idOrder = map[uint64]bool{}, nil
}

// boundedKey returns the key under which usage is counted in a period: key itself, or key with OtherTenants
// if its tenant is new and the period already has Settings.MaxTenants. It records the tenant of the
// returned key in the period.
func (l *Ledger) boundedKey(p *period, key Key) Key {
	if !p.tenants[key.Tenant] {
		if len(p.tenants) >= l.settings.MaxTenants {
			key.Tenant = OtherTenants
		}
		p.tenants[key.Tenant] = true
	}
	return key
}

// evictMember drops the member whose last batch is oldest if there are already Settings.MaxMembers, so that
// another one can be added.
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
