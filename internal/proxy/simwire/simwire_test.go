package simwire

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const facts = `{"azs":["a","b"],"balancers":3,"grades":[{"aim-ms":250.0,"deadline-ms":500.0,` +
	`"effect":"idempotent","group":"all","late-worth":0.0,"name":"x","value":3.0,"window-ms":5000.0}],` +
	`"invariants":{"answer-slack-ms":20.0,"ask-within-ms":10000.0,"cold-ms":8500.0,"fall-multiple":4.0,` +
	`"start-capacity":0.31,"stop-sending-within-ms":1000.0,"tip-after-ms":2000.0},"limits":{"max-attempts":3,` +
	`"probes":true},"rank":0,"registry-mode":"on_request","report":{"fields":["waiting","active"],` +
	`"source":"probe"},"tick-ms":5.0,"new-key":{"a":[1]}}`

func boot(i int) string {
	return fmt.Sprintf(`{"Boot":{"sidecar":%d,"salt":%d,"facts":%s}}`, i, 11+i, facts)
}

const directory = `{"Directory":{"page":0,"entries":[{"server":51530247,"zone":0,"family-type":0,"pod":0,` +
	`"stage-state":"IN","rating":1},{"server":747639282,"zone":1,"stage-state":"IN","rating":1.5}]}}`

func registry(i int) string {
	return fmt.Sprintf(`{"Registry":{"sidecar":%d,"scope":"cached","page":0,"revision":41}}`, i)
}

func request(i, n int) string {
	return fmt.Sprintf(`{"NewRequest":{"sidecar":%d,"tid":"t/%d","object":"91f03b7c55d20a64",`+
		`"client-deadline-ms":8652.25,"bitmap":1,"lane":0,"size-hint-ms":12.0}}`, i, n)
}

func batch(n int, millis float64, events ...string) string {
	return fmt.Sprintf(`{"sim-time-ms":%v,"n":%d,"happened":[%s]}`+"\n", millis, n, strings.Join(events, ","))
}

func TestReplyHasTheActionsOfABatch(t *testing.T) {
	h := NewHost()
	reply := func(line string) string {
		t.Helper()
		b, err := h.Reply([]byte(line))
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	if got := reply(batch(1, 0)); got != `{"actions":[],"n":1}`+"\n" {
		t.Errorf("empty batch: %s", got)
	}
	got := reply(batch(2, 5, boot(3), directory, registry(3), `{"Novelty":{"x":1}}`, request(3, 1)))
	for _, want := range []string{`{"SetTimer":{"sidecar":3,"delay-ms":`, `{"Probe":{"sidecar":3,`, `"n":2`} {
		if !strings.Contains(got, want) {
			t.Errorf("%s lacks %s", got, want)
		}
	}
	echo := `{"Echo":{"sidecar":3,"rtt-ms":1.4,"server":%d,"how":"done","metrics":[0,0]}}`
	got = reply(batch(3, 10, fmt.Sprintf(echo, 51530247), fmt.Sprintf(echo, 747639282)))
	if !strings.Contains(got, `{"Place":{"sidecar":3,"tid":"t/1","server":`) {
		t.Errorf("no attempt was sent in %s", got)
	}
}

func TestErrorsNameBatchEventAndField(t *testing.T) {
	ok := boot(3)
	for name, c := range map[string]struct{ line, want string }{
		"not JSON":          {"nonsense\n", "batch 0"},
		"cut short":         {`{"sim-time-ms":1,"n":4,"happened":[`, "batch 4"},
		"two values":        {batch(4, 1) + "{}", "follows"},
		"no time":           {`{"n":4,"happened":[]}`, "sim-time-ms"},
		"missing field":     {batch(4, 1, ok, `{"Elapsed":{"sidecar":3}}`), `Elapsed: field "name" is missing`},
		"wrong type":        {batch(4, 1, ok, `{"Elapsed":{"sidecar":3,"name":"x"}}`), `1: Elapsed: field "name"`},
		"unknown page":      {batch(4, 1, ok, registry(3)), `Registry: field "page"`},
		"never booted":      {batch(4, 1, `{"Elapsed":{"sidecar":9,"name":1}}`), "instance 9 was never booted"},
		"unknown outcome":   {batch(4, 1, ok, `{"Echo":{"sidecar":3,"server":1,"how":"odd"}}`), `field "how"`},
		"page out of range": {batch(4, 1, `{"Directory":{"page":16,"entries":[]}}`), `field "page"`},
		"no classes":        {batch(4, 1, `{"Boot":{"sidecar":3,"salt":1,"facts":{"grades":[]}}}`), "grades"},
	} {
		_, err := NewHost().Reply([]byte(c.line))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one that contains %q", name, err, c.want)
		}
	}
}

// The same events result in the same bytes, and an instance acts the same in a host of several as alone.
func TestSameEventsGiveSameBytesAndInstancesAreIndependent(t *testing.T) {
	run := func(instances ...int) []byte {
		h := NewHost()
		var all bytes.Buffer
		for n := range 40 {
			var events []string
			if n == 0 {
				events = append(events, directory)
			}
			for _, i := range instances {
				if n == 0 {
					events = append(events, boot(i), registry(i))
				}
				events = append(events, request(i, n))
			}
			b, err := h.Reply([]byte(batch(n, float64(5*n), events...)))
			if err != nil {
				t.Fatal(err)
			}
			all.Write(b)
		}
		return all.Bytes()
	}
	if !bytes.Equal(run(1, 2, 3), run(1, 2, 3)) {
		t.Error("two runs differ")
	}
	own := regexp.MustCompile(`\{"[A-Za-z]+":\{"sidecar":2,[^}]*\}\}`)
	together := own.FindAllString(string(run(1, 2, 3)), -1)
	alone := own.FindAllString(string(run(2)), -1)
	if len(alone) < 40 || !slices.Equal(together, alone) {
		t.Errorf("instance 2 acts differently among others:\n%v\nalone:\n%v", together, alone)
	}
}
