package leaseholder

import (
	"time"

	"cresshub/internal/cluster/groupstate"
)

// Page is what /_owner shows.
type Page struct {
	Self           string           `json:"self"`
	Holder         string           `json:"holder"` // as this member knows; "" where nobody holds the lease
	Token          uint64           `json:"token"`
	Owns           bool             `json:"here"` // this member acts as the owner
	LeaseRemaining int64            `json:"lease_left_ms"`
	Roles          []RoleStatus     `json:"chores"`
	Stats          Stats            `json:"figures"`
	Endpoints      *EndpointStatus  `json:"list,omitempty"`
	Store          *groupstate.View `json:"store,omitempty"`
	Problem        string           `json:"problem,omitempty"` // why the store could not be read
}

// RoleStatus is how one chore goes, as its owner sees it.
type RoleStatus struct {
	Role    string `json:"chore"`
	LastRun int64  `json:"last_run_ms"` // how long ago it last went through here, -1 for never
	Backlog int    `json:"backlog"`     // periods and corrections that wait
	Problem string `json:"problem,omitempty"`
}

// EndpointStatus is where this member's list of servers comes from.
type EndpointStatus struct {
	FromOwner bool   `json:"held"` // from the owner, not from discovery
	AgeMS     int64  `json:"age_ms"`
	Version   uint64 `json:"version"`
}

// pageReadTimeout bounds the read for a page, which answers within a second.
const pageReadTimeout = 700 * time.Millisecond

func millisSince(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return time.Since(t).Milliseconds()
}

// Page is how things stand. The store is read linearizably.
func (r *Runner) Page() Page {
	page := Page{Self: r.opts.Name, Roles: []RoleStatus{}}
	var view groupstate.View
	if err := r.query(pageReadTimeout, groupstate.Query{Kind: groupstate.QueryView}, &view); err != nil {
		page.Problem = err.Error()
	} else {
		page.Store = &view
	}
	r.mu.Lock()
	now := r.now()
	grant := r.candidate.Grant()
	page.Owns, page.LeaseRemaining, page.Stats = r.candidate.Owns(now),
		r.candidate.Remaining(now).Milliseconds(), r.stats
	r.mu.Unlock()
	// The store was read before: this member may have learned of a newer grant, or taken the lease, since.
	if page.Store != nil && view.Grant.Token > grant.Token {
		grant = view.Grant
	}
	page.Holder, page.Token = grant.Holder, grant.Token
	// What stood in the way of a chore is its owner's to say: one that was its owner once does not know.
	ownProblem := func(problem string) string {
		if page.Owns {
			return problem
		}
		return ""
	}
	if exporter := r.opts.Export; exporter != nil {
		exporter.mu.Lock()
		page.Roles = append(page.Roles, RoleStatus{"export", millisSince(exporter.lastRun),
			view.Backlog + view.PendingCorrections, ownProblem(exporter.problem)})
		exporter.mu.Unlock()
	}
	if s := r.opts.Endpoints; s != nil {
		s.mu.Lock()
		page.Roles = append(page.Roles, RoleStatus{Role: "list", LastRun: millisSince(s.lastRun),
			Problem: ownProblem(s.problem)})
		page.Endpoints = &EndpointStatus{s.feed.FromOwner, s.follower.Age(r.now()).Milliseconds(),
			s.follower.Version()}
		s.mu.Unlock()
	}
	return page
}
