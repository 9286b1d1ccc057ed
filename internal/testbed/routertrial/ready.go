package routertrial

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"cresshub/internal/router/controlclient"
	"cresshub/internal/testbed/routerstandin"
)

// checkInterval is how often await checks its condition.
const checkInterval = 20 * time.Millisecond

// NotReadyError reports a condition that was not met in time.
type NotReadyError struct {
	What    string
	Wait    time.Duration
	Stalled time.Duration // for how long this process did not run besides
	Missing string        // why the condition did not hold when it was last checked
}

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("%s: not within %v, and %v in which this process stalled (%s); look into the logs with "+
		"--log FILE", e.What, e.Wait, e.Stalled.Round(time.Millisecond), e.Missing)
}

// await calls check until it returns "", or a *NotReadyError with what check said was missing. The timeout
// counts the time in which this process runs.
func (f *Fleet) await(ctx context.Context, what string, timeout time.Duration, check func() string) error {
	began := time.Now()
	bounded, cancel := f.stalls.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		missing := check()
		if missing == "" {
			return nil
		}
		select {
		case <-bounded.Done():
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return &NotReadyError{what, timeout, f.stalls.StalledSince(began), missing}
		case <-time.After(checkInterval):
		}
	}
}

// AwaitReady waits until the entry gives clients to every machine and every machine knows every server.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	if err := f.AwaitMachines(ctx); err != nil {
		return err
	}
	return f.AwaitServers(ctx)
}

// AwaitMachines waits until the entry gives clients to every machine.
func (f *Fleet) AwaitMachines(ctx context.Context) error {
	for _, machine := range f.Machines {
		if err := f.AwaitMachine(ctx, machine); err != nil {
			return err
		}
	}
	return nil
}

// AwaitServers waits until every machine knows the servers that run, and no others, as ready.
func (f *Fleet) AwaitServers(ctx context.Context) error {
	for _, machine := range f.Machines {
		err := f.await(ctx, machine.Name+" knows the servers", readyTimeout, func() string {
			known, err := machine.knownServers(ctx)
			switch running := f.serverIDs(); {
			case err != nil:
				return err.Error()
			case !slices.Equal(known, running):
				return fmt.Sprintf("it knows %v, and %v run", known, running)
			}
			return ""
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// AwaitMachine waits until a machine reports that it is ready and the entry gives clients to it.
func (f *Fleet) AwaitMachine(ctx context.Context, m *Machine) error {
	return f.await(ctx, m.Name+" is ready", readyTimeout, func() string {
		ready := func(p routerstandin.Proxy) bool { return p == m.proxy() }
		if problem := m.notReadyReason(ctx); problem != "" {
			return problem
		}
		if !slices.ContainsFunc(f.Entry.Ready(), ready) {
			return "the entry has not asked it again"
		}
		return ""
	})
}

// notReadyReason returns why a machine is not ready, "" where it is.
func (m *Machine) notReadyReason(ctx context.Context) string {
	bounded, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	answer, err := controlclient.Do(bounded, m.Ready, controlclient.Call{Method: "GET", Target: "/api/ready"})
	switch {
	case err != nil:
		return err.Error()
	case answer.Status != 200:
		return fmt.Sprintf("it answers %d: %s", answer.Status, answer.Body)
	}
	return ""
}

// knownServers returns the ids of the servers that a machine's process lists as ready, sorted. The fields are
// those of the operators' pages, named anew so that a mistake of the router's own encoding is noticed.
func (m *Machine) knownServers(ctx context.Context) ([]string, error) {
	bounded, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	answer, err := controlclient.Do(bounded, m.Control, controlclient.Call{Method: "GET",
		Target: "/api/servers"})
	if err != nil {
		return nil, err
	}
	var list struct {
		Servers []struct {
			ID    string `json:"id"`
			State string `json:"state"`
		} `json:"servers"`
	}
	if err := json.Unmarshal(answer.Body, &list); err != nil {
		return nil, err
	}
	var known []string
	for _, server := range list.Servers {
		if server.State == "ready" {
			known = append(known, server.ID)
		}
	}
	return known, nil
}
