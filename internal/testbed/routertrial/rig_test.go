package routertrial

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	// the program under test is built of it: a change of it makes results stale
	_ "cresshub/internal/router/agent"
	"cresshub/internal/testbed/routerstandin"
)

const (
	// patience bounds a whole test; no verdict depends on how much of it is used.
	patience = 90 * time.Second
	// soakPatience bounds a whole soak.
	soakPatience = 3 * time.Minute
	// fleetsAtOnce is how many fleets of six processes run at the same time.
	fleetsAtOnce = 4
	testRate     = 60 // requests a second
)

var logFolder = flag.String("logs", "", "folder that gets the logs of all processes, a file for each test")

var (
	binary  string // the built program
	running = make(chan struct{}, fleetsAtOnce)
)

func TestMain(m *testing.M) { os.Exit(withProgram(m)) }

// withProgram builds the program for the tests.
func withProgram(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cresshub-routertrial-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "cresshub-fleet")
	build := exec.Command("go", "build", "-o", binary, "cresshub/cmd/cresshub-fleet")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// rig is a fleet whose clients send until the test ends.
type rig struct {
	*qt.C
	*Fleet
	ctx     context.Context
	load    *routerstandin.Load
	sending chan struct{}
	over    sync.WaitGroup
	log     *tailLog
}

// newRig starts a fleet and its clients. The rules are judged when the test calls finish.
func newRig(t *testing.T) *rig {
	t.Helper()
	return newRigOf(t, Options{})
}

// newRigOf is newRig with options of the test.
func newRigOf(t *testing.T, options Options) *rig {
	t.Helper()
	t.Parallel()
	running <- struct{}{}
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	r := &rig{C: c, ctx: ctx, sending: make(chan struct{}), log: &tailLog{}}
	c.Cleanup(func() {
		cancel()
		r.over.Wait()
		if r.Fleet != nil {
			r.Close()
		}
		if t.Failed() {
			r.log.print(t)
		}
		<-running
	})
	began := time.Now()
	var err error
	options.Program, options.Rate, options.Seed, options.Log = binary, testRate, 1, r.logs()
	r.Fleet, err = StartFleet(ctx, options)
	c.Assert(err, qt.IsNil)
	t.Logf("started in %v", time.Since(began).Round(time.Millisecond))
	r.startClock()
	r.load = r.NewLoad()
	r.over.Go(func() { r.load.Run(ctx, r.sending) })
	return r
}

// logs returns where the processes' logs go: a file of the folder that -logs names, or else the tail.
func (r *rig) logs() io.Writer {
	if *logFolder == "" {
		return r.log
	}
	file, err := os.Create(filepath.Join(*logFolder, strings.ReplaceAll(r.Name(), "/", "_")))
	r.Assert(err, qt.IsNil)
	r.Cleanup(func() { file.Close() })
	return file
}

// serve waits until so many further requests were served.
func (r *rig) serve(more int) {
	r.Helper()
	target := r.served() + more
	r.await("requests are served", func() string {
		if served := r.served(); served < target {
			return fmt.Sprintf("%d of %d", served, target)
		}
		return ""
	})
}

func (r *rig) served() int {
	total := r.load.Tally().Total()
	return total.Served()
}

func (r *rig) await(what string, holds func() string) {
	r.Helper()
	r.Assert(r.Fleet.await(r.ctx, what, readyTimeout, holds), qt.IsNil)
}

// calm waits until the rules with a time bound bind every machine again.
func (r *rig) calm() { r.Assert(routerstandin.Sleep(r.ctx, bounds.Touch), qt.IsTrue) }

// finish ends the clients, reads the configuration back, and checks that every rule was kept.
func (r *rig) finish() routerstandin.KindTally {
	r.Helper()
	close(r.sending)
	r.over.Wait()
	r.Check(r.Operator.ReadBack(r.ctx), qt.IsNil)
	checkRules(r.C, r.Observations.Judge())
	total := r.load.Tally().Total()
	r.Logf("asked %d, in time %d, late %d, refused %d, failed %d, interrupted %d", total.Asked, total.InTime,
		total.Late, total.Rejected, total.Failed, total.Interrupted)
	if r.Failed() {
		r.Log(strings.Join(r.Events(), "\n"))
	}
	return total
}

// tailLog keeps the last lines of the processes' logs.
type tailLog struct{ lines []string }

// maxLogLines is how many lines a failed test shows.
const maxLogLines = 200

// Write is called by one goroutine at a time.
func (l *tailLog) Write(line []byte) (int, error) {
	l.lines = append(l.lines, strings.TrimSuffix(string(line), "\n"))
	l.lines = l.lines[max(0, len(l.lines)-maxLogLines):]
	return len(line), nil
}

func (l *tailLog) print(t *testing.T) {
	t.Helper()
	t.Log("the end of the logs:\n" + strings.Join(l.lines, "\n"))
}
