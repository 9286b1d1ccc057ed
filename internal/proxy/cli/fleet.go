package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cresshub/internal/cluster/gossip"
)

func newFleet() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Ask a running proxy for its view of the fleet of proxies",
		Example: "  cresshub fleet members --door 127.0.0.1:9901 --json"}
	var adminAddress string
	var asJSON bool
	members := &cobra.Command{
		Use: "members", Short: "Print each member as this proxy sees it: state, age, incarnation",
		Example: "  cresshub fleet members --door 127.0.0.1:9901", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var page gossip.Page
			err := getPage(adminAddress, "/_fleet", "keeps no view of a fleet (fleet.bind is empty there)", &page)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), page)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "NAME\tADDRESS\tSTATUS\tGONE\tPHASE\tSINCE\tINCARNATION\tHALL\tFLAPS")
			for _, m := range page.Members {
				fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\t%s\t%d\t%s\t%d\n", m.Name, m.Address, m.Status, m.Gone, m.Phase,
					(time.Duration(m.AgeMS) * time.Millisecond).Round(time.Millisecond), m.Incarnation, m.Hall, m.Flaps)
			}
			if err := w.Flush(); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "seen by %s (label %q): %+v\n", page.Self, page.Label, page.Counters)
			return err
		},
	}
	addDoorFlag(members, &adminAddress)
	members.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.AddCommand(members)
	return c
}

// addDoorFlag adds the flag for the address of a proxy's admin API.
func addDoorFlag(c *cobra.Command, address *string) {
	c.Flags().StringVar(address, "door", "127.0.0.1:9901", "host and port of the proxy's operators' door")
}

// getPage asks a door for a page; none says what a proxy without that page has not.
func getPage(address, path, missing string, into any) error {
	return callAdmin(http.MethodGet, address, path, missing, into)
}

// callAdmin makes a call on a door, within two seconds, and reads its answer.
func callAdmin(method, address, path, missing string, into any) error {
	client := http.Client{Timeout: 2 * time.Second}
	request, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("the door at %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return fmt.Errorf("the proxy at %s %s", address, missing)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the door at %s answered %s", address, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return fmt.Errorf("the door at %s: its page does not decode: %w", address, err)
	}
	return nil
}
