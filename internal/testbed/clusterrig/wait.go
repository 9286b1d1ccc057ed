package clusterrig

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"cresshub/internal/cluster/gossip"
)

// pollInterval is how often a condition is looked at.
const pollInterval = 15 * time.Millisecond

// adminClient asks the operators' doors; one call a connection, as they take.
var adminClient = http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// GetJSON reads a JSON page of a member's door.
func (m *Member) GetJSON(path string, into any) error {
	m.mu.Lock()
	door := m.admin
	m.mu.Unlock()
	a, err := adminClient.Get("http://" + door + path)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, a.Status)
	}
	return json.NewDecoder(a.Body).Decode(into)
}

// Ready tells whether a member says that it is ready.
func (m *Member) Ready() bool {
	m.mu.Lock()
	door := m.admin
	m.mu.Unlock()
	a, err := adminClient.Get("http://" + door + "/_ready")
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// Drain has a member send its clients away, or take them again.
func (m *Member) Drain(on bool) error {
	path := "/_lameduck/off"
	if on {
		path = "/_lameduck/on"
	}
	a, err := adminClient.Post("http://"+m.Admin+path, "", nil)
	if err != nil {
		return err
	}
	a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, a.Status)
	}
	return nil
}

// Views are the pages of the members that run, by their name.
type Views map[string]gossip.Page

// FindMember returns what a view says of a member; false where it does not hold it.
func FindMember(p gossip.Page, name string) (gossip.Member, bool) {
	i := slices.IndexFunc(p.Members, func(m gossip.Member) bool { return m.Name == name })
	if i < 0 {
		return gossip.Member{}, false
	}
	return p.Members[i], true
}

// Running are the members whose process runs.
func (r *Rig) Running() []*Member {
	var up []*Member
	for _, m := range r.Members {
		if m.State() == Up {
			up = append(up, m)
		}
	}
	return up
}

// FetchViews asks the given members for their views, all at once. One that does not answer is left out.
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

// WaitViews looks at the views of the given members until holds is true of every one of them, and says how
// long that took. A member without a view does not hold. The error tells what each said last.
func WaitViews(ctx context.Context, ms []*Member, limit time.Duration,
	holds func(gossip.Page) error) (time.Duration, error) {
	start := time.Now()
	for {
		views := FetchViews(ms)
		took := time.Since(start)
		var last error
		for _, m := range ms {
			p, ok := views[m.Name]
			if !ok {
				last = fmt.Errorf("%s does not say its view", m.Name)
			} else if err := holds(p); err != nil {
				last = fmt.Errorf("%s: %w", m.Name, err)
			}
		}
		if last == nil {
			return took, nil
		}
		if took > limit {
			return took, fmt.Errorf("not within %v: %w", limit, last)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return took, ctx.Err()
		}
	}
}

// StatusIs returns a condition: a view holds each of the named members in that status.
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

// OnlyAlive returns a condition: a view holds exactly the named members alive, and nobody else alive or
// suspect.
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

// MemberNames are the members' names.
func MemberNames(ms []*Member) []string {
	var out []string
	for _, m := range ms {
		out = append(out, m.Name)
	}
	return out
}

// WaitConverged waits until every running member sees exactly the running members alive.
func (r *Rig) WaitConverged(ctx context.Context, limit time.Duration) (time.Duration, error) {
	up := r.Running()
	return WaitViews(ctx, up, limit, OnlyAlive(MemberNames(up)...))
}
