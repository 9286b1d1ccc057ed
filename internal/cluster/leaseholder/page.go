package leaseholder

import (
	"time"

	"cresshub/internal/cluster/groupstate"
)

// Page is the status page at /_owner.
type Page struct {
	Self             string           `json:"self"`
	Holder           string           `json:"holder"`             // as known here; "" if nobody holds the lease
	Token            uint64           `json:"token"`              // of the lease
	Owns             bool             `json:"here"`               // this member holds the lease
	OwnedForMS       int64            `json:"owned_ms,omitempty"` // time since this member acquired the lease
	LeaseRemainingMS int64            `json:"lease_left_ms"`
	Roles            []RoleStatus     `json:"roles"`
	Stats            Stats            `json:"figures"`
	Endpoints        *EndpointStatus  `json:"list,omitempty"`
	Store            *groupstate.View `json:"store,omitempty"`
	Problem          string           `json:"problem,omitempty"` // why Store could not be read
}

// RoleStatus is the state of one role on this member.
type RoleStatus struct {
	Role           string `json:"role"`        // roleExport or roleEndpoints
	SinceLastRunMS int64  `json:"last_run_ms"` // time since its last success on this member, -1 for never
	Backlog        int    `json:"backlog"`     // periods and corrections that wait for their export
	Problem        string `json:"problem,omitempty"`
}

// EndpointStatus is the origin and age of this member's endpoint list.
type EndpointStatus struct {
	FromOwner bool   `json:"held"`    // from the lease holder, not from discovery
	AgeMS     int64  `json:"age_ms"`  // since this member observed the last publication
	Version   uint64 `json:"version"` // groupstate.EndpointView.Version of that publication
}

// Names of the roles, as in the settings and on the status page.
const (
	roleExport    = "export"
	roleEndpoints = "list"
)

// pageReadTimeout bounds the read of the store, as the page must be served within a second.
const pageReadTimeout = 700 * time.Millisecond

// Page returns the state of the roles. It reads the store linearizably, which takes up to pageReadTimeout.
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
	page.Owns = r.candidate.Owns(now)
	if page.Owns && r.reportedToken == r.candidate.Token() {
		page.OwnedForMS = (now - r.acquiredAt).Milliseconds()
	}
	page.LeaseRemainingMS = r.candidate.Remaining(now).Milliseconds()
	page.Stats = r.stats
	r.mu.Unlock()
	// Since the store was read, this member may have observed a newer grant or acquired the lease.
	if page.Store != nil && view.Grant.Token > grant.Token {
		grant = view.Grant
	}
	page.Holder, page.Token = grant.Holder, grant.Token
	r.addRoles(&page, &view)
	return page
}

// addRoles adds the state of this member's roles to a page whose Owns is set.
func (r *Runner) addRoles(page *Page, view *groupstate.View) {
	if exporter := r.opts.Export; exporter != nil {
		status := exporter.roleStatus()
		status.Backlog = view.Backlog + view.PendingCorrections
		page.Roles = append(page.Roles, status)
	}
	if endpoints := r.opts.Endpoints; endpoints != nil {
		page.Roles = append(page.Roles, endpoints.roleStatus())
		status := endpoints.endpointStatus()
		page.Endpoints = &status
	}
	if !page.Owns { // an error from this member's time as the owner may be outdated
		for i := range page.Roles {
			page.Roles[i].Problem = ""
		}
	}
}

func (e *Exporter) roleStatus() RoleStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return RoleStatus{Role: roleExport, SinceLastRunMS: millisSince(e.lastRun), Problem: e.lastError}
}

func (s *EndpointSync) roleStatus() RoleStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return RoleStatus{Role: roleEndpoints, SinceLastRunMS: millisSince(s.lastRun), Problem: s.lastError}
}

func (s *EndpointSync) endpointStatus() EndpointStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := s.follower.Age(s.runner.now())
	return EndpointStatus{s.feed.FromOwner, age.Milliseconds(), s.follower.Version()}
}

// millisSince returns the time since t in ms, -1 for the zero time.
func millisSince(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return time.Since(t).Milliseconds()
}
