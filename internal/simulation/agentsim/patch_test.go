package agentsim

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlclient"
	"cresshub/internal/router/peerproto"
)

// patch sends a body as a patch to one machine and returns the status.
func (o *Operator) patch(m *Machine, ifMatch int64, body string) int {
	header := http1.Header{{Name: "If-Match", Value: strconv.FormatInt(ifMatch, 10)}}
	answer, err := callFrom(o.network, m.Control(),
		controlclient.Call{Method: "PATCH", Target: "/api/config", Header: header, Body: []byte(body)})
	if err != nil {
		return 0
	}
	return answer.Status
}

// TestPatchesAtEachMachine sends patches to machines with and without a disk: each is acknowledged, also when
// it is sent again elsewhere after later changes, and what is wrong is refused by all alike.
func TestPatchesAtEachMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := New(t, Options{Disks: 3, Others: 4, Servers: 2, Seed: 3})
		operator := f.AddOperator(&History{})
		c.Assert(operator.PutUntil(f.Machines, Change{0, 1, 0}, 4*time.Second, 0), qt.Equals, 200)
		first := `{"edition":3,"deliver":{"routes":[{"name":"q","town":"q.example","street_prefix":"/",
			"timeout_ms":100,"depot":"` + serviceName + `"}]}}`
		c.Assert(operator.patch(f.Machines[6], 1, first), qt.Equals, 200)
		second := `{"edition":8,"withdraw":{"routes":["q"]}}`
		c.Assert(operator.patch(f.Machines[5], 3, second), qt.Equals, 200)
		f.Await("all follow the patches", 2*time.Second, f.Converged)
		for _, m := range f.Machines {
			for _, one := range []struct {
				what    string
				ifMatch int64
				body    string
				want    int
			}{
				{"the newest again", 3, second, 200},
				{"an earlier one again", 1, first, 200},
				{"another body under its version", 1, `{"edition":3}`, 412},
				{"the same body on another version", 0, first, 412},
				{"on an older version", 3, `{"edition":9}`, 412},
				{"on a version to come", 9, `{"edition":10}`, 412},
				{"not above its base", 8, `{"edition":8}`, 400},
				{"a service that a route names", 8, `{"edition":9,"withdraw":{"depots_list":["` + serviceName + `"]}}`,
					400},
				{"cut short", 8, `{"edition":9`, 400},
			} {
				c.Check(operator.patch(m, one.ifMatch, one.body), qt.Equals, one.want,
					qt.Commentf("%s at %s", one.what, m.Name))
			}
			version, status := operator.Get(m)
			c.Check(version, qt.Equals, int64(8))
			c.Check(status, qt.Equals, 200)
		}
	})
}

// TestPatchOutlivesALostDisk wipes the machine that acknowledged a patch while all others lose power.
func TestPatchOutlivesALostDisk(t *testing.T) {
	for lost := range 3 {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			f := New(t, Options{Disks: 3, Others: 4, Seed: int64(lost)})
			history := &History{}
			operator := f.AddOperator(history)
			c.Assert(operator.PutUntil(f.Machines, Change{0, 1, 0}, 4*time.Second, 0), qt.Equals, 200)
			f.Await("all agree", 4*time.Second, f.Converged)
			wiped := f.Machines[lost]
			c.Assert(operator.PutUntil([]*Machine{wiped}, Change{1, 2, 0}, 4*time.Second, 0), qt.Equals, 200)
			f.PowerOffAll(f.Machines)
			wiped.Wipe()
			f.StartTogether(f.Machines, false)
			f.Await("all agree again", 12*time.Second, f.Converged)
			c.Assert(operator.PutUntil(f.Machines, Change{1, 2, 0}, 8*time.Second, 0), qt.Equals, 200)
			c.Assert(operator.PutUntil(f.Machines, Change{2, 4, 0}, 8*time.Second, 0), qt.Equals, 200)
			version, _ := operator.Get(f.Machines[6])
			c.Assert(version, qt.Equals, int64(4))
			c.Assert(history.Check(), qt.HasLen, 0)
		})
	}
}

// largeDocument returns a configuration of so many routes.
func largeDocument(routes int) string {
	all := make([]string, routes)
	for i := range all {
		all[i] = fmt.Sprintf(`{"name":"r%d","town":"h%d.example","street_prefix":"/","timeout_ms":%d,"depot":%q}`,
			i, i, 100+i*7919%10007, serviceName)
	}
	return `{"edition":1,"routes":[` + strings.Join(all, ",") +
		`],"depots_list":[{"name":"` + serviceName + `"}]}`
}

// feedBytes is how many bytes of feeds a machine has sent to its followers.
func (o *Operator) feedBytes(c *qt.C, m *Machine) int {
	answer, err := callFrom(o.network, m.Control(), controlclient.Call{Method: "GET", Target: "/metrics"})
	c.Assert(err, qt.IsNil)
	line := fmt.Sprintf(`cresshub_peer_sent_bytes_total{kind="%d"} `, peerproto.KindFeed)
	_, rest, found := strings.Cut(string(answer.Body), line)
	if !found {
		return 0
	}
	digits, _, _ := strings.Cut(rest, "\n")
	bytes, err := strconv.Atoi(strings.TrimSpace(digits))
	c.Assert(err, qt.IsNil)
	return bytes
}

// TestManyPatchesOnALargeConfiguration changes one of 3,000 routes after the other: all follow, and the
// feeds carry the changes, not the document.
func TestManyPatchesOnALargeConfiguration(t *testing.T) {
	const routes, changes, maxFeedBytes = 3_000, 12, 600
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := New(t, Options{Disks: 3, Others: 4, Seed: 5})
		operator := f.AddOperator(&History{})
		put := controlclient.Call{Method: "PUT", Target: "/api/config", Body: []byte(largeDocument(routes)),
			Header: http1.Header{{Name: "If-Match", Value: "0"}}}
		f.Await("the document is taken", 10*time.Second, func() string {
			answer, err := callFrom(operator.network, f.Machines[0].Control(), put)
			if err != nil || answer.Status != 200 {
				return fmt.Sprint(answer, err)
			}
			return ""
		})
		f.Await("all know it", 5*time.Second, f.Converged)
		before := 0
		for _, m := range f.WithDisk(true) {
			before += operator.feedBytes(c, m)
		}
		began := f.Now()
		for version := int64(2); version < 2+changes; version++ {
			body := fmt.Sprintf(`{"edition":%d,"deliver":{"routes":[{"name":"r%d","town":"new%d.example",
				"street_prefix":"/","timeout_ms":7,"depot":%q}]}}`, version, 97*version, version, serviceName)
			c.Assert(operator.patch(f.Machines[version%7], version-1, body), qt.Equals, 200)
		}
		f.Await("all follow the patches", 2*time.Second, f.Converged)
		feeds := -before
		for _, m := range f.WithDisk(true) {
			feeds += operator.feedBytes(c, m)
		}
		ticks := int((f.Now()-began)/(400*time.Millisecond)) + 1
		bound := 4 * (changes + ticks) * maxFeedBytes // of four followers
		c.Check(feeds < bound, qt.IsTrue, qt.Commentf("%d bytes, %d at most", feeds, bound))
		version, _ := operator.Get(f.Machines[6])
		c.Check(version, qt.Equals, int64(1+changes))
	})
}
