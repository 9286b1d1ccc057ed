package fleetconfig

import (
	"fmt"
	"slices"

	"cresshub/internal/jsondoc"
)

// The fields of a patch, besides versionField.
const (
	deliverField  = "deliver"
	withdrawField = "withdraw"
)

// Patch is a change of named items: what it delivers is added or replaces the item of the same name, what it
// withdraws is removed. Items without names are changed by sending a complete document.
type Patch struct {
	Base    int64  // the version that it builds on
	Version int64  // the version that it makes
	Body    []byte // JSON, as the operator sent it
}

// BaseVersionError reports that a patch was applied to another version than the one it builds on.
type BaseVersionError struct {
	Base    int64 // that the patch builds on
	Version int64 // that it was applied to
}

// Error implements error.
func (e *BaseVersionError) Error() string {
	return fmt.Sprintf("the patch builds on version %d, and this is version %d; read the current version and "+
		"build on it", e.Base, e.Version)
}

// ParsePatch reads a patch that builds on the given version and validates what can be validated without that
// version. Its error is a *jsondoc.ValidationError that lists every fault.
func ParsePatch(base int64, body []byte) (*Patch, error) {
	document, err := jsondoc.Parse(body)
	if err != nil {
		return nil, err
	}
	patch := &Patch{Base: base, Version: parseVersion(document.Root().Get(versionField)), Body: body}
	checkPatch(document.Root())
	if err := document.Err(); err != nil {
		return nil, err
	}
	return patch, nil
}

// checkPatch rejects unknown fields and lists, and names that are missing or stand twice.
func checkPatch(root jsondoc.Node) {
	rejectUnknownFields(root, "name no other field", versionField, deliverField, withdrawField)
	deliver, withdraw := root.Get(deliverField), root.Get(withdrawField)
	const remedy = "name " + routesField + " or " + servicesField + "; what has no names is sent whole with PUT"
	for _, section := range []jsondoc.Node{deliver, withdraw} {
		rejectUnknownFields(section, remedy, routesField, servicesField)
	}
	for _, list := range []string{routesField, servicesField} {
		seen := map[string]bool{}
		for _, node := range deliver.Get(list).Items() {
			rejectDuplicate(seen, node, node.Get(nameField).Text())
		}
		for _, node := range withdraw.Get(list).Items() {
			rejectDuplicate(seen, node, node.Text())
		}
	}
}

// rejectUnknownFields rejects the fields of an object that are not among the known ones.
func rejectUnknownFields(object jsondoc.Node, remedy string, known ...string) {
	for _, name := range object.FieldNames() {
		if !slices.Contains(known, name) {
			object.Get(name).Reject("is not known here", remedy)
		}
	}
}

// rejectDuplicate rejects a name that was seen before, and records it as seen.
func rejectDuplicate(seen map[string]bool, node jsondoc.Node, name string) {
	if seen[name] && name != "" {
		node.Reject(fmt.Sprintf("%q is twice in the patch", name),
			"deliver or withdraw each name once; an item that is delivered replaces the one of its name")
	}
	seen[name] = true
}
