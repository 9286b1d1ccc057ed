package cli

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/spf13/cobra"
)

// newLab returns the command that passes its arguments to the laboratory. That is a separate program in the
// same directory, so that its code for statistics, fonts and plots is not part of the proxy's binary.
func newLab() *cobra.Command {
	return execLab("lab", nil, "Test balancing policies on an emulated fleet (runs cresshub-lab)",
		"  cresshub lab run snowy-evening --policy module,two-choices\n  cresshub lab --help")
}

// newRig returns the command that passes its arguments to the laboratory's command rig, which injects
// faults.
func newRig() *cobra.Command {
	return execLab("rig", []string{"rig"}, "Inject faults between several processes (runs cresshub-lab)",
		"  cresshub rig run partition\n  cresshub rig --help")
}

// execLab returns a command that replaces this process by the program cresshub-lab, which gets leadingArgs
// and then the arguments of the command.
func execLab(use string, leadingArgs []string, short, example string) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Example: example, DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			const name = "cresshub-lab"
			path := ""
			if executable, err := os.Executable(); err == nil {
				path = filepath.Join(filepath.Dir(executable), name)
			}
			if _, err := os.Stat(path); err != nil {
				if path, err = exec.LookPath(name); err != nil {
					return fmt.Errorf("%s is neither beside this program nor in PATH; make build builds both", name)
				}
			}
			return syscall.Exec(path, slices.Concat([]string{name}, leadingArgs, args), os.Environ())
		},
	}
}
