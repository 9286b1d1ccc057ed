//go:build review

// Package review runs the cases of the independent review (issue 68). They stay out of the default test run:
//
//	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o target/ ./cmd/cresshub-fleet
//	go test -tags review -run TestReviewCases -count 1 -v ./review
package review

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// brokenStatus is the exit status of a script whose rule was broken.
const brokenStatus = 1

// TestReviewCases runs each script review/N/run.sh, and fails where a rule is broken.
func TestReviewCases(t *testing.T) {
	scripts, err := filepath.Glob("*/run.sh")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, script := range scripts {
		t.Run(filepath.Dir(script), func(t *testing.T) {
			command := exec.Command("./" + script)
			command.Stdout, command.Stderr = os.Stdout, os.Stderr
			err := command.Run()
			var exit *exec.ExitError
			switch {
			case err == nil:
			case errors.As(err, &exit) && exit.ExitCode() == brokenStatus:
				t.Errorf("%s: the rule was broken; see record.txt beside it", script)
			default:
				t.Fatalf("%s could not run: %v", script, err)
			}
		})
	}
}
