// Package fleetconfig parses and validates the configuration that an operator sends to the router fleet,
// holds it as an immutable table against which requests are matched, and applies patches of named items.
//
// A configuration is one JSON document with a version ("edition"), a list of routes, a list of services
// ("depots_list") and limits on what clients may send. A Config is made in one of two ways:
//
//   - Parse reads a complete document. Its document is the bytes the operator sent.
//   - Config.Apply makes a new version from a Patch. Routes and items are kept in immutable radix trees (as
//     in Consul's state store) that both versions share, so that the cost of a patch depends on the patch and
//     not on the configuration. The document of the new version is rendered when it is first asked for; the
//     same patches on the same base render the same bytes in every process.
//
// ParseStored and EncodeStored convert between a Config and the form in which the replicated control state
// stores it (stored.go).
//
// The parsers of package jsondoc's nodes, in parse.go and patch.go, say what a document means; layout.go and
// item_list.go keep its text as the operator wrote it, for the documents that patches make.
//
// A Config never changes after it is returned, and any goroutine may read it. Every rejection of a document
// or patch is a *jsondoc.ValidationError that lists all faults found, not only the first.
package fleetconfig
