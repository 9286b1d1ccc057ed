package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"
)

// adminTimeout limits one call to the admin API, which responds within a second.
const adminTimeout = 2 * time.Second

// addAdminFlag adds the flag --door, whose value is the address of a proxy's admin API.
func addAdminFlag(c *cobra.Command, address *string) {
	c.Flags().StringVar(address, "door", "127.0.0.1:9901", "host and port of the proxy's admin API")
}

// getPage decodes a page of a proxy's admin API into the value that into points to. missing completes the
// error "the proxy at ADDRESS ..." for a proxy that does not have that page.
func getPage(address, path, missing string, into any) error {
	return callAdmin(http.MethodGet, address, path, missing, into)
}

// callAdmin sends a request to a proxy's admin API and decodes the JSON response into the value that into
// points to, within adminTimeout. For missing, see getPage.
func callAdmin(method, address, path, missing string, into any) error {
	client := http.Client{Timeout: adminTimeout}
	request, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("calling the admin API at %s: %w", address, err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return fmt.Errorf("the proxy at %s %s", address, missing)
	default:
		return fmt.Errorf("calling the admin API at %s: unexpected status %s", address, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return fmt.Errorf("decoding the response of the admin API at %s: %w", address, err)
	}
	return nil
}
