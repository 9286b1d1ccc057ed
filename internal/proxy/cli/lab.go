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

// newLab passes its arguments to the laboratory, a program of its own beside this one, so that its
// statistics, fonts and plots are no part of a proxy.
func newLab() *cobra.Command {
	return execLab("lab", nil, "Try designs on an emulated fleet (the program cresshub-lab)",
		"  cresshub lab run snowy-evening --policy module,two-choices\n  cresshub lab --help")
}

// newRig passes its arguments to the laboratory's fault rig.
func newRig() *cobra.Command {
	return execLab("rig", []string{"rig"}, "Put faults between several processes (the program cresshub-lab)",
		"  cresshub rig run partition\n  cresshub rig --help")
}

// execLab returns a command that replaces this process by the laboratory's program, with the arguments first
// and then its own.
func execLab(use string, first []string, short, example string) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Example: example, DisableFlagParsing: true,
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
			return syscall.Exec(path, slices.Concat([]string{name}, first, args), os.Environ())
		},
	}
}
