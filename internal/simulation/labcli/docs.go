package labcli

import (
	"github.com/spf13/cobra"

	"cresshub/internal/simulation/experiment"
)

// newShow is the command show.
func newShow() *cobra.Command {
	return &cobra.Command{
		Use: "show NAME", Short: "Print a shipped scenario, to begin one's own with",
		Example: "  cresshub-lab show snowy-evening", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			text, err := experiment.Text(args[0])
			if err != nil {
				return err
			}
			_, err = command.OutOrStdout().Write(text)
			return err
		},
	}
}

// newDocs is the command docs.
func newDocs() *cobra.Command {
	var out string
	command := &cobra.Command{
		Use: "docs", Short: "Write the page of all keys of a scenario", Example: "  cresshub-lab docs -o -",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return writeFile(command.OutOrStdout(), out, []byte(experiment.Reference()))
		},
	}
	command.Flags().StringVarP(&out, "out", "o", "docs/SCENARIO.md", "file, - for standard output")
	return command
}
