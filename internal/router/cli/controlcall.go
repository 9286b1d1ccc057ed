package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"cresshub/internal/router/controlclient"
)

// controlTimeout bounds a call at a control address.
const controlTimeout = 5 * time.Second

// controlFlags are the flags of the commands that ask a running process.
type controlFlags struct {
	Control string `help:"Control address of any process of the fleet." placeholder:"IP:PORT" required:""`
	JSON    bool   `help:"Print the JSON document of the answer."`
}

// StatusError says that a process answered with something else than 200.
type StatusError struct {
	Address string
	Status  int
	Reason  string // as the process told it
}

func (e *StatusError) Error() string {
	remedy := "check that --control names the control address of a process of this release"
	if e.Status == 503 {
		remedy = "ask another process with --control"
	}
	return fmt.Sprintf("%s answered %d: %s; %s", e.Address, e.Status, e.Reason, remedy)
}

// fetch reads a document from the control address.
func (f *controlFlags) fetch(path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	answer, err := controlclient.Do(ctx, f.Control, controlclient.Call{Method: "GET", Target: path})
	if err != nil {
		return nil, err
	}
	if answer.Status != 200 {
		return nil, &StatusError{f.Control, answer.Status, strings.TrimSpace(string(answer.Body))}
	}
	return answer.Body, nil
}

// show prints a document, or the table that render makes of it.
func show[T any](o *output, flags *controlFlags, path string, render func(*T) *table) error {
	document, err := flags.fetch(path)
	if err != nil {
		return err
	}
	if flags.JSON {
		_, err := fmt.Fprintf(o.stdout, "%s\n", document)
		return err
	}
	var answer T
	if err := json.Unmarshal(document, &answer); err != nil {
		return fmt.Errorf("the answer of %s can't be read: %w; use the program of the same release",
			flags.Control, err)
	}
	return render(&answer).print(o.stdout)
}
