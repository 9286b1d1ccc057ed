package clusterrig

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cresshub/internal/cluster/ledger"
)

// Tenants are the tenants whose requests clients send.
var Tenants = []string{"ramen-kita", "soup-curry-chuo", "jingisukan-east"}

// Clients send requests to members and count the final answers by the ledger's keys. The methods may be
// called from any goroutine.
type Clients struct {
	mu       sync.Mutex
	answers  map[ledger.Key]int64
	byMember map[string]int64 // answers by member name
	lost     int64            // requests without a complete answer
	next     int
	client   http.Client
}

// NewClients returns clients that haven't sent anything yet.
func NewClients() *Clients {
	return &Clients{answers: map[ledger.Key]int64{}, byMember: map[string]int64{},
		client: http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Send sends one request to a member. id "" draws a new one; first is the id of the first attempt, "" for
// none.
func (c *Clients) Send(m *Member, tenant, class, id, first string) error {
	if id == "" {
		id = fmt.Sprintf("%016x", rand.Uint64())
	}
	m.mu.Lock()
	address := m.listen
	m.mu.Unlock()
	req, err := http.NewRequest("GET", "http://"+address+"/api?key="+id, nil)
	if err != nil {
		return err
	}
	req.Header = http.Header{"X-Request-Id": {id}, "X-Priority-Class": {class}, "X-Tenant-Id": {tenant},
		"X-Timeout": {"2"}}
	if first != "" {
		req.Header.Set("X-First-Request-ID", first)
	}
	resp, err := c.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.lost++
		return err
	}
	c.answers[ledger.Key{Tenant: tenant, Class: class, Answer: answerOf(resp.StatusCode)}]++
	c.byMember[m.Name]++
	return nil
}

// answerOf returns what the ledger calls an answer with a status. It repeats the proxy's own reading on
// purpose, so that clients count independently of what the ledger counts.
func answerOf(status int) string {
	switch status {
	case http.StatusOK:
		return "passed"
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return "dropped"
	}
	return "bad_gateway"
}

// clientInterval is the pause between two requests of one client: the members' capacity isn't under test.
const clientInterval = 15 * time.Millisecond

// Start sends requests to members in turn with so many concurrent clients, until stop, which waits for them,
// or the end of ctx.
func (c *Clients) Start(ctx context.Context, ms []*Member, clients int) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx, ms, clients)
	}()
	return func() {
		cancel()
		<-done
	}
}

// Run sends requests to members in turn with so many concurrent clients until ctx ends.
func (c *Clients) Run(ctx context.Context, ms []*Member, clients int) {
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for ctx.Err() == nil {
				c.mu.Lock()
				c.next++
				n := c.next
				c.mu.Unlock()
				class := "zone-lookup"
				if n%3 == 0 {
					class = "rider-assign"
				}
				_ = c.Send(ms[n%len(ms)], Tenants[n%len(Tenants)], class, "", "") // counted as lost
				time.Sleep(clientInterval)
			}
		})
	}
	all.Wait()
}

// Answers returns the final answers by key.
func (c *Clients) Answers() map[ledger.Key]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.answers)
}

// TotalAnswers returns the number of final answers.
func (c *Clients) TotalAnswers() int64 {
	var total int64
	for _, count := range c.Answers() {
		total += count
	}
	return total
}

// Merge adds the counts of other clients.
func (c *Clients) Merge(other *Clients) {
	answers, lost := other.Answers(), other.Lost()
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, count := range answers {
		c.answers[key] += count
	}
	c.lost += lost
}

// Lost returns how many requests got no complete answer.
func (c *Clients) Lost() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}
