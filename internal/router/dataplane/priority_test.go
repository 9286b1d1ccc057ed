package dataplane

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPriorityFollowsRouteAndPromptLength(t *testing.T) {
	for _, test := range []struct{ route, tokens, want int }{
		{0, 0, 0}, {0, 999, 0}, {0, 1000, 1}, {2, 1000, 3}, {2, 50000, 9}, {9, 0, 9}, {20, 0, 9},
	} {
		qt.Check(t, priorityOf(test.route, test.tokens), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
