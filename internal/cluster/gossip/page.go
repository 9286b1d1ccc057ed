package gossip

import (
	"time"

	"cresshub/internal/cluster/membership"
)

// Page is the JSON document at /_fleet: the view of this proxy and its counters.
type Page struct {
	Self     string   `json:"self"`
	Label    string   `json:"label"`
	Members  []Member `json:"members"`
	Counters Counters `json:"counters"`
	Health   int      `json:"health"` // memberlist's awareness score: 0 is healthy, higher is slower
}

// Member is one member of the view as the page shows it to operators.
type Member struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Status      string `json:"status"` // alive, suspect, dead, left
	Gone        bool   `json:"gone"`   // others may replace it
	Phase       string `json:"phase"`  // serving, draining, leaving
	Incarnation uint64 `json:"incarnation"`
	Version     string `json:"version,omitempty"`
	Hall        string `json:"hall,omitempty"`
	AgeMS       int64  `json:"age_ms"` // since Status last changed
	Flaps       int    `json:"flaps"`
	Suspected   int    `json:"suspected"` // times that the member became suspect in this view
}

// Counters count what this member observed since its start. The page shows them under their Go field names,
// in this order.
type Counters struct {
	// Changes of the view by kind; see membership.ChangeKind.

	Joins     int
	Restarts  int
	Changes   int // of a status or of metadata
	Gone      int
	Returned  int
	Forgotten int
	Conflicts int // claims to a name that another process has, seen by the view or memberlist
	Refused   int // observations of new names while the view had MaxMembers

	Rejoins         int // successful joins of seeds and recently dead members
	Syncs           int // exchanges of full states with random members
	LostChanges     int // changes dropped because the reader of Fleet.Changes was too slow
	MetaRefused     int // metadata of members that did not decode
	MessagesRefused int // user messages of others that are no leaveMessage

	Probes         int // probes sent
	IndirectProbes int // requests to other members to probe one that did not answer
	Suspicions     int // raised by this member's own probes
	Suspected      int // members that became suspect in this view, whoever raised it
	Refutations    int // sent by this member, of suspicions against itself
	Refuted        int // suspicions in this view that their member refuted
	Asked          int // suspects with which both state exchanges succeeded

	PacketsIn   int64 // datagrams received, rejected ones included
	PacketsOut  int64 // datagrams sent
	StreamsIn   int64 // streams that were checked, rejected ones included
	StreamsOut  int64 // streams opened, or attempted to open
	BytesIn     int64 // of datagrams and streams, labels included
	BytesOut    int64 // of datagrams and streams, labels included
	WireRefused int64 // malformed datagrams and streams
	OtherLabel  int64 // datagrams and streams of another fleet
}

// Snapshot returns the current page, its members sorted by name.
func (f *Fleet) Snapshot() Page {
	health := f.memberlist.GetHealthScore()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	page := Page{Self: f.opts.Name, Label: f.opts.Label, Counters: f.counters, Health: health}
	f.traffic.copyTo(&page.Counters)
	for _, member := range f.view.Snapshot() {
		page.Members = append(page.Members, pageRow(now, member))
	}
	return page
}

func pageRow(now time.Duration, member membership.Member) Member {
	return Member{
		Name:        member.Name,
		Address:     member.Address,
		Status:      member.Status.String(),
		Gone:        member.Gone,
		Phase:       member.Meta.Phase.String(),
		Incarnation: member.Meta.Incarnation,
		Version:     member.Meta.Version,
		Hall:        member.Meta.Hall,
		AgeMS:       (now - member.StatusSince).Milliseconds(),
		Flaps:       member.Flaps,
		Suspected:   member.Suspected,
	}
}
