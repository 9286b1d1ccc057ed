package scheduler

import (
	"fmt"
	"math"

	qt "github.com/frankban/quicktest"
)

// isNear checks that a float64 differs from the wanted value by at most the given tolerance.
var isNear qt.Checker = &nearChecker{}

type nearChecker struct{}

func (*nearChecker) ArgNames() []string { return []string{"got", "want", "within"} }

func (*nearChecker) Check(got any, args []any, note func(string, any)) error {
	want, within := args[0].(float64), 0.0
	switch x := args[1].(type) {
	case float64:
		within = x
	case int:
		within = float64(x)
	}
	if x, ok := got.(float64); !ok || math.IsNaN(x) || math.Abs(x-want) > within {
		return fmt.Errorf("the difference exceeds the tolerance")
	}
	return nil
}
