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
func (l *Clients) Send(m *Member, tenant, class, id, first string) error {
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
	resp, err := l.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.lost++
		return err
	}
	answer := "bad_gateway"
	switch resp.StatusCode {
	case 200:
		answer = "passed"
	case 429, 503:
		answer = "dropped"
	}
	l.answers[ledger.Key{Tenant: tenant, Class: class, Answer: answer}]++
	l.byMember[m.Name]++
	return nil
}

// clientInterval is the pause between two requests of one client: the members' capacity isn't under test.
const clientInterval = 15 * time.Millisecond

// Start sends requests to members in turn with so many concurrent clients, until stop, which waits for them,
// or the end of ctx.
func (l *Clients) Start(ctx context.Context, ms []*Member, clients int) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx, ms, clients)
	}()
	return func() {
		cancel()
		<-done
	}
}

// Run sends requests to members in turn with so many concurrent clients until ctx ends.
func (l *Clients) Run(ctx context.Context, ms []*Member, clients int) {
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for ctx.Err() == nil {
				l.mu.Lock()
				l.next++
				n := l.next
				l.mu.Unlock()
				class := "zone-lookup"
				if n%3 == 0 {
					class = "rider-assign"
				}
				_ = l.Send(ms[n%len(ms)], Tenants[n%len(Tenants)], class, "", "") // counted as lost
				time.Sleep(clientInterval)
			}
		})
	}
	all.Wait()
}

// Answers returns the final answers by key, and their sum.
func (l *Clients) Answers() (map[ledger.Key]int64, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[ledger.Key]int64{}
	var sum int64
	for k, n := range l.answers {
		out[k] = n
		sum += n
	}
	return out, sum
}

// Merge adds the counts of other clients.
func (l *Clients) Merge(o *Clients) {
	answers, _ := o.Answers()
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, n := range answers {
		l.answers[k] += n
	}
	l.lost += o.Lost()
}

// Lost returns how many requests got no complete answer.
func (l *Clients) Lost() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}
