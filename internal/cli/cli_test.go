package cli

import (
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// Every command says what it is for and shows how it is called; examples name commands that are there.
func TestHelpIsWhole(t *testing.T) {
	root := newRoot(nil)
	Group(root)
	var walk func(c *cobra.Command)
	walk = func(c *cobra.Command) {
		if c.Short == "" || c.Example == "" {
			t.Errorf("%s: short %q, example %q", c.CommandPath(), c.Short, c.Example)
		}
		for line := range strings.Lines(c.Example) {
			line = strings.TrimSpace(line)
			if _, call, ok := strings.Cut(line, "<("); ok { // source <(cresshub ...)
				line = strings.TrimSuffix(call, ")")
			}
			args := strings.Fields(line)
			found, rest, err := root.Find(args[1:])
			if args[0] != "cresshub" || err != nil || found == root {
				t.Errorf("%s: example %q calls nothing: %v", c.CommandPath(), line, err)
				continue
			}
			if found.DisableFlagParsing {
				continue // another program reads them
			}
			if err := found.ParseFlags(rest); err != nil {
				t.Errorf("%s: example %q: %v", c.CommandPath(), line, err)
			}
		}
		for _, sub := range c.Commands() {
			walk(sub)
		}
	}
	walk(root)
}
