package latereport

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// prefillCall returns a served prefill that took durationMs.
func prefillCall(id, prefix string, promptTokens, prefillTokens int, durationMs float64) Call {
	return Call{
		AttemptID: id, Route: "r", TargetMs: 300, Server: "s", Role: rolePrefill, Outcome: outcomeServed,
		SharedPrefix: prefix, PromptTokens: promptTokens, PrefillTokens: prefillTokens, DurationMs: durationMs,
	}
}

// decodeCall returns a served call that generates the response.
func decodeCall(id string, startMs, firstEventMs float64) Call {
	return Call{
		AttemptID: id, Route: "r", TargetMs: 300, Role: "decode", Outcome: outcomeServed, StartMs: startMs,
		FirstEventMs: firstEventMs, DurationMs: firstEventMs + 50,
	}
}

func TestLateResponsesAreAttributedToTheirMainCause(t *testing.T) {
	fastest := prefillCall("quick", "a", 10000, 10000, 100) // 0.01 ms per token
	for _, test := range []struct {
		name  string
		calls []Call
		want  map[Cause]int
	}{
		{"in time", []Call{prefillCall("t", "b", 9000, 9000, 150), decodeCall("t", 150, 20)},
			map[Cause]int{}},
		{"own prefill", []Call{prefillCall("t", "b", 40000, 40000, 700), decodeCall("t", 700, 20)},
			map[Cause]int{CauseOwnPrefill: 1}},
		{"repeated prefill", []Call{prefillCall("t", "a", 25000, 25000, 290), decodeCall("t", 290, 20)},
			map[Cause]int{CauseRepeatedPrefill: 1}},
		{"prefill queue", []Call{prefillCall("t", "a", 9000, 2000, 400), decodeCall("t", 400, 20)},
			map[Cause]int{CausePrefillQueue: 1}},
		{"decode", []Call{prefillCall("t", "b", 9000, 9000, 100), decodeCall("t", 100, 250)},
			map[Cause]int{CauseDecode: 1}},
		{"retries", []Call{{AttemptID: "t", Role: "serve", Outcome: "timed_out", DurationMs: 280},
			decodeCall("t", 280, 30)},
			map[Cause]int{CauseRetries: 1}},
		{"prefill", []Call{prefillCall("t", "b", 25000, 25000, 260), decodeCall("t", 260, 45)},
			map[Cause]int{CausePrefill: 1}},
		{"failed", []Call{prefillCall("t", "b", 9000, 9000, 700)}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := Summarize(append([]Call{fastest}, test.calls...))
			c.Assert(s.PrefillMsPerToken, qt.Equals, 0.01)
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

func TestParseLogSkipsOtherLines(t *testing.T) {
	c := qt.New(t)
	calls, err := ParseLog(strings.NewReader(`no log
{"level":"info","message":"config: in force"}
   1.5 front-a {"try":"t","role":"prefill","outcome":"served","shared":"1f","prompt":7,"took_ms":2.5,` +
		`"message":"front: call"}
{"try":"cut","message":"front: call"
`))
	c.Assert(err, qt.IsNil)
	c.Assert(calls, qt.DeepEquals, []Call{{AttemptID: "t", Role: "prefill", Outcome: "served",
		SharedPrefix: "1f", PromptTokens: 7, DurationMs: 2.5, Message: callMessage}})
	_, err = ParseLog(strings.NewReader(strings.Repeat("x", maxLineBytes+1)))
	c.Assert(err, qt.ErrorMatches, "the log can't be read: .*")
}
