package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/config"
	"cresshub/internal/proxy/daemon"
)

// Signals returns the signals that a serving program handles. It is called before anything else, since a
// signal that is not handled ends the process. SIGPIPE is ignored: that nobody reads the log any more is no
// reason to end.
func Signals() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 64)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	return signals
}

func newServe(signals <-chan os.Signal) *cobra.Command {
	var from configFlags
	c := &cobra.Command{
		Use:   "serve",
		Short: "Serve clients until SIGTERM",
		Long: "Serves clients until SIGTERM or SIGINT, answers all that was taken, and ends.\n\n" +
			"SIGHUP reads the configuration again, SIGUSR1 logs the counters. The log goes to standard error.",
		Example: "  cresshub serve --config cresshub.toml\n" +
			"  cresshub serve -c cresshub.toml --set log.requests=true",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg, in, err := from.load()
			if err != nil {
				return err
			}
			daemon.SetRuntimeLimits(cfg.Limits, 1)
			proxy, err := daemon.New(cfg, os.Stderr)
			if err != nil {
				return err
			}
			in.Reload = true
			proxy.Run(signals, func() (*config.Config, error) { return config.Load(in) })
			return nil
		},
	}
	from.register(c)
	return c
}
