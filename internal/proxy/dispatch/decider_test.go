package dispatch

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cresshub/balance"
)

// fakeClient is both the client of the calls and the network of the Decider.
type fakeClient struct {
	probes       chan ServerID
	follow       chan bool
	wake         chan bool
	gone         chan bool
	disconnected bool
}

func (p *fakeClient) Probe(s ServerID) { p.probes <- s }
func (p *fakeClient) Follow()          { p.follow <- true }
func (p *fakeClient) Wake() {
	select {
	case p.wake <- true:
	default:
	}
}

func (p *fakeClient) Wait() error {
	select {
	case <-p.wake:
		return nil
	case <-p.gone:
		return errors.New("gone")
	}
}

func (p *fakeClient) PeerClosed() bool { return p.disconnected }

func newDecider(t *testing.T, set func(*balance.Settings)) (*Decider, *fakeClient) {
	t.Helper()
	s := balance.Settings{
		Tick: 5 * time.Millisecond, MaxAttempts: 3, MayCancel: true, RegistryInterval: time.Millisecond,
		MustFollow: true,
		Classes: []balance.Class{
			{LatencyTarget: time.Hour, Deadline: time.Hour, Effect: balance.Idempotent, Value: 1},
			{LatencyTarget: time.Hour, Deadline: time.Hour, Effect: balance.AtMostOnce, Value: 1},
		},
	}
	if set != nil {
		set(&s)
	}
	p := &fakeClient{probes: make(chan ServerID, 9), follow: make(chan bool, 9), wake: make(chan bool, 1),
		gone: make(chan bool, 1)}
	d, err := New(s, 20*time.Millisecond, p)
	if err != nil {
		t.Fatal(err)
	}
	d.RestoreList([]Server{{ID: 7, Rating: 1}})
	return d, p
}

func atMostOnceRequest() Request { return Request{Class: 1, Deadline: time.Now().Add(time.Hour)} }

func nextKinds(d *Decider, c *Call, n int) (got []StepKind) {
	for range n {
		got = append(got, d.NextStep(c).Kind)
	}
	return got
}

func TestStepsOfCall(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		results []Result
		want    []StepKind
	}{
		{"served", 1, []Result{Served}, []StepKind{Send, Answer}},
		{"at most once, connection reset", 1, []Result{Reset}, []StepKind{Send, Fail}},
		{"never ran, then served", 1, []Result{Rejected, Served}, []StepKind{Send, Send, Answer}},
		{"idempotent, nothing sent", 0, []Result{Skipped}, []StepKind{Send, Reject}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, p := newDecider(t, nil)
			q := atMostOnceRequest()
			q.Class = c.class
			call := d.Open(q, p)
			got := nextKinds(d, call, 1)
			for i, res := range c.results {
				d.Report(call, i, res, nil)
				got = append(got, nextKinds(d, call, 1)...)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// After the last step of a call its goroutine serves another request, which no Wake of the first may reach.
func TestFinishedCallIsNotWoken(t *testing.T) {
	d, p := newDecider(t, nil)
	call := d.Open(atMostOnceRequest(), p)
	d.NextStep(call)
	p.gone <- true
	<-p.wake
	if got := nextKinds(d, call, 2); !cmp.Equal(got, []StepKind{Cancel, ClientDisconnected}) {
		t.Fatal(got)
	}
	for len(p.wake) > 0 {
		<-p.wake
	}
	d.Report(call, 0, Served, nil)
	if len(p.wake) > 0 {
		t.Error("call was woken after its last step")
	}
}

// A Send that was never picked must not stay counted as outstanding at its server, nor be cancelled: the
// caller knows only the attempts that it started.
func TestClientDisconnectedBeforeAttemptStarted(t *testing.T) {
	d, p := newDecider(t, nil)
	call := d.Open(atMostOnceRequest(), p)
	d.clientDisconnected(call)
	if got := nextKinds(d, call, 1); !cmp.Equal(got, []StepKind{ClientDisconnected}) {
		t.Error(got)
	}
	if len(d.calls) != 0 {
		t.Error("the call is still open")
	}
}

func TestAttemptTimesOutBeforeClientDeadline(t *testing.T) {
	d, p := newDecider(t, nil)
	q := atMostOnceRequest()
	q.Deadline = time.Now().Add(time.Minute)
	if s := d.NextStep(d.Open(q, p)); !s.Deadline.Equal(q.Deadline.Add(-d.responseMargin)) {
		t.Errorf("attempt times out at %v, client deadline %v", s.Deadline, q.Deadline)
	}
}

// The clock must read as Unix time, so that a server started after this process is in slow start rather
// than counted as started long ago.
func TestClockReadsAsUnixTime(t *testing.T) {
	d, _ := newDecider(t, nil)
	if off := time.Duration(time.Now().UnixNano()) - d.now(); off < -time.Minute || off > time.Minute {
		t.Errorf("the clock is off by %v", off)
	}
}

func TestTimersReachTheNetwork(t *testing.T) {
	d, p := newDecider(t, func(s *balance.Settings) { s.MayProbe = true })
	stop := make(chan struct{})
	defer close(stop)
	go d.Run(stop)
	<-p.follow // the cached list is old, so discovery is asked
	call := d.Open(atMostOnceRequest(), p)
	if s := <-p.probes; s != 7 {
		t.Fatalf("probe of %d", s)
	}
	if got := d.NextStep(call).Kind; got != Send { // although the probe never ends
		t.Error(got)
	}
	d.ListFailed()
	<-p.follow
}

// A Send, the first one or a retry, may be decided just as the client disconnects. It must not be picked,
// and balance must not count the attempt as outstanding.
func TestNothingIsSentForDisconnectedClient(t *testing.T) {
	for _, before := range []int{0, 1} {
		d, p := newDecider(t, nil)
		c := d.Open(atMostOnceRequest(), p)
		for i := range before {
			if s := d.NextStep(c); s.Kind != Send {
				t.Fatalf("attempt %d: %+v", i, s)
			}
			d.Report(c, i, Rejected, nil)
		}
		p.disconnected = true
		if s := d.NextStep(c); s.Kind != ClientDisconnected {
			t.Errorf("after %d attempts: %+v", before, s)
		}
		p.disconnected = false
		next := d.Open(atMostOnceRequest(), p) // an attempt that was not made is not outstanding
		if s := d.NextStep(next); s.Kind != Send {
			t.Errorf("another client: %+v", s)
		}
		if len(d.calls) != 1 {
			t.Errorf("%d calls are open", len(d.calls))
		}
	}
}
