package fleetconfig

import (
	"fmt"
	"maps"

	"cresshub/internal/jsondoc"
)

// ParseAndApply parses a patch that builds on this version and applies it. Its errors are those of ParsePatch
// and Apply.
func (c *Config) ParseAndApply(body []byte) (*Config, error) {
	patch, err := ParsePatch(c.Version, body)
	if err != nil {
		return nil, err
	}
	return c.Apply(patch)
}

// Apply returns the version that a patch creates from this one; this one is not modified. Its error is a
// *BaseVersionError, or a *jsondoc.ValidationError that lists every problem of the patch and of its result.
// Its cost depends only on the size of the patch, except for the first patch of a complete document and for
// patches that withdraw services.
func (c *Config) Apply(patch *Patch) (*Config, error) {
	if patch.Base != c.Version {
		return nil, &BaseVersionError{patch.Base, c.Version}
	}
	document, err := jsondoc.Parse(patch.Body)
	if err != nil {
		return nil, err
	}
	checkPatch(document.Root())
	if err := document.Err(); err != nil {
		return nil, err
	}
	a := newPatchApplication(c, document.Root(), patch.Body)
	a.changeServices()
	a.changeRoutes()
	a.checkWithdrawnServices()
	a.checkValueCount()
	if patch.Version <= c.Version {
		document.Root().Get(versionField).Reject("is not above the version it builds on",
			"give a whole number above the current version")
	}
	if err := document.Err(); err != nil {
		return nil, err
	}
	return a.result(patch), nil
}

// patchApplication is the working state while a patch is applied. It starts as the base version.
type patchApplication struct {
	base              *Config
	deliver, withdraw jsondoc.Node
	delivered         map[string][]item // by the name of the list
	services          map[string]*Service
	layout            layout
	routeIndex        routeIndex
	valueCount        int // JSON values in the resulting document
}

// newPatchApplication returns the state before any part of the patch is applied; body is the patch's JSON
// text.
func newPatchApplication(base *Config, root jsondoc.Node, body []byte) *patchApplication {
	a := &patchApplication{
		base: base, deliver: root.Get(deliverField), withdraw: root.Get(withdrawField),
		delivered: deliveredItems(body), services: base.Services, layout: *base.splitLayout(),
		routeIndex: base.routeIndex, valueCount: base.valueCount,
	}
	if base.patch == nil {
		a.valueCount += a.layout.addedFields
	}
	return a
}

// deliveredItems returns the items that a patch delivers, by the name of their list.
func deliveredItems(body []byte) map[string][]item {
	delivered := map[string][]item{}
	for _, list := range objectFields(fieldText(body, deliverField)) {
		delivered[list.name] = parseItems(list.text)
	}
	return delivered
}

// changeServices applies the patch to the list of services.
func (a *patchApplication) changeServices() {
	withdrawn, delivered := a.withdraw.Get(servicesField).Items(), a.deliver.Get(servicesField).Items()
	if len(withdrawn)+len(delivered) == 0 {
		return
	}
	a.services = maps.Clone(a.services)
	txn := a.layout.services.txn()
	for _, node := range withdrawn {
		name := node.Text()
		rejectAmbiguous(txn, node, name)
		txn.remove(name)
		delete(a.services, name)
	}
	for i, node := range delivered {
		entry := a.delivered[servicesField][i]
		rejectAmbiguous(txn, node, entry.name)
		txn.put(entry)
		a.services[entry.name] = parseService(node)
	}
	a.layout.services = txn.commit()
	a.valueCount += txn.addedValues
}

// changeRoutes applies the patch to the list of routes and to the index. The index entries of all changed
// routes are deleted before any is inserted, so that two routes can exchange their hosts and prefixes.
func (a *patchApplication) changeRoutes() {
	withdrawn, delivered := a.withdraw.Get(routesField).Items(), a.deliver.Get(routesField).Items()
	if len(withdrawn)+len(delivered) == 0 {
		return
	}
	txn, indexTxn := a.layout.routes.txn(), a.routeIndex.tree.Txn()
	for _, node := range withdrawn {
		name := node.Text()
		rejectAmbiguous(txn, node, name)
		deleteRoute(indexTxn, txn.find(name).route)
		txn.remove(name)
	}
	for i, node := range delivered {
		name := a.delivered[routesField][i].name
		rejectAmbiguous(txn, node, name)
		deleteRoute(indexTxn, txn.find(name).route)
	}
	for i, node := range delivered {
		entry := a.delivered[routesField][i]
		entry.route = parseRoute(node, a.services)
		txn.put(entry)
		insertRoute(indexTxn, entry.route, node)
	}
	a.layout.routes, a.routeIndex = txn.commit(), routeIndex{indexTxn.Commit()}
	a.valueCount += txn.addedValues
}

// rejectAmbiguous rejects a name that several items have, at the node of the patch that contains the name.
func rejectAmbiguous(txn *itemListTxn, node jsondoc.Node, name string) {
	if txn.isAmbiguous(name) {
		node.Reject(fmt.Sprintf("several items have the name %q", name), "send the whole configuration with PUT")
	}
}

// checkWithdrawnServices rejects withdrawn services that are still the target of a route outside of the
// patch. Routes that the patch delivers need no check here: they were parsed without those services.
func (a *patchApplication) checkWithdrawnServices() {
	withdrawn := a.withdraw.Get(servicesField).Items()
	if len(withdrawn) == 0 {
		return
	}
	delivered := map[string]bool{}
	for _, entry := range a.delivered[routesField] {
		delivered[entry.name] = true
	}
	for _, route := range a.layout.routes.routesInOrder() {
		if delivered[route.Name] {
			continue
		}
		for _, node := range withdrawn {
			if name := node.Text(); route.hasTarget(name) {
				node.Reject(fmt.Sprintf("%q is named by route %q", name, route.Name),
					"withdraw or replace that route in the same patch")
			}
		}
	}
}

// checkValueCount rejects a result with more values than package jsondoc accepts.
func (a *patchApplication) checkValueCount() {
	if a.valueCount > jsondoc.MaxValues {
		a.deliver.Reject(fmt.Sprintf("the configuration would hold %d values", a.valueCount),
			fmt.Sprintf("withdraw items that are not needed; at most %d values are accepted", jsondoc.MaxValues))
	}
}

// result returns the version that the patch creates.
func (a *patchApplication) result(patch *Patch) *Config {
	return &Config{
		Version: patch.Version, Services: a.services, Limits: a.base.Limits, routeIndex: a.routeIndex,
		valueCount: a.valueCount, patch: patch, layout: &a.layout,
	}
}
