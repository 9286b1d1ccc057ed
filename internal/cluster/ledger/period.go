package ledger

import (
	"maps"
	"slices"
)

// period is the state of one period.
type period struct {
	id            uint64
	closedMS      int64  // wall clock of whoever closed it, 0 while it is open
	closedAtIndex uint64 // of the command that closed it
	usage         map[Key]*Usage
	corrections   map[Key]*Usage  // since it closed
	correctionIDs map[string]bool // of Correction commands
	ids           map[uint64]bool // of requests answered first in this period
	idOrder       []uint64        // ids in the order of the log, for snapshots
	tenants       map[string]bool
}

func newPeriod(id uint64) *period {
	return &period{id: id, usage: map[Key]*Usage{}, corrections: map[Key]*Usage{},
		correctionIDs: map[string]bool{}, ids: map[uint64]bool{}, tenants: map[string]bool{}}
}

func (p *period) isOpen() bool { return p.closedMS == 0 }

// count adds usage of a key.
func (p *period) count(key Key, usage Usage) { addUsage(p.usage, key, usage) }

// correct adds usage of a key after the period has closed.
func (p *period) correct(key Key, usage Usage) { addUsage(p.corrections, key, usage) }

func addUsage(sums map[Key]*Usage, key Key, usage Usage) {
	if sums[key] == nil {
		sums[key] = &Usage{}
	}
	sums[key].Add(usage)
}

// periodOf returns the period in which the request of that id was answered first, nil if none is remembered.
func (l *Ledger) periodOf(id uint64) *period {
	for i := len(l.periods) - 1; i >= 0 && i >= len(l.periods)-l.settings.DedupPeriods; i-- {
		if l.periods[i].ids[id] {
			return l.periods[i]
		}
	}
	return nil
}

// rememberID records the id of a request answered first in p. Beyond Settings.MaxIDs the ids of the oldest
// period that has any are forgotten.
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

// boundedKey returns the key under which usage counts in a period, and adds its tenant to those of the
// period: key itself, or that of OtherTenants if the period has too many tenants.
func (l *Ledger) boundedKey(p *period, key Key) Key {
	if !p.tenants[key.Tenant] {
		if len(p.tenants) >= l.settings.MaxTenants {
			key.Tenant = OtherTenants
		}
		p.tenants[key.Tenant] = true
	}
	return key
}

// evictMember makes room for another member: it drops the one whose last batch is oldest if there are too
// many.
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
