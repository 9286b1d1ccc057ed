package routertrial

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/testbed/routerstandin"
)

// checkRules checks that no rule was broken.
func checkRules(tb testing.TB, rules []routerstandin.Verdict) {
	tb.Helper()
	for _, verdict := range rules {
		qt.Check(tb, verdict.Violations, qt.Equals, 0,
			qt.Commentf("%s: %s", verdict.Rule, strings.Join(verdict.Details, "\n")))
	}
}
