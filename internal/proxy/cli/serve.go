package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/config"
	"cresshub/internal/proxy/daemon"
)

// Signals returns a channel of the signals that a serving process handles. It must be called before anything
// else, because by default these signals end the process. SIGPIPE is ignored, so that the process continues
// when the reader of its log closes the pipe.
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
		Short: "Serve clients until SIGTERM or SIGINT",
		Long: "Serves clients until SIGTERM or SIGINT, then responds to all accepted requests and exits.\n\n" +
			"SIGHUP reloads the configuration, SIGUSR1 logs the counters. The log goes to standard error.",
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
			in.Reload = true // for the function below, which reads the configuration on SIGHUP
			proxy.Run(signals, func() (*config.Config, error) { return config.Load(in) })
			return nil
		},
	}
	from.register(c)
	return c
}
