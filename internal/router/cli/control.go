package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlclient"
)

// controlTimeout bounds a call to a control address.
const controlTimeout = 5 * time.Second

// controlFlags are the flags of the commands that query a running process.
type controlFlags struct {
	Control string `help:"Control address of any process of the fleet." placeholder:"IP:PORT" required:""`
	JSON    bool   `help:"Print the JSON document of the answer."`
}

// statusError reports a response whose status is not 200.
type statusError struct {
	Address string
	Status  int
	Reason  string // the body of the response
}

func (e *statusError) Error() string {
	remedy := "check that --control names the control address of a process of this release"
	if e.Status == http1.StatusServiceUnavailable {
		remedy = "ask another process with --control"
	}
	return fmt.Sprintf("%s answered %d: %s; %s", e.Address, e.Status, e.Reason, remedy)
}

// fetch returns the document at a path of the control address.
func (f *controlFlags) fetch(path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	response, err := controlclient.Do(ctx, f.Control, controlclient.Call{Method: "GET", Target: path})
	if err != nil {
		return nil, err
	}
	if response.Status != http1.StatusOK {
		return nil, &statusError{f.Control, response.Status, strings.TrimSpace(string(response.Body))}
	}
	return response.Body, nil
}

// printDocument fetches the document at a path of the control address. It prints the document unchanged with
// --json, otherwise the table that render returns.
func printDocument[T any](out *output, flags *controlFlags, path string, render func(*T) *table) error {
	document, err := flags.fetch(path)
	if err != nil {
		return err
	}
	if flags.JSON {
		_, err := fmt.Fprintf(out.stdout, "%s\n", document)
		return err
	}
	var content T
	if err := json.Unmarshal(document, &content); err != nil {
		return fmt.Errorf("decode the response of %s: %w; use a program of the same release as the process",
			flags.Control, err)
	}
	return render(&content).print(out.stdout)
}
