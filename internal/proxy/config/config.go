// Package config is the configuration of a client proxy: every setting is a field of Config or of one of its
// sections. The comment on a field describes the key to operators, and its tags define the key, its default,
// its bounds and how a running program applies a change (see package settingsfile). The reference page
// (Reference), an initial file (InitialFile) and the checks are derived from these fields.
//
// A setting is declared in this form:
//
//	// limit: longest wait for the response, after which the request is given up.
//	Limit time.Duration `key:"limit" default:"2s" min:"10ms" max:"10m" reload:"live"`
//
// The comment begins with the key and ends in a period. The program gets the comments from descriptions.go.
// After a change of comments or keys, "go test ./internal/proxy/config -run Descriptions -update"
// regenerates that file, and then "cresshub config docs" regenerates docs/CONFIGURATION.md. Tests fail if
// either is stale.
//
// A setting without a default must be set; enum and form restrict strings; without reload, a change needs a
// restart. Sections are structs with a key, lists of tables are slices of structs. The files section_*.go
// have one struct for each section, and validate checks what tags cannot express: how settings must agree
// with each other.
//
// Load merges the sources, each of which overrides those before it: the defaults, the operator's file
// (TOML), the platform's file (JSON, named by EDGE_CONFIG), environment variables and flags. It collects
// all mistakes, each with the file and line, the variable or the flag that contains it.
package config

import (
	"encoding/json"
	"sync"

	"cresshub/internal/settingsfile"
)

// variablePrefix begins the names of environment variables that set keys.
const variablePrefix = "CRESSHUB_"

// Size is a number of bytes.
type Size = settingsfile.Size

// schema returns the keys of Config.
var schema = sync.OnceValue(func() *settingsfile.Schema {
	return settingsfile.NewSchema[Config](variablePrefix, "`cresshub config docs` lists all")
})

// The sources of values, as an Origin names them.
const (
	sourceDefault     = "default"
	sourceFile        = "file"
	sourcePlatform    = "platform"
	sourceEnvironment = "environment"
	sourceFlag        = "flag"
	sourceNone        = "none" // for a mistake that is in no source
)

// Config is the settings of one client proxy. Load returns one whose values have been checked against their
// bounds and against each other. A Config is not modified after that, so any goroutine may read it.
type Config struct {
	// name: name of this instance, in its log and among the members of the fleet.
	Name string `key:"name" default:"cresshub"`

	// seed: seed of random decisions, 16 hex digits; if empty, a random one is used at each start. A given
	// seed makes decisions repeatable.
	Seed string `key:"seed" default:"" form:"hex" reload:"start"`

	// halls: names of the halls that servers run in; their order gives them their numbers.
	Halls []string `key:"halls" default:""`

	// kinds: names of the kinds of server; their order gives them their numbers.
	Kinds []string `key:"kinds" default:""`

	// operator: host and port to listen on for the admin API; empty for no admin API.
	Operator string `key:"operator" default:"" form:"listen?"`

	// The sections and lists of tables.
	Listen    Listen    `key:"listen"`
	Discovery Discovery `key:"discovery"`
	Handover  Handover  `key:"handover"`
	Fleet     Fleet     `key:"fleet"`
	Ledger    Ledger    `key:"ledger"`
	Owner     Owner     `key:"owner"`
	Limits    Limits    `key:"limits"`
	Clients   Clients   `key:"clients"`
	Shutdown  Shutdown  `key:"shutdown"`
	Upstream  Upstream  `key:"upstream"`
	Policy    Policy    `key:"policy"`
	Drain     Drain     `key:"drain"`
	SlowStart SlowStart `key:"cold"`
	Prices    Prices    `key:"prices"`
	Log       Log       `key:"log"`
	Classes   []Class   `key:"class"`
	Tenants   []Tenant  `key:"tenant"`
	Servers   []Server  `key:"server"`

	// KnownServers is the initial list of servers, in the format of package serverlist. Only the platform's file
	// may have one; nil without.
	KnownServers json.RawMessage

	drawnSeed  uint64                         // used where Seed is empty
	origins    map[string]settingsfile.Origin // of each value, by path
	onPlatform bool                           // whether EDGE_CONFIG names the platform's file
}
