package cli

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlserver"
	"cresshub/internal/testbed/nettest"
)

// serveDocuments serves a document at each path until the test ends, as a control address does. It returns
// the address.
func serveDocuments(c *qt.C, documents map[string]string) string {
	c.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	served := make(chan struct{})
	go func() {
		defer close(served)
		(&controlserver.Server{Handler: func(call *controlserver.Call) *http1.Response {
			if document, ok := documents[call.Path]; ok {
				return controlserver.JSON(200, []byte(document))
			}
			return controlserver.Text(503, "not now")
		}}).Serve(listener)
	}()
	c.Cleanup(func() {
		listener.Close()
		<-served
	})
	return listener.Addr().String()
}

// run runs a command line and returns its exit code and output.
func run(arguments ...string) (code int, out, errorOutput string) {
	var stdout, stderr bytes.Buffer
	code = Main(arguments, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// lines returns the lines of a text, with one space between words.
func lines(text string) []string {
	var all []string
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		all = append(all, strings.Join(strings.Fields(line), " "))
	}
	return all
}

const members = `{"asked":"p1","edition":3,"epoch":2,"members":[
{"id":"p1","office":"front-a","ip":"127.0.0.2","control":"127.0.0.2:3","district":"kopli","state":"ready",
"has_disk":true,"keeps_configuration":true},
{"id":"p2","office":"front-b","ip":"127.0.0.3","control":"127.0.0.3:3","state":"lost","follows":"p1"}]}`

// decodeJSON decodes a document.
func decodeJSON(c *qt.C, document string) any {
	c.Helper()
	var value any
	c.Assert(json.Unmarshal([]byte(document), &value), qt.IsNil)
	return value
}

func TestMembersArePrinted(t *testing.T) {
	c := qt.New(t)
	address := serveDocuments(c, map[string]string{"/api/members": members})
	code, out, _ := run("members", "--control", address)
	c.Assert(code, qt.Equals, 0)
	c.Assert(lines(out), qt.DeepEquals, []string{
		"NAME ZONE CONTROL STATE PART FOLLOWS ID",
		"front-a kopli 127.0.0.2:3 ready keeps the configuration - p1",
		"front-b - 127.0.0.3:3 lost follower front-a p2",
	})
	code, out, _ = run("members", "--control", address, "--json")
	c.Assert(code, qt.Equals, 0)
	c.Assert(out, qt.JSONEquals, decodeJSON(c, members))
}

func TestServersArePrinted(t *testing.T) {
	c := qt.New(t)
	address := serveDocuments(c, map[string]string{"/api/servers": `{"asked":"p1","servers":[{"id":"i-1",
		"depot":"model","address":"127.0.0.8:80","bays":8,"state":"ready","stage":"writing",
		"changing_to":"reading","postmark":4}]}`})
	code, out, _ := run("servers", "--control", address)
	c.Assert(code, qt.Equals, 0)
	c.Assert(lines(out), qt.DeepEquals, []string{
		"ID SERVICE ADDRESS ZONE VERSION SLOTS STATE ROLE",
		"i-1 model 127.0.0.8:80 - - 8 ready decode, changing to prefill",
	})
}

const configuration = `{"edition":7,"routes":[{"name":"r1","town":"h","street_prefix":"/a/",
"mail_class":"stream","timeout_ms":3000,"delivery_tries":2,
"apportion":[{"depot":"one","share":90},{"depot":"two","share":10}],
"redeliver":true}],"depots_list":[{"name":"one"},{"name":"two"}]}`

func TestConfigurationIsPrinted(t *testing.T) {
	c := qt.New(t)
	address := serveDocuments(c, map[string]string{"/api/config": configuration})
	code, out, _ := run("config", "show", "--control", address)
	c.Assert(code, qt.Equals, 0)
	c.Assert(lines(out), qt.DeepEquals, []string{
		"version 7: 1 routes, 2 services", "",
		"ROUTE HOST PREFIX KIND TIMEOUT ATTEMPTS SERVICES",
		"r1 h /a/ stream, resumable 3s 2 one 90%, two 10%",
	})
	_, out, _ = run("config", "show", "--control", address, "--json")
	c.Assert(out, qt.Equals, configuration+"\n")
}

// writeFile returns the path of a new file with the text.
func writeFile(c *qt.C, text string) string {
	c.Helper()
	path := filepath.Join(c.TempDir(), "document.json")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

func TestPatchesAreChecked(t *testing.T) {
	c := qt.New(t)
	base := writeFile(c, configuration)
	good := writeFile(c, `{"edition":8,"deliver":{"depots_list":[{"name":"three"}]}}`)
	code, out, _ := run("config", "check", base, "--patch", good)
	c.Assert(code, qt.Equals, 0)
	c.Assert(lines(out), qt.DeepEquals, []string{"version 8: 1 routes, 3 services, no mistakes"})
	_, out, _ = run("config", "check", base, "--patch", good, "--json")
	c.Assert(out, qt.Matches, `(?s)\{"edition":8,.*\{"name":"three"\}\]\}\n`)
	bad := writeFile(c, `{"edition":8,"withdraw":{"depots_list":["one"],"models":[]}}`)
	code, _, errorOutput := run("config", "check", base, "--patch", bad)
	c.Assert(code, qt.Equals, 1)
	c.Assert(errorOutput, qt.Matches, `(?s).*withdraw.models: is not a known field; .*`)
	bad = writeFile(c, `{"edition":8,"withdraw":{"depots_list":["one"]}}`)
	_, _, errorOutput = run("config", "check", base, "--patch", bad)
	c.Assert(errorOutput, qt.Matches, `(?s).*"one" is named by route "r1"; withdraw or replace .*`)
}

func TestLateResponsesAreExplained(t *testing.T) {
	c := qt.New(t)
	for _, release := range []struct{ name, prefill, decode, tokens string }{
		{"this release", "prefill", "decode", "prefill_tokens"},
		{"an earlier one", "read", "write", "reads"},
	} {
		cut := `{"try":"t","route":"r1","target_ms":300,"role":"` + release.prefill + `","outcome":"served",` + "\n"
		prefill := `{"try":"t","route":"r1","target_ms":300,"role":"` + release.prefill + `","outcome":"served",` +
			`"shared":"1f","prompt":40000,"` + release.tokens + `":40000,"took_ms":700,"message":"front: call"}` + "\n"
		decode := `{"try":"t","route":"r1","target_ms":300,"role":"` + release.decode + `","outcome":"served",` +
			`"at_ms":700,"event_ms":20,"took_ms":50,"message":"front: call"}` + "\n"
		log := writeFile(c, cut+prefill+decode)
		code, out, _ := run("late", log)
		c.Assert(code, qt.Equals, 0)
		c.Assert(lines(out), qt.DeepEquals, []string{
			"2 calls; the fastest prefills take 0.0175 ms a token", "",
			"ROUTE TARGET ANSWERED LATE OWN_PREFILL REPEATED_PREFILL PREFILL_QUEUE DECODE RETRIES PREFILL",
			"r1 300 ms 1 1 1 0 0 0 0 0",
		}, qt.Commentf("a log of %s", release.name))
		_, out, _ = run("late", log, "--json")
		c.Assert(out, qt.Contains, `"causes":{"own_prefill":1}`)
	}
}

func TestErrorsNameTheRemedy(t *testing.T) {
	c := qt.New(t)
	code, _, errorOutput := run("members", "--control", serveDocuments(c, nil))
	c.Assert(code, qt.Equals, 1)
	c.Assert(errorOutput, qt.Matches, `.* answered 503: not now; ask another process with --control\n`)

	code, _, errorOutput = run("servers", "--control", nettest.RefusingAddress(t))
	c.Assert(code, qt.Equals, 1)
	c.Assert(errorOutput, qt.Matches, `.*connection refused; check the address, or call another process\n`)

	code, _, errorOutput = run("servers")
	c.Assert(code, qt.Equals, 2)
	c.Assert(errorOutput, qt.Matches, `(?s).*--control.*`)
}
