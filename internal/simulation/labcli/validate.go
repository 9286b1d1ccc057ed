package labcli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"cresshub/internal/simulation/experiment"
)

// newValidate is the command validate.
func newValidate() *cobra.Command {
	var quick, asJSON bool
	command := &cobra.Command{
		Use: "validate", Short: "Hold the emulator against results that nobody here made",
		Example: "  cresshub-lab validate",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			checks, err := experiment.Validate(quick)
			if err != nil {
				return err
			}
			if asJSON {
				err = json.NewEncoder(command.OutOrStdout()).Encode(checks)
			} else {
				_, err = io.WriteString(command.OutOrStdout(), experiment.ValidationTable(checks))
			}
			if err != nil {
				return err
			}
			for _, check := range checks {
				if !check.Holds {
					return fmt.Errorf("%s: found %.4g, expected %.4g", check.Name, check.Measured, check.Expected)
				}
			}
			return nil
		},
	}
	command.Flags().BoolVar(&quick, "quick", false, "a fifth of the requests, wider bounds")
	command.Flags().BoolVar(&asJSON, "json", false, "print one JSON list")
	return command
}
