package clusterrig

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"cresshub/internal/cluster/gossip"
)

// Views are the membership pages of members, by member name.
type Views map[string]gossip.Page

// FindMember returns a member's entry in a view; false if it has none.
func FindMember(p gossip.Page, name string) (gossip.Member, bool) {
	i := slices.IndexFunc(p.Members, func(m gossip.Member) bool { return m.Name == name })
	if i < 0 {
		return gossip.Member{}, false
	}
	return p.Members[i], true
}

// Running returns the members whose process is up.
func (r *Rig) Running() []*Member {
	var up []*Member
	for _, m := range r.Members {
		if m.State() == Up {
			up = append(up, m)
		}
	}
	return up
}

// FetchViews asks members for their views concurrently. One that doesn't answer is left out.
func FetchViews(ms []*Member) Views {
	var mu sync.Mutex
	var all sync.WaitGroup
	out := Views{}
	for _, m := range ms {
		all.Go(func() {
			var p gossip.Page
			if m.GetJSON("/_fleet", &p) == nil {
				mu.Lock()
				defer mu.Unlock()
				out[m.Name] = p
			}
		})
	}
	all.Wait()
	return out
}

// WaitViews polls the views of members until check accepts each of them, and returns how long that took. A
// member without a view isn't accepted. The error wraps the last one of check.
func WaitViews(ctx context.Context, members []*Member, limit time.Duration,
	check func(gossip.Page) error) (time.Duration, error) {
	watch := startStopwatch()
	err := watch.poll(ctx, limit, pollInterval, func() (last error) {
		views := FetchViews(members)
		for _, member := range members {
			page, ok := views[member.Name]
			if !ok {
				last = fmt.Errorf("%s doesn't answer with its view", member.Name)
			} else if err := check(page); err != nil {
				last = fmt.Errorf("%s: %w", member.Name, err)
			}
		}
		return last
	})
	return watch.elapsed(), err
}

// StatusIs returns a check that a view has each of the named members in a status.
func StatusIs(status string, names ...string) func(gossip.Page) error {
	return func(p gossip.Page) error {
		for _, name := range names {
			if m, ok := FindMember(p, name); !ok || m.Status != status {
				return fmt.Errorf("%s is %q, not %q", name, m.Status, status)
			}
		}
		return nil
	}
}

// OnlyAlive returns a check that a view has exactly the named members alive, and no others alive or suspect.
func OnlyAlive(names ...string) func(gossip.Page) error {
	return func(p gossip.Page) error {
		n := 0
		for _, m := range p.Members {
			if m.Status == "alive" || m.Status == "suspect" {
				n++
			}
		}
		if n != len(names) {
			return fmt.Errorf("%d are alive, not %d", n, len(names))
		}
		return StatusIs("alive", names...)(p)
	}
}

// MemberNames returns the names of members.
func MemberNames(ms []*Member) []string {
	var out []string
	for _, m := range ms {
		out = append(out, m.Name)
	}
	return out
}

// WaitConverged waits until every running member has exactly the running members alive in its view.
func (r *Rig) WaitConverged(ctx context.Context, limit time.Duration) (time.Duration, error) {
	up := r.Running()
	return WaitViews(ctx, up, limit, OnlyAlive(MemberNames(up)...))
}
