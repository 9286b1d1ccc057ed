package clusterrig

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"cresshub/internal/cluster/ledger"
)

// Tenants are the tenants whose requests clients send.
var Tenants = []string{"ramen-kita", "soup-curry-chuo", "jingisukan-east"}

// Clients send requests to members and count the final answers by the ledger's keys. The methods may be
// called from any goroutine.
//
// A request that was sent and whose answer a client has not read to its end is unknown: its member may have
// written and counted an answer, or not. So is each attempt but the last of a request that the HTTP client
// sent again by itself, on another connection, as the first one broke off.
type Clients struct {
	mu       sync.Mutex
	answers  map[ledger.Key]int64
	unknown  map[ledger.Key]int64 // keys without an answer
	byMember map[string]int64     // answers by member name
	lost     int64                // requests without a complete answer
	next     int
	client   http.Client
}

// NewClients returns clients that haven't sent anything yet.
func NewClients() *Clients {
	return &Clients{answers: map[ledger.Key]int64{}, unknown: map[ledger.Key]int64{},
		byMember: map[string]int64{},
		client:   http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// clientTimeout is longer than any wait of a proxy, and than a stall of the machine that a test outlasts: a
// client that gives up does not know whether it was answered.
const clientTimeout = 30 * time.Second

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
	var attempts int64 // each on a connection of its own
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { attempts++ }}
	resp, err := c.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	key := ledger.Key{Tenant: tenant, Class: class}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.lost++
		c.unknown[key] += attempts
		return err
	}
	c.unknown[key] += attempts - 1
	key.Answer = answerOf(resp.StatusCode)
	c.answers[key]++
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

// Check returns an error unless the counts of a ledger or sink are those of the clients' answers: of each key
// as many as answers, and of each tenant and class as many more as are unknown at the most.
func (c *Clients) Check(counted map[ledger.Key]int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	surplus := map[ledger.Key]int64{}
	for key, count := range counted {
		surplus[ledger.Key{Tenant: key.Tenant, Class: key.Class}] += count
	}
	for key, count := range c.answers {
		if counted[key] < count {
			return fmt.Errorf("%v: %d were counted, clients got %d", key, counted[key], count)
		}
		surplus[ledger.Key{Tenant: key.Tenant, Class: key.Class}] -= count
	}
	for key, count := range surplus {
		if count > c.unknown[key] {
			return fmt.Errorf("%s, %s: %d more were counted than clients got, who do not know of %d", key.Tenant,
				key.Class, count, c.unknown[key])
		}
	}
	return nil
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
	answers, unknown, lost := other.Answers(), other.Unknown(), other.Lost()
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, count := range answers {
		c.answers[key] += count
	}
	for key, count := range unknown {
		c.unknown[key] += count
	}
	c.lost += lost
}

// Unknown returns how many attempts were sent and not answered to their end, by keys without an answer.
func (c *Clients) Unknown() map[ledger.Key]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.unknown)
}

// Lost returns how many requests got no complete answer.
func (c *Clients) Lost() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}
