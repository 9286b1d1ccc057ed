// Package lab holds the scenarios that come with the laboratory.
package lab

import "embed"

// Files are the scenarios, by NAME.toml.
//
//go:embed *.toml
var Files embed.FS

// Rig are the scenarios of the fault rig, by rig/NAME.toml.
//
//go:embed rig/*.toml
var Rig embed.FS
