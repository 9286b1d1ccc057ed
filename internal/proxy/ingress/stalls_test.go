package ingress

import (
	"io"
	"os"
	"testing"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/testbed/nettest"
)

// A client whose request is late as this process did not run gets its response; one that is slow itself is
// told so.
func TestRequestIsNotLateForAStallOfTheProxy(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		rig := newRig(t, nil)
		if stalled {
			rig.Clock.InjectStall(time.Now().Add(time.Hour), time.Hour) // from now on
		}
		limits := *rig.limits.Load()
		limits.HeadTimeout = time.Millisecond
		rig.SetLimits(limits)
		zone := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("x") })
		rig.list(zone.Address)
		conn := nettest.Dial(t, rig.address)
		request := getRequest("one")
		io.WriteString(conn, request[:20])
		want := "200 x"
		if !stalled {
			want = "408 "
		} else {
			nettest.Until(t, "the beginning is read", func() bool { return rig.isReceiving() })
			io.WriteString(conn, request[20:])
		}
		if got := nextOutcome(conn); got[:4] != want[:4] {
			t.Errorf("stalled %v: the client reads %s", stalled, got)
		}
	}
}

// isReceiving reports whether a client's request has begun and is not complete.
func (r *testRig) isReceiving() bool {
	r.Server.mu.Lock()
	defer r.Server.mu.Unlock()
	for c := range r.clients {
		return c.receiving
	}
	return false
}

// A client that stalls in the middle of its large body counts as gone, whichever is noticed first: the end
// of its body or that of the attempt which reads it.
func TestUploadThatBreaksOffCountsAsGone(t *testing.T) {
	gone := dispatch.Step{Kind: dispatch.ClientDisconnected, Attempt: -1}
	answer := dispatch.Step{Kind: dispatch.Answer, Attempt: 1}
	rejected := dispatch.Step{Kind: dispatch.Reject}
	ended := func(err error) *upload {
		u := &upload{ended: make(chan struct{}), err: err}
		close(u.ended)
		return u
	}
	for name, test := range map[string]struct {
		upload     *upload
		step, want dispatch.Step
	}{
		"no upload":         {nil, rejected, rejected},
		"not ended":         {&upload{ended: make(chan struct{})}, rejected, rejected},
		"complete":          {ended(io.EOF), rejected, rejected},
		"malformed":         {ended(&http1.MalformedError{}), rejected, rejected},
		"stalled":           {ended(os.ErrDeadlineExceeded), rejected, gone},
		"stalled, failed":   {ended(os.ErrDeadlineExceeded), dispatch.Step{Kind: dispatch.Fail}, gone},
		"stalled, answered": {ended(os.ErrDeadlineExceeded), answer, answer},
	} {
		if got := test.upload.lastStep(test.step); got != test.want {
			t.Errorf("%s: %+v, not %+v", name, got, test.want)
		}
	}
}
