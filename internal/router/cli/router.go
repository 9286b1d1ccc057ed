package cli

import (
	"fmt"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"cresshub/internal/invariant"
	"cresshub/internal/logwriter"
	"cresshub/internal/router/agent"
	"cresshub/internal/router/agentsettings"
)

const (
	// gcPercent, half of the runtime's default, keeps the heap small at the cost of CPU time.
	gcPercent = 50
	// memoryLimitFraction is the soft memory limit of the Go runtime, as a fraction of the process's memory.
	// Near the limit the runtime collects garbage more often.
	memoryLimitFraction = 0.7
	// reloadInterval is how often the settings file is polled. SIGHUP reloads it at once.
	reloadInterval = time.Second
	// logBufferBytes is how much of the log is buffered while its reader does not keep up; further lines are
	// dropped and counted.
	logBufferBytes = 64 << 10
	// logFlushTimeout bounds how long an exiting process waits until its buffered log is written.
	logFlushTimeout = 300 * time.Millisecond
)

// lostLinesRecord returns the log line that takes the place of dropped lines and reports how many there were.
func lostLinesRecord(lost int64) string {
	const form = `{"level":"warn","lost":%d,"message":"log: lines are lost, nobody read them"}`
	return fmt.Sprintf(form+"\n", lost)
}

// routerCommand runs a process of the fleet.
type routerCommand struct {
	LogLevel    string `help:"Least level that is logged: ${enum}." default:"info" enum:"debug,info,warn,error"`
	MetricsPort int    `help:"Port that serves /metrics, besides the control address." default:"0"`
}

// Run serves until SIGTERM or SIGINT.
func (c *routerCommand) Run(out *output) error { return c.serve(out, noOptions) }

func noOptions(*agentsettings.Settings) []agent.Option { return nil }

// serve runs a process until SIGTERM or SIGINT, with agent options that may depend on its settings.
func (c *routerCommand) serve(out *output, agentOptions func(*agentsettings.Settings) []agent.Option) error {
	settings, err := agentsettings.Load()
	if err != nil {
		return &exitError{exitSettings, err}
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return err
	}
	logOutput := logwriter.New(out.stderr, logBufferBytes, lostLinesRecord)
	defer logOutput.Close(logFlushTimeout)
	log := zerolog.New(logOutput).Level(level)
	logViolations(log)
	options := append(agentOptions(settings), agent.WithMetricsPort(c.MetricsPort))
	process, err := agent.New(settings, log, options...)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	go handleSignals(process, out.signals, stop)
	return process.Run(stop)
}

// maxViolationsPerSecond bounds the lines that are logged for violated invariants.
const maxViolationsPerSecond = 4

// logViolations logs violations of invariants, at most maxViolationsPerSecond a second.
func logViolations(log zerolog.Logger) {
	limited := log.Sample(&zerolog.BurstSampler{Burst: maxViolationsPerSecond, Period: time.Second})
	invariant.SetHandler(func(violation *invariant.ViolationError) {
		limited.Error().Str("check", violation.Check.String()).Msg(violation.Error())
	})
}

// handleSignals reloads the settings on SIGHUP and when polling finds a change. At the first other signal it
// closes stop and returns.
func handleSignals(process *agent.Agent, signals <-chan os.Signal, stop chan<- struct{}) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	settings := newSettingsReloader(process.Reload, process.ReloadFailed)
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				close(stop)
				return
			}
			settings.reload()
		case <-ticker.C:
			settings.poll()
		}
	}
}
