package cli

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// newLab hands its arguments to the laboratory, a program of its own beside this one: its statistics, fonts
// and plots must not weigh on a proxy.
func newLab() *cobra.Command {
	return &cobra.Command{
		Use:   "lab",
		Short: "Try designs on an emulated fleet (the program cresshub-lab)",
		Example: "  cresshub lab run snowy-evening --policy module,two-choices\n" +
			"  cresshub lab --help",
		DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			const name = "cresshub-lab"
			path := ""
			if own, err := os.Executable(); err == nil {
				path = filepath.Join(filepath.Dir(own), name)
			}
			if _, err := os.Stat(path); err != nil {
				if path, err = exec.LookPath(name); err != nil {
					return fmt.Errorf("%s is neither beside this program nor on the path; make build makes both", name)
				}
			}
			return syscall.Exec(path, append([]string{name}, args...), os.Environ())
		},
	}
}
