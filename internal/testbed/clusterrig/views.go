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

// pollEvery is how often a condition is looked at.
const pollEvery = 15 * time.Millisecond

// doors asks the operators' doors; one call a connection, as they take.
var doors = http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Ask reads a JSON page of a member's door.
func (m *Member) Ask(path string, into any) error {
	m.mu.Lock()
	door := m.door
	m.mu.Unlock()
	a, err := doors.Get("http://" + door + path)
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
	door := m.door
	m.mu.Unlock()
	a, err := doors.Get("http://" + door + "/_ready")
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
	a, err := doors.Post("http://"+m.Door+path, "", nil)
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

// Of returns what a view says of a member; false where it does not hold it.
func Of(p gossip.Page, name string) (gossip.Member, bool) {
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

// Look asks the given members for their views, all at once. One that does not answer is left out.
func Look(ms []*Member) Views {
	var mu sync.Mutex
	var all sync.WaitGroup
	out := Views{}
	for _, m := range ms {
		all.Go(func() {
			var p gossip.Page
			if m.Ask("/_fleet", &p) == nil {
				mu.Lock()
				defer mu.Unlock()
				out[m.Name] = p
			}
		})
	}
	all.Wait()
	return out
}

// Until looks at the views of the given members until holds is true of every one of them, and says how long
// that took. A member without a view does not hold. The error tells what each said last.
func Until(ctx context.Context, ms []*Member, limit time.Duration,
	holds func(gossip.Page) error) (time.Duration, error) {
	start := time.Now()
	for {
		views := Look(ms)
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
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return took, ctx.Err()
		}
	}
}

// Sees returns a condition: a view holds each of the named members in that status.
func Sees(status string, names ...string) func(gossip.Page) error {
	return func(p gossip.Page) error {
		for _, name := range names {
			if m, ok := Of(p, name); !ok || m.Status != status {
				return fmt.Errorf("%s is %q, not %q", name, m.Status, status)
			}
		}
		return nil
	}
}

// One returns a condition: a view holds exactly the named members alive, and nobody else alive or suspect.
func One(names ...string) func(gossip.Page) error {
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
		return Sees("alive", names...)(p)
	}
}

// Names are the members' names.
func Names(ms []*Member) []string {
	var out []string
	for _, m := range ms {
		out = append(out, m.Name)
	}
	return out
}

// Settle waits until every running member sees exactly the running members alive.
func (r *Rig) Settle(ctx context.Context, limit time.Duration) (time.Duration, error) {
	up := r.Running()
	return Until(ctx, up, limit, One(Names(up)...))
}
