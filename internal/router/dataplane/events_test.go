package dataplane

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSplitterReturnsCompleteEvents(t *testing.T) {
	const text = "versions: 3\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: idle\n\n\nid: 3\ndata"
	want := []string{"versions: 3\nid: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", ": idle\n\n", "\n"}
	for size := 1; size <= len(text); size++ {
		c := qt.New(t)
		var s eventSplitter
		var got []string
		for at := 0; at < len(text); at += size {
			s.feed([]byte(text[at:min(at+size, len(text))]))
			for event := s.next(); event != nil; event = s.next() {
				got = append(got, string(event))
			}
		}
		c.Assert(got, qt.DeepEquals, want, qt.Commentf("fed by %d bytes", size))
		c.Assert(string(s.partial()), qt.Equals, "id: 3\ndata")
	}
}

func TestEventID(t *testing.T) {
	for _, test := range []struct {
		name  string
		event string
		id    int64
		ok    bool
	}{
		{"an id first", "id: 12\ndata: x\n\n", 12, true},
		{"an id second, without a space", "versions: 2\nid:7\r\ndata: x\r\n\r\n", 7, true},
		{"an id within the data", "data: id: 3\n\n", 0, false},
		{"an id that is not a number", "id: x\n\n", 0, false},
		{"a comment", ": comment\n\n", 0, false},
		{"nothing", "", 0, false},
	} {
		id, ok := eventID([]byte(test.event))
		comment := qt.Commentf("%s: %q", test.name, test.event)
		qt.New(t).Assert([]any{id, ok}, qt.DeepEquals, []any{test.id, test.ok}, comment)
	}
}

func TestEventOrderAfterResumption(t *testing.T) {
	for _, test := range []struct {
		name        string
		consecutive bool
		first       []int64       // ids that the first server sends
		resumed     []int64       // ids that the next server sends
		want        []eventAction // for each event of the next server
	}{
		{"resumed at the next event", true, []int64{1, 2}, []int64{3, 4},
			[]eventAction{actionForward, actionForward}},
		{"restarted from the first event", true, []int64{1, 2}, []int64{1, 2, 3},
			[]eventAction{actionSkip, actionSkip, actionForward}},
		{"an event is missing", true, []int64{1, 2}, []int64{4}, []eventAction{actionGap}},
		{"the service's ids may have gaps", false, []int64{1, 2}, []int64{4}, []eventAction{actionForward}},
		{"earlier ids had a gap", true, []int64{1, 4}, []int64{9}, []eventAction{actionForward}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			o := eventOrder{consecutive: test.consecutive}
			for _, id := range test.first {
				c.Assert(o.decide(id), qt.Equals, actionForward)
			}
			o.resumed = true
			for i, id := range test.resumed {
				c.Assert(o.decide(id), qt.Equals, test.want[i])
			}
		})
	}
}
