// Package config is the configuration of a client proxy: every setting is a field of Config or of one of its
// sections. The comment on a field describes the key to operators, and its tags carry the key, its default,
// its bounds and how it changes in a running program (see package settingsfile). The reference page
// (Reference), a first file (InitialFile) and the checks are made from these fields.
//
// A setting is declared in this form:
//
//	// limit: longest wait for the response, after which the request is given up.
//	Limit time.Duration `key:"limit" default:"2s" min:"10ms" max:"10m" reload:"live"`
//
// The comment begins with the key and ends in a period. The program has the comments from descriptions.go,
// which "go test ./internal/proxy/config -run Descriptions -update" writes after a change of comments or
// keys; then "cresshub config docs" writes docs/CONFIGURATION.md. Tests fail where either is stale.
//
// A setting without default must be set; enum and form restrict texts; without reload a change needs a
// restart. Sections are structs with a key, lists of tables are slices of structs. The files section_*.go
// have one struct for each section, and validate has what no tag can say: how settings must agree with
// each other.
//
// Load merges the sources in order of precedence: the defaults, the own file (TOML), the platform's file
// (JSON, named by EDGE_CONFIG), environment variables and flags. It collects all mistakes, each with the file
// and line, variable or flag that it is in.
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

// schema is the keys of Config.
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
	sourceNone        = "none" // of a mistake that is in no source
)

// Config is the settings of one client proxy. Load makes one, and its values are checked against their bounds
// and against each other. A Config is not changed once it is made, so any goroutine may read it.
type Config struct {
	// name: name of this instance, in its log and among the members of the fleet.
	Name string `key:"name" default:"cresshub"`

	// seed: seed of random choices, 16 hex digits; empty draws another one at each start. A given one makes
	// decisions repeatable.
	Seed string `key:"seed" default:"" form:"hex" reload:"start"`

	// halls: names of the halls that servers stand in; their order numbers them.
	Halls []string `key:"halls" default:""`

	// kinds: names of the kinds of server; their order numbers them.
	Kinds []string `key:"kinds" default:""`

	// operator: host and port of the admin API; empty for none.
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

	// KnownServers is a list of servers to begin with, in the form of package serverlist. Only the platform's
	// file may have one; nil without.
	KnownServers json.RawMessage

	drawnSeed  uint64                         // used where Seed is empty
	origins    map[string]settingsfile.Origin // of each value, by path
	onPlatform bool                           // EDGE_CONFIG names the platform's file
}
