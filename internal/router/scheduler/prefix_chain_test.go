package scheduler

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func chainOfSegments(segments ...string) *prefixChain {
	r := &Request{Service: modelService()}
	for _, id := range segments {
		r.Segments = append(r.Segments, Segment{id, 100})
	}
	p := newPrefixChain(r)
	return &p
}

func TestPrefixHashCoversAllSegments(t *testing.T) {
	c := qt.New(t)
	ab, ac, cb := chainOfSegments("a", "b"), chainOfSegments("a", "c"), chainOfSegments("c", "b")
	c.Check(ab.hashes[0], qt.Equals, ac.hashes[0])
	c.Check(ab.hashes[1], qt.Not(qt.Equals), ac.hashes[1])
	c.Check(ab.hashes[1], qt.Not(qt.Equals), cb.hashes[1], qt.Commentf("the same segment after a different one"))
}

func TestSharedPrefixIsAllButTheLastSegment(t *testing.T) {
	tests := []struct {
		segments []string
		tokens   int
		ok       bool
	}{
		{nil, 0, false}, {[]string{"a"}, 0, false},
		{[]string{"a", "b"}, 100, true}, {[]string{"a", "b", "c"}, 200, true},
	}
	for _, test := range tests {
		shared, ok := chainOfSegments(test.segments...).shared()
		qt.Check(t, ok, qt.Equals, test.ok)
		qt.Check(t, shared.tokens, qt.Equals, test.tokens)
	}
}

func TestLongChainsAreTruncated(t *testing.T) {
	var segments []string
	for i := range 3 * maxChainSegments {
		segments = append(segments, fmt.Sprint(i))
	}
	chain := chainOfSegments(segments...)
	qt.Check(t, chain.length, qt.Equals, maxChainSegments)
}
