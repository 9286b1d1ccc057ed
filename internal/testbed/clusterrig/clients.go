package clusterrig

import (
	"context"
	"fmt"
	"io"
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
	answer := "bad_gateway"
	switch resp.StatusCode {
	case 200:
		answer = "passed"
	case 429, 503:
		answer = "dropped"
	}
	c.answers[ledger.Key{Tenant: tenant, Class: class, Answer: answer}]++
	c.byMember[m.Name]++
	return nil
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

// Answers returns the final answers by key, and their sum.
func (c *Clients) Answers() (map[ledger.Key]int64, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[ledger.Key]int64{}
	var sum int64
	for k, n := range c.answers {
		out[k] = n
		sum += n
	}
	return out, sum
}

// Merge adds the counts of other clients.
func (c *Clients) Merge(other *Clients) {
	answers, _ := other.Answers()
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, n := range answers {
		c.answers[k] += n
	}
	c.lost += other.Lost()
}

// Lost returns how many requests got no complete answer.
func (c *Clients) Lost() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}
