package cli

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/config"
	"cresshub/internal/settingsfile"
)

func newConfig() *cobra.Command {
	c := &cobra.Command{
		Use: "config", Short: "Check, show and document the configuration",
		Example: "  cresshub config check cresshub.toml\n  cresshub config show -c cresshub.toml",
	}
	c.AddCommand(newCheck(), newShow(), newDocs(), newInit())
	return c
}

func newCheck() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Print all mistakes in a file, one per line",
		Long: "Prints all mistakes in a file, each as FILE:LINE: key: message; if there are any, exits with 1.\n" +
			"Only the platform's variables are read: where EDGE_CONFIG is set, the file is checked against\n" +
			"what the platform allows. A file whose name ends in .json is read as the platform's file.",
		Example: "  cresshub config check cresshub.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			in := config.Input{File: args[0], Environ: platformVariables}
			if strings.HasSuffix(args[0], ".json") {
				in.File = ""
				in.Environ = func() []string { return []string{"EDGE_CONFIG=" + args[0]} }
			}
			_, err := config.Load(in)
			var problems settingsfile.SettingErrors
			if err != nil && !errors.As(err, &problems) {
				return err
			}
			if err := printProblems(c.OutOrStdout(), problems, asJSON); err != nil {
				return err
			}
			if len(problems) > 0 {
				return errReported
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the mistakes as one JSON array")
	return c
}

// printProblems prints mistakes, one per line or as one JSON array.
func printProblems(w io.Writer, problems settingsfile.SettingErrors, asJSON bool) error {
	if !asJSON {
		if len(problems) == 0 {
			return nil
		}
		_, err := fmt.Fprintln(w, problems)
		return err
	}
	type row struct {
		File    string `json:"file"`
		Line    int    `json:"line"`
		Key     string `json:"key"`
		Message string `json:"message"`
	}
	rows := []row{}
	for _, p := range problems {
		rows = append(rows, row{p.Name, p.Line, p.Key, p.Message})
	}
	return printJSON(w, rows)
}

// platformVariables returns the environment variables of the platform, which begin with EDGE_; nil where
// EDGE_CONFIG is not set.
func platformVariables() []string {
	if os.Getenv("EDGE_CONFIG") == "" {
		return nil
	}
	return slices.DeleteFunc(os.Environ(), func(v string) bool { return !strings.HasPrefix(v, "EDGE_") })
}

func newShow() *cobra.Command {
	var from configFlags
	var asJSON, all bool
	c := &cobra.Command{
		Use:   "show",
		Short: "Print the effective values and the source of each",
		Long: "Prints the effective values, and for each whether it is a default or which file and line,\n" +
			"environment variable or flag set it. Without --all, the table omits keys at their default.",
		Example: "  cresshub config show -c cresshub.toml\n  cresshub config show -c cresshub.toml --json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, _, err := from.load()
			if err != nil {
				return err
			}
			values := cfg.Effective()
			if asJSON {
				return printJSON(c.OutOrStdout(), values)
			}
			w := newTable(c.OutOrStdout(), 0)
			for _, v := range values {
				if all || v.Source != "default" {
					w.printf("%s\t%v\t%s\t%s\n", v.Key, v.Value, v.Source, v.At)
				}
			}
			return w.flush()
		},
	}
	from.register(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print all keys as one JSON array")
	c.Flags().BoolVar(&all, "all", false, "include keys at their default in the table")
	return c
}

func newDocs() *cobra.Command {
	var output string
	c := &cobra.Command{
		Use:     "docs",
		Short:   "Write the reference page of all configuration keys",
		Example: "  cresshub config docs\n  cresshub config docs --output -",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return writeFile(c.OutOrStdout(), output, config.Reference(), true)
		},
	}
	c.Flags().StringVarP(&output, "output", "o", "docs/CONFIGURATION.md", "file to write, - for standard output")
	return c
}

func newInit() *cobra.Command {
	var force bool
	c := &cobra.Command{
		Use:   "init [FILE]",
		Short: "Write an initial configuration file",
		Long: "Writes a file with all keys, their descriptions and their defaults. FILE is cresshub.toml unless\n" +
			"given; - writes to standard output. An existing file is replaced only with --force.",
		Example: "  cresshub config init\n  cresshub config init -",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return writeFile(c.OutOrStdout(), append(args, "cresshub.toml")[0], config.InitialFile(), force)
		},
	}
	c.Flags().BoolVar(&force, "force", false, "replace an existing file")
	return c
}

// writeFile writes text to a file, or to w where the path is "-". Unless replace is set, it fails if the file
// exists.
func writeFile(w io.Writer, path, text string, replace bool) error {
	if path == "-" {
		_, err := io.WriteString(w, text)
		return err
	}
	mode := os.O_WRONLY | os.O_CREATE | os.O_TRUNC
	if !replace {
		mode = os.O_WRONLY | os.O_CREATE | os.O_EXCL
	}
	f, err := os.OpenFile(path, mode, 0o644)
	if errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("%s is there already; --force replaces it", path)
	}
	if err != nil {
		return err
	}
	_, err = io.WriteString(f, text)
	return errors.Join(err, f.Close())
}
