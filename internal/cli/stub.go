package cli

import "github.com/spf13/cobra"

func newTry() *cobra.Command {
	return &cobra.Command{Use: "try", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return nil }}
}
func newStandin() *cobra.Command {
	return &cobra.Command{Use: "standin", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return nil }}
}
