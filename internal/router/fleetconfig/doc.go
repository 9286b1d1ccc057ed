// Package fleetconfig parses and validates the configuration that an operator sends to the router fleet,
// holds it as an immutable table against which requests are matched, and applies patches of named items.
//
// A configuration is one JSON document with a version ("edition"), a list of routes, a list of services
// ("depots_list") and limits on what clients may send. A Config is made in one of two ways:
//
//   - Parse parses a complete document and keeps it as the bytes that the operator sent.
//   - Config.Apply creates a new version from a Patch. Routes and items are kept in immutable radix trees (as
//     in Consul's state store) whose unchanged parts both versions share, so that the cost of a patch depends
//     on the size of the patch and not on that of the configuration. The document of the new version is
//     rendered on first use; the same patches on the same base render the same bytes in every process.
//
// ParseStored and EncodeStored convert between a Config and the format in which the replicated control state
// stores it (stored.go).
//
// parse.go and patch.go interpret a document or a patch, as nodes of package jsondoc. layout.go and
// item_list.go keep the text of the items as the operator wrote it, from which the documents of patched
// versions are rendered.
//
// A Config never changes after it is returned, and any goroutine may read it. A document or patch is rejected
// with a *jsondoc.ValidationError that lists all problems found, not only the first.
package fleetconfig
