package leaseholder

import (
	"time"

	"cresshub/internal/cluster/groupstate"
)

// Page is what /_owner shows.
type Page struct {
	Self      string           `json:"self"`
	Holder    string           `json:"holder"` // as this member knows; "" where nobody holds the lease
	Token     uint64           `json:"token"`
	Here      bool             `json:"here"` // this member acts as the owner
	LeaseLeft int64            `json:"lease_left_ms"`
	Chores    []Status         `json:"chores"`
	Figures   Figures          `json:"figures"`
	List      *ListStatus      `json:"list,omitempty"`
	Store     *groupstate.View `json:"store,omitempty"`
	Problem   string           `json:"problem,omitempty"` // why the store could not be read
}

// Status is how one chore goes, as its owner sees it.
type Status struct {
	Chore   string `json:"chore"`
	LastRun int64  `json:"last_run_ms"` // how long ago it last went through here, -1 for never
	Backlog int    `json:"backlog"`     // periods and corrections that wait
	Problem string `json:"problem,omitempty"`
}

// ListStatus is where this member's list of servers comes from.
type ListStatus struct {
	Held    bool   `json:"held"` // from the owner, not from discovery
	AgeMS   int64  `json:"age_ms"`
	Version uint64 `json:"version"`
}

// readWithin bounds the read for a page, which answers within a second.
const readWithin = 700 * time.Millisecond

func ago(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return time.Since(t).Milliseconds()
}

// Page is how things stand. The store is read linearizably.
func (w *Owner) Page() Page {
	p := Page{Self: w.o.Name, Chores: []Status{}}
	var v groupstate.View
	if err := w.read(readWithin, groupstate.Query{Ask: groupstate.AskView}, &v); err != nil {
		p.Problem = err.Error()
	} else {
		p.Store = &v
	}
	w.mu.Lock()
	now := w.now()
	g := w.member.Known()
	p.Here, p.LeaseLeft, p.Figures = w.member.Acts(now), w.member.Left(now).Milliseconds(), w.fig
	w.mu.Unlock()
	// The store was read before: this member may have learned of a newer grant, or taken the lease, since.
	if p.Store != nil && v.Grant.Token > g.Token {
		g = v.Grant
	}
	p.Holder, p.Token = g.Holder, g.Token
	// What stood in the way of a chore is its owner's to say: one that was its owner once does not know.
	told := func(problem string) string {
		if p.Here {
			return problem
		}
		return ""
	}
	if e := w.o.Export; e != nil {
		e.mu.Lock()
		p.Chores = append(p.Chores, Status{"export", ago(e.ran), v.Backlog + v.Fixes, told(e.problem)})
		e.mu.Unlock()
	}
	if l := w.o.List; l != nil {
		l.mu.Lock()
		p.Chores = append(p.Chores, Status{Chore: "list", LastRun: ago(l.ran), Problem: told(l.problem)})
		p.List = &ListStatus{l.fed.Held, l.follower.Age(w.now()).Milliseconds(), l.follower.Version()}
		l.mu.Unlock()
	}
	return p
}
