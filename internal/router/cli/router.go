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
	// garbagePercent keeps the heap small: memory is dearer than the processor time of collecting it.
	garbagePercent = 50
	// memoryLimitFraction is the part of the process's memory that the runtime may take before it collects
	// harder.
	memoryLimitFraction = 0.7
	// reloadInterval is how often the settings file is looked at besides SIGHUP.
	reloadInterval = time.Second
	// logBufferBytes is how many bytes of the log wait while nobody reads it; later lines are lost, and counted.
	logBufferBytes = 64 << 10
	// logFlushTimeout bounds how long the end of the process waits for whoever reads the log.
	logFlushTimeout = 300 * time.Millisecond
)

// lostLinesRecord is the line that stands in place of lost ones.
func lostLinesRecord(lost int64) string {
	const form = `{"level":"warn","lost":%d,"message":"log: lines are lost, nobody read them"}`
	return fmt.Sprintf(form+"\n", lost)
}

// routerCommand runs one process of the fleet.
type routerCommand struct {
	LogLevel    string `help:"Least level that is logged: ${enum}." default:"info" enum:"debug,info,warn,error"`
	MetricsPort int    `help:"Port that tells the figures at /metrics, besides the control address." default:"0"`
}

// Run serves until SIGTERM or SIGINT.
func (c *routerCommand) Run(o *output) error { return c.serve(o, noOptions) }

func noOptions(*agentsettings.Settings) []agent.Option { return nil }

// serve runs a process with options that may depend on its settings.
func (c *routerCommand) serve(o *output, agentOptions func(*agentsettings.Settings) []agent.Option) error {
	settings, err := agentsettings.Load()
	if err != nil {
		o.code = exitSettings
		return err
	}
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return err
	}
	logOutput := logwriter.New(o.stderr, logBufferBytes, lostLinesRecord)
	defer logOutput.Close(logFlushTimeout)
	log := zerolog.New(logOutput).Level(level)
	logViolations(log)
	options := append(agentOptions(settings), agent.WithMetricsPort(c.MetricsPort))
	process, err := agent.New(settings, log, options...)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	go handleSignals(process, o.signals, stop)
	return process.Run(stop)
}

// maxViolationsPerSecond is how many lines a second tell of broken invariants.
const maxViolationsPerSecond = 4

// logViolations has broken invariants told in the log.
func logViolations(log zerolog.Logger) {
	limited := log.Sample(&zerolog.BurstSampler{Burst: maxViolationsPerSecond, Period: time.Second})
	invariant.SetHandler(func(v *invariant.ViolationError) {
		limited.Error().Str("check", v.Check.String()).Msg(v.Error())
	})
}

// handleSignals reloads settings that changed and closes stop at the first signal to end.
func handleSignals(process *agent.Node, signals <-chan os.Signal, stop chan<- struct{}) {
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
