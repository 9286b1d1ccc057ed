package latereport

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// readOf returns a reading of a prompt.
func readOf(try, shared string, prompt, reads int, took float64) Call {
	return Call{Try: try, Route: "r", Target: 300, Server: "s", Role: readRole, Outcome: served, Shared: shared,
		Prompt: prompt, Reads: reads, Took: took}
}

// writeOf returns the call that makes the answer, sent at a time.
func writeOf(try string, at, event float64) Call {
	return Call{Try: try, Route: "r", Target: 300, Role: "write", Outcome: served, At: at, Event: event,
		Took: event + 50}
}

func TestCauses(t *testing.T) {
	quick := readOf("quick", "a", 10000, 10000, 100) // 0.01 ms a token
	for _, test := range []struct {
		name  string
		calls []Call
		want  map[Cause]int
	}{
		{"in time", []Call{readOf("t", "b", 9000, 9000, 150), writeOf("t", 150, 20)}, map[Cause]int{}},
		{"own reading", []Call{readOf("t", "b", 40000, 40000, 700), writeOf("t", 700, 20)},
			map[Cause]int{OwnReading: 1}},
		{"read again", []Call{readOf("t", "a", 25000, 25000, 290), writeOf("t", 290, 20)},
			map[Cause]int{ReadAgain: 1}},
		{"queue", []Call{readOf("t", "a", 9000, 2000, 400), writeOf("t", 400, 20)}, map[Cause]int{ReaderQueue: 1}},
		{"writer", []Call{readOf("t", "b", 9000, 9000, 100), writeOf("t", 100, 250)}, map[Cause]int{Writer: 1}},
		{"repeats", []Call{{Try: "t", Role: "serve", Outcome: "silent", Took: 280}, writeOf("t", 280, 30)},
			map[Cause]int{Repeats: 1}},
		{"reading", []Call{readOf("t", "b", 25000, 25000, 260), writeOf("t", 260, 45)}, map[Cause]int{Reading: 1}},
		{"failed", []Call{readOf("t", "b", 9000, 9000, 700)}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := Summarize(append([]Call{quick}, test.calls...))
			c.Assert(s.TokenMs, qt.Equals, 0.01)
			if test.want == nil {
				c.Assert(s.Routes, qt.HasLen, 0)
				return
			}
			c.Assert(s.Routes, qt.HasLen, 1)
			c.Check(s.Routes[0].Causes, qt.DeepEquals, test.want)
			c.Check(s.Routes[0].Answered, qt.Equals, 1)
			c.Check(s.Routes[0].Late, qt.Equals, len(test.want))
		})
	}
}

func TestReadPassesOverOtherLines(t *testing.T) {
	c := qt.New(t)
	calls, err := Read(strings.NewReader(`no log
{"level":"info","message":"config: in force"}
   1.5 front-a {"try":"t","role":"read","outcome":"served","shared":"1f","prompt":7,"took_ms":2.5,` +
		`"message":"front: call"}
{"try":"cut","message":"front: call"
`))
	c.Assert(err, qt.IsNil)
	c.Assert(calls, qt.DeepEquals, []Call{{Try: "t", Role: "read", Outcome: "served", Shared: "1f", Prompt: 7,
		Took: 2.5, Message: message}})
	_, err = Read(strings.NewReader(strings.Repeat("x", longestLine+1)))
	c.Assert(err, qt.ErrorMatches, "the log can't be read: .*")
}
