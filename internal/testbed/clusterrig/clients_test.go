package clusterrig

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"cresshub/internal/cluster/ledger"
	"cresshub/internal/testbed/nettest"
)

// breakConnection ends the connection of a request without an answer.
func breakConnection(t *testing.T, w http.ResponseWriter) {
	t.Helper()
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	conn.Close()
}

// startFakeMember starts a server in a member's place.
func startFakeMember(t *testing.T, handler http.HandlerFunc) *Member {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return &Member{Name: "m-0", listen: strings.TrimPrefix(server.URL, "http://")}
}

// What a client has sent without reading an answer is unknown, also where the HTTP client sends it again by
// itself; what it could not send is not.
func TestClientsKnowWhatTheyDoNotKnow(t *testing.T) {
	key := ledger.Key{Tenant: Tenants[0], Class: "zone-lookup"}
	var requests atomic.Int64
	breaksSecond := startFakeMember(t, func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) == 2 { // on the connection of the first: the client sends it again
			breakConnection(t, w)
		}
	})
	breaksAll := startFakeMember(t, func(w http.ResponseWriter, _ *http.Request) { breakConnection(t, w) })
	refusing := &Member{Name: "m-1", listen: nettest.RefusingAddress(t)}
	for name, test := range map[string]struct {
		member               *Member
		requests             int
		answers, lost, sends int64
	}{
		"breaks the second": {breaksSecond, 2, 2, 0, 1},
		"breaks all":        {breaksAll, 1, 0, 1, 1},
		"refuses":           {refusing, 2, 0, 2, 0},
	} {
		clients := NewClients()
		for range test.requests {
			_ = clients.Send(test.member, key.Tenant, key.Class, "", "")
		}
		if got := clients.TotalAnswers(); got != test.answers || clients.Lost() != test.lost ||
			clients.Unknown()[key] != test.sends {
			t.Errorf("%s: %d answers, %d lost, unknown %v; not %d, %d, %d", name, got, clients.Lost(),
				clients.Unknown(), test.answers, test.lost, test.sends)
		}
	}
}

// Counts have to be those of the clients' answers, but for as many more as are unknown of a tenant and class.
func TestClientsCheck(t *testing.T) {
	lookup := ledger.Key{Tenant: "a", Class: "lookup"}
	passed, dropped := lookup, lookup
	passed.Answer, dropped.Answer = "passed", "dropped"
	other := ledger.Key{Tenant: "b", Class: "lookup", Answer: "passed"}
	clients := NewClients()
	clients.answers[passed], clients.answers[other] = 5, 2
	for name, test := range map[string]struct {
		counted map[ledger.Key]int64
		unknown int64
		ok      bool
	}{
		"the answers":                   {map[ledger.Key]int64{passed: 5, other: 2}, 0, true},
		"one less":                      {map[ledger.Key]int64{passed: 4, other: 2}, 0, false},
		"one less though one is not":    {map[ledger.Key]int64{passed: 4, other: 2}, 1, false},
		"one more":                      {map[ledger.Key]int64{passed: 6, other: 2}, 0, false},
		"one more, which is unknown":    {map[ledger.Key]int64{passed: 6, other: 2}, 1, true},
		"another answer":                {map[ledger.Key]int64{passed: 5, dropped: 1, other: 2}, 0, false},
		"another, which is unknown":     {map[ledger.Key]int64{passed: 5, dropped: 1, other: 2}, 1, true},
		"two more, one unknown":         {map[ledger.Key]int64{passed: 6, dropped: 1, other: 2}, 1, false},
		"one more of the other tenant":  {map[ledger.Key]int64{passed: 5, other: 3}, 1, false},
		"one answer as one of the else": {map[ledger.Key]int64{passed: 4, dropped: 1, other: 2}, 1, false},
	} {
		clients.unknown[lookup] = test.unknown
		if err := clients.Check(test.counted); (err == nil) != test.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}
