package dataplane

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/scheduler"
)

func TestPickTarget(t *testing.T) {
	c := qt.New(t)
	route := &fleetconfig.Route{TotalWeight: 10, Targets: []fleetconfig.Target{
		{Service: "a", Weight: 9}, {Service: "zero"}, {Service: "b", Weight: 1}}}
	for fraction, want := range map[float64]string{0: "a", 0.89: "a", 0.9: "b", 0.999: "b", 1: "a"} {
		c.Assert(pickTarget(route, fraction), qt.Equals, want, qt.Commentf("at %v", fraction))
	}
}

func TestSchedulingRequestIsReadFromTheHeader(t *testing.T) {
	c := qt.New(t)
	service := &fleetconfig.Service{Name: "s"}
	req := schedulingRequest(http1.Header{{Name: "cresshub-tokens", Value: "1460,80"},
		{Name: "Cresshub-Prompt-Prefix", Value: "5c1e07a2:800, 91bd3f06:410"}}, service)
	c.Assert(req, qt.DeepEquals, scheduler.Request{Service: service, PromptTokens: 1460, OutputTokens: 80,
		Segments: []scheduler.Segment{{ID: "5c1e07a2", Tokens: 800}, {ID: "91bd3f06", Tokens: 410}}})
	req = schedulingRequest(http1.Header{{Name: "Cresshub-Tokens", Value: "x"},
		{Name: "Cresshub-Prompt-Prefix", Value: "5c1e07a2"}}, service)
	c.Assert(req, qt.DeepEquals, scheduler.Request{Service: service})
}

func TestDeadlineIsACountOfMilliseconds(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]time.Duration{
		"5000": 5 * time.Second, " 0 ": 0, "": -1, "x": -1, "-1": -1, "99999999999": -1,
	} {
		got, ok := parseDeadline(text)
		if !ok {
			got = -1
		}
		c.Assert(got, qt.Equals, want, qt.Commentf("%q", text))
	}
}

func TestParseLoad(t *testing.T) {
	c := qt.New(t)
	load, ok := parseLoad("3, 0,8")
	c.Assert(ok, qt.IsTrue)
	c.Assert(load, qt.Equals, scheduler.Load{Running: 3, Slots: 8})
	for _, text := range []string{"", "1,2", "1,2,x", "1,2,-3", "1,2,3,4"} {
		_, ok := parseLoad(text)
		c.Assert(ok, qt.IsFalse, qt.Commentf("%q", text))
	}
}

func TestParseHandle(t *testing.T) {
	c := qt.New(t)
	handle, ok := parseHandle([]byte(`{"claim_ticket":"3fa09c41b7d5","tokens":1460,"edition":1}`))
	c.Assert(ok, qt.IsTrue)
	c.Assert(handle, qt.Equals, "3fa09c41b7d5")
	for _, text := range []string{"", "{}", `{"claim_ticket":"a/b"}`, `{"claim_ticket":"a\r\nX: y"}`,
		`{"claim_ticket":"a b"}`} {
		_, ok := parseHandle([]byte(text))
		c.Assert(ok, qt.IsFalse, qt.Commentf("%q", text))
	}
}

func TestIdleTimeFollowsTheKeepAliveField(t *testing.T) {
	for _, test := range []struct {
		name   string
		header http1.Header
		close  bool
		want   time.Duration
	}{
		{"no field", nil, false, defaultIdleTime},
		{"the connection closes", nil, true, 0},
		{"a timeout first", http1.Header{{Name: "Keep-Alive", Value: "timeout=5, max=3"}}, false,
			4500 * time.Millisecond},
		{"a timeout second", http1.Header{{Name: "Keep-Alive", Value: "max=3, Timeout=1"}}, false,
			500 * time.Millisecond},
		{"no timeout", http1.Header{{Name: "Keep-Alive", Value: "timeout=0"}}, false, 0},
		{"a timeout beyond maxIdleTime", http1.Header{{Name: "Keep-Alive", Value: "timeout=3600"}}, false,
			maxIdleTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := &http1.Response{Header: test.header, Close: test.close}
			qt.New(t).Assert(keepAliveTime(response), qt.Equals, test.want)
		})
	}
}

// A request ends, and the write of its response times out, within 250 ms of the route's timeout, even if the
// client's deadline is later.
func TestRequestsEndByTheRouteTimeout(t *testing.T) {
	c := qt.New(t)
	config, err := fleetconfig.Parse([]byte(testConfig(testLimits)))
	c.Assert(err, qt.IsNil)
	arrived := time.Now()
	for _, ms := range []int{1, 300, 5000, 3_600_000} {
		timeout := time.Duration(ms) * time.Millisecond
		for _, deadline := range []string{"", "0", "250", "60000", "90000", "-1", "x"} {
			config.Match("h", "/safe/").Timeout = timeout
			head := &http1.Request{Target: "/safe/", Header: http1.Header{{Name: "Host", Value: "h"},
				{Name: deadlineHeader, Value: deadline}}}
			req := newRequest(head, arrived, config)
			c.Check(req.deadline.Sub(arrived) <= timeout, qt.IsTrue)
			c.Check(req.writeDeadline().Sub(arrived) < timeout+250*time.Millisecond, qt.IsTrue)
			if ms := parseCount(deadline); ms > 0 {
				c.Check(req.deadline.Sub(arrived) <= time.Duration(ms)*time.Millisecond, qt.IsTrue)
			}
		}
	}
}

// requestOfRoute returns a request that has just arrived on a route with that timeout, and with that value of
// the deadline header unless it is empty.
func requestOfRoute(c *qt.C, route string, timeout time.Duration, deadline string) *request {
	config, err := fleetconfig.Parse([]byte(testConfig(testLimits)))
	c.Assert(err, qt.IsNil)
	config.Match("h", "/"+route+"/").Timeout = timeout
	head := &http1.Request{Target: "/" + route + "/", Header: http1.Header{{Name: "Host", Value: "h"}}}
	if deadline != "" {
		head.Header = append(head.Header, http1.Field{Name: deadlineHeader, Value: deadline})
	}
	return newRequest(head, time.Now(), config)
}

// A request may take as long as its client and its route allow, however long that is, except for a margin of
// at most 100 ms in which its response reaches the client.
func TestRequestsMayUseTheirTimeoutExceptTheMargin(t *testing.T) {
	for _, test := range []struct {
		name     string
		timeout  time.Duration
		deadline string // of the client, in milliseconds
		want     time.Duration
	}{
		{"a short timeout", 6 * time.Second, "", 6 * time.Second},
		{"a timeout", 18 * time.Second, "", 18 * time.Second},
		{"a deadline before the timeout", 18 * time.Second, "12000", 12 * time.Second},
		{"a long timeout", 5 * time.Minute, "", 5 * time.Minute},
		{"a deadline before a long timeout", 5 * time.Minute, "90000", 90 * time.Second},
	} {
		c := qt.New(t)
		req := requestOfRoute(c, "safe", test.timeout, test.deadline)
		timeout := req.deadline.Sub(req.arrived)
		c.Check(timeout >= test.want-100*time.Millisecond, qt.IsTrue, qt.Commentf("%s: %v", test.name, timeout))
		c.Check(timeout < test.want, qt.IsTrue, qt.Commentf("%s: %v", test.name, timeout))
	}
}

// A response that has started may use the time up to the hard deadline, because no local reply could replace
// it.
func TestStartedResponsesMayUseTheHardDeadline(t *testing.T) {
	c := qt.New(t)
	req := requestOfRoute(c, "firm", time.Minute, "6000")
	started := &call{roundTrip: &roundTrip{request: req, relay: relay{started: true}}}
	deadline := (&relay{request: req, started: true}).gapDeadline(started)
	c.Check(deadline.Sub(req.arrived), qt.Equals, 6*time.Second)
}
