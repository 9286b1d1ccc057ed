package jsondoc

import "strings"

// Problem is one fault of a document.
type Problem struct {
	Field  string // path of the value, for example routes[2].timeout_ms
	Reason string // what is wrong with the value
	Remedy string // which value would be accepted
}

func (p Problem) String() string { return p.Field + ": " + p.Reason + "; " + p.Remedy }

// ValidationError lists all faults of a document.
type ValidationError struct{ Problems []Problem }

// Error returns one line for each fault.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
