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
	// memoryPart is the part of the process's memory that the runtime may take before it collects harder.
	memoryPart = 0.7
	// reloadInterval is how often the settings file is looked at besides SIGHUP.
	reloadInterval = time.Second
	// logBacklog is how many bytes of the log wait while nobody reads it; later lines are lost, and counted.
	logBacklog = 64 << 10
	// logPatience bounds how long the end of the process waits for whoever reads the log.
	logPatience = 300 * time.Millisecond
)

// lostLines is the line that stands in place of lost ones.
func lostLines(lost int64) string {
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
func (c *routerCommand) serve(o *output, more func(*agentsettings.Settings) []agent.Option) error {
	settings, err := agentsettings.Load()
	if err != nil {
		o.code = exitSettings
		return err
	}
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(memoryPart * float64(settings.MemoryBytes)))
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return err
	}
	lines := logwriter.New(o.err, logBacklog, lostLines)
	defer lines.Close(logPatience)
	log := zerolog.New(lines).Level(level)
	logViolations(log)
	options := append(more(settings), agent.WithMetricsPort(c.MetricsPort))
	process, err := agent.New(settings, log, options...)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	go mind(process, o.signals, stop)
	return process.Run(stop)
}

// mostViolationLines is how many lines a second tell of broken invariants.
const mostViolationLines = 4

// logViolations has broken invariants told in the log.
func logViolations(log zerolog.Logger) {
	bounded := log.Sample(&zerolog.BurstSampler{Burst: mostViolationLines, Period: time.Second})
	invariant.SetHandler(func(v *invariant.Violation) {
		bounded.Error().Str("check", v.Check.String()).Msg(v.Error())
	})
}

// mind reloads settings that changed and closes stop at the first signal to end.
func mind(process *agent.Node, signals <-chan os.Signal, stop chan<- struct{}) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	settings := newReloader(process.Reload, process.ReloadFailed)
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				close(stop)
				return
			}
			settings.read()
		case <-ticker.C:
			settings.look()
		}
	}
}
