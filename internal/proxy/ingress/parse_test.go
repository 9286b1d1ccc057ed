package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/dispatch"
)

func TestParse(t *testing.T) {
	server := &Server{classes: indexByName([]string{"lookup", "assign"}),
		tenants: indexByName([]string{"x", "acme"})}
	arrived := time.Unix(1000, 0)
	head := func(id, class, tenant, timeout string) http1.Header {
		return http1.Header{{Name: "x-request-id", Value: id}, {Name: "X-Priority-Class", Value: class},
			{Name: "X-Tenant-Id", Value: tenant}, {Name: "X-Timeout", Value: timeout}}
	}
	deadlineIn := func(timeout time.Duration) time.Time { return arrived.Add(timeout) }
	for _, test := range []struct {
		name           string
		method, target string
		header         http1.Header
		want           dispatch.Request
		status         int
	}{
		{"all fields", "GET", "/api?key=1f", head("1", "lookup", "acme", "0.480"),
			dispatch.Request{Tenant: 1, Key: 0x1f, HasKey: true, Deadline: deadlineIn(480 * time.Millisecond)}, 0},
		{"a retry by the client, and the longest deadline", "POST", "/api?other=2",
			append(head("1", "assign", "x", "1e9"), http1.Field{Name: "X-Retried", Value: "1"}),
			dispatch.Request{Class: 1, Deadline: deadlineIn(maxTimeout), ClientRetry: true}, 0},
		{"two timeouts", "GET", "/", append(head("1", "lookup", "x", "1"),
			http1.Field{Name: "X-Timeout", Value: "2"}),
			dispatch.Request{}, 400},
		{"two ids", "GET", "/", append(head("1", "lookup", "x", "1"),
			http1.Field{Name: "X-Request-Id", Value: "2"}),
			dispatch.Request{}, 400},
		{"another method", "DELETE", "/", head("1", "lookup", "acme", "1"), dispatch.Request{}, 405},
		{"no id", "GET", "/", head("", "lookup", "acme", "1"), dispatch.Request{}, 400},
		{"no class", "GET", "/", head("1", "", "acme", "1"), dispatch.Request{}, 400},
		{"no tenant", "GET", "/", head("1", "lookup", "", "1"), dispatch.Request{}, 400},
		{"no timeout", "GET", "/", head("1", "lookup", "acme", ""), dispatch.Request{}, 400},
		{"a negative timeout", "GET", "/", head("1", "lookup", "acme", "-1"), dispatch.Request{}, 400},
		{"a timeout that is not a number", "GET", "/", head("1", "lookup", "acme", "NaN"), dispatch.Request{}, 400},
		{"an infinite timeout", "GET", "/", head("1", "lookup", "acme", "Inf"), dispatch.Request{}, 400},
	} {
		message := &http1.Request{Method: test.method, Target: test.target, Header: test.header}
		got, rejection := server.parse(message, arrived)
		if rejection.status != test.status {
			t.Errorf("%s: %s %s %v: status %d", test.name, test.method, test.target, test.header, rejection.status)
		}
		if diff := cmp.Diff(test.want, got); !rejection.rejects() && diff != "" {
			t.Errorf("%s: (-want +got)\n%s", test.name, diff)
		}
	}
}

func TestParseKey(t *testing.T) {
	textKey, _ := parseKey("/?key=tea%20house")
	for target, want := range map[string]string{
		"/api?key=7f3a9c21e0b4d655": fmt.Sprint(uint64(0x7f3a9c21e0b4d655), true),
		"/api?a=b&key=10":           fmt.Sprint(16, true),
		"/api?key=tea+house":        fmt.Sprint(textKey, true),
		"/api?key=":                 "0 false",
		"/api?monkey=1":             "0 false",
		"/api":                      "0 false",
	} {
		if got := fmt.Sprint(parseKey(target)); got != want {
			t.Errorf("%s: %s, want %s", target, got, want)
		}
	}
}
