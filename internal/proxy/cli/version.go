package cli

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func newVersion() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use: "version", Short: "Print the version, the revision and the Go release of this build",
		Example: "  cresshub version --json", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			out := map[string]string{}
			for _, key := range []string{"version", "revision", "modified", "go"} {
				out[key] = "unknown"
			}
			if info, ok := debug.ReadBuildInfo(); ok {
				out["version"], out["go"] = info.Main.Version, info.GoVersion
				for _, s := range info.Settings {
					switch s.Key {
					case "vcs.revision":
						out["revision"] = s.Value
					case "vcs.modified":
						out["modified"] = s.Value
					}
				}
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), out)
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "cresshub %s, revision %s, modified %s, %s\n", out["version"],
				out["revision"], out["modified"], out["go"])
			return err
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	return c
}

func newCompletion(root *cobra.Command) *cobra.Command {
	return &cobra.Command{
		Use:       "completion bash|zsh|fish",
		Short:     "Write a shell's completion script",
		Example:   "  source <(cresshub completion bash)",
		ValidArgs: []string{"bash", "zsh", "fish"},
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		RunE: func(c *cobra.Command, args []string) error {
			switch args[0] {
			case "bash":
				return root.GenBashCompletionV2(c.OutOrStdout(), true)
			case "zsh":
				return root.GenZshCompletion(c.OutOrStdout())
			}
			return root.GenFishCompletion(c.OutOrStdout(), true)
		},
	}
}
