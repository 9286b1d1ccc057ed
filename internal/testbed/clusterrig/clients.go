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

// Tenants are those whose requests the load sends.
var Tenants = []string{"ramen-kita", "soup-curry-chuo", "jingisukan-east"}

// Clients send requests to members as clients do and counts the final answers that come, by what a ledger
// counts them.
type Clients struct {
	mu       sync.Mutex
	answers  map[ledger.Key]int64
	byMember map[string]int64 // answers by member
	lost     int64            // requests without a whole answer
	next     int
	client   http.Client
}

// NewClients returns clients that have sent nothing.
func NewClients() *Clients {
	return &Clients{answers: map[ledger.Key]int64{}, byMember: map[string]int64{},
		client: http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Send sends one request to a member; id "" is a fresh one, first the id of its first try, if it says so.
func (l *Clients) Send(m *Member, tenant, class, id, first string) error {
	if id == "" {
		id = fmt.Sprintf("%016x", rand.Uint64())
	}
	m.mu.Lock()
	at := m.listen
	m.mu.Unlock()
	q, err := http.NewRequest("GET", "http://"+at+"/api?key="+id, nil)
	if err != nil {
		return err
	}
	q.Header = http.Header{"X-Request-Id": {id}, "X-Priority-Class": {class}, "X-Tenant-Id": {tenant},
		"X-Timeout": {"2"}}
	if first != "" {
		q.Header.Set("X-First-Request-ID", first)
	}
	a, err := l.client.Do(q)
	if err == nil {
		_, err = io.Copy(io.Discard, a.Body)
		a.Body.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.lost++
		return err
	}
	answer := "bad_gateway"
	switch a.StatusCode {
	case 200:
		answer = "passed"
	case 429, 503:
		answer = "dropped"
	}
	l.answers[ledger.Key{Tenant: tenant, Class: class, Answer: answer}]++
	l.byMember[m.Name]++
	return nil
}

// clientInterval is between two requests of one client: what is tried is not how much the members bear.
const clientInterval = 15 * time.Millisecond

// Run sends requests to members in turn with so many clients at once until ctx ends.
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
				l.Send(ms[n%len(ms)], Tenants[n%len(Tenants)], class, "", "")
				time.Sleep(clientInterval)
			}
		})
	}
	all.Wait()
}

// Answers are the final answers that came, by key, and how many by one member.
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

// Merge takes over what other clients got.
func (l *Clients) Merge(o *Clients) {
	answers, _ := o.Answers()
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, n := range answers {
		l.answers[k] += n
	}
	l.lost += o.Lost()
}

// Lost is how many requests got no whole answer.
func (l *Clients) Lost() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}
