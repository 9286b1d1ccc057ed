package fleetconfig

import (
	"errors"
	"fmt"
	"maps"

	"cresshub/internal/jsondoc"
)

// ParseAndApply reads a patch that builds on this version and applies it, with the errors of ParsePatch and
// Apply.
func (c *Config) ParseAndApply(body []byte) (*Config, error) {
	patch, err := ParsePatch(c.Version, body)
	if err != nil {
		return nil, err
	}
	return c.Apply(patch)
}

// Apply returns the version that a patch makes from this one, which stays as it is. Its error is a
// *BaseVersionError, or a *jsondoc.ValidationError that lists every fault of the patch and of its result. Its
// cost depends on the size of the patch alone, except for the first patch of a complete document and for
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
			"count on from the current version")
	}
	if err := document.Err(); err != nil {
		return nil, err
	}
	return a.result(patch), nil
}

// CheckSize returns a *jsondoc.ValidationError if the document is larger than MaxDocumentBytes.
func (c *Config) CheckSize() error {
	size := len(c.Raw())
	if size <= MaxDocumentBytes {
		return nil
	}
	return &jsondoc.ValidationError{Problems: []jsondoc.Problem{{
		Field:  deliverField,
		Reason: fmt.Sprintf("the configuration would have %d bytes", size),
		Remedy: fmt.Sprintf("withdraw items that are not needed; %d bytes are taken", MaxDocumentBytes),
	}}}
}

// patchApplication is the state of a patch while it is applied. It starts as the base version.
type patchApplication struct {
	base              *Config
	deliver, withdraw jsondoc.Node
	delivered         map[string][]item // by list
	services          map[string]*Service
	layout            layout
	routeIndex        routeIndex
	valueCount        int // of the resulting document
}

// newPatchApplication returns the state in which nothing of a patch is applied yet; body is the patch's text.
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

// deliveredItems returns the items that a patch delivers, by list.
func deliveredItems(body []byte) map[string][]item {
	delivered := map[string][]item{}
	for _, section := range objectFields(body) {
		if section.name != deliverField {
			continue
		}
		for _, list := range objectFields(section.text) {
			for _, text := range listItems(list.text) {
				delivered[list.name] = append(delivered[list.name], item{text: text, name: nameOf(text)})
			}
		}
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
		a.discount(txn, node, node.Text())
		txn.remove(node.Text())
		delete(a.services, node.Text())
	}
	for i, node := range delivered {
		entry := a.delivered[servicesField][i]
		a.discount(txn, node, entry.name)
		a.put(txn, entry)
		a.services[entry.name] = parseService(node)
	}
	a.layout.services = txn.commit()
}

// changeRoutes applies the patch to the list of routes and to the index. The index entries of all routes that
// change are deleted before any is inserted, so that two routes can exchange their hosts and prefixes.
func (a *patchApplication) changeRoutes() {
	withdrawn, delivered := a.withdraw.Get(routesField).Items(), a.deliver.Get(routesField).Items()
	if len(withdrawn)+len(delivered) == 0 {
		return
	}
	txn, indexTxn := a.layout.routes.txn(), a.routeIndex.tree.Txn()
	deleteFromIndex := func(node jsondoc.Node, name string) {
		if replaced := a.discount(txn, node, name); replaced.route != nil {
			indexTxn.Delete(routeKey(replaced.route.Host, replaced.route.Prefix))
		}
	}
	for _, node := range withdrawn {
		deleteFromIndex(node, node.Text())
		txn.remove(node.Text())
	}
	for i, node := range delivered {
		deleteFromIndex(node, a.delivered[routesField][i].name)
	}
	for i, node := range delivered {
		entry := a.delivered[routesField][i]
		entry.route = parseRoute(node, a.services)
		a.put(txn, entry)
		insertRoute(indexTxn, entry.route, node)
	}
	a.layout.routes, a.routeIndex = txn.commit(), routeIndex{indexTxn.Commit()}
}

// discount returns the item of a name, the zero item if there is none, and subtracts its values from the
// count. It rejects a name of several items.
func (a *patchApplication) discount(txn *itemListTxn, node jsondoc.Node, name string) item {
	entry, err := txn.find(name)
	switch {
	case errors.Is(err, errAmbiguousName):
		node.Reject(fmt.Sprintf("several items have the name %q", name), "send the whole configuration with PUT")
		return item{}
	case err != nil:
		return item{}
	}
	a.valueCount -= countValues(entry)
	return entry
}

// put puts a delivered item into a list and adds its values to the count.
func (a *patchApplication) put(txn *itemListTxn, entry item) {
	a.valueCount += countValues(entry)
	txn.put(entry)
}

// countValues returns how many JSON values an item holds, as package jsondoc counts them.
func countValues(entry item) int {
	document, err := jsondoc.Parse(entry.text)
	if err != nil {
		return 0
	}
	return document.ValueCount()
}

// checkWithdrawnServices rejects withdrawn services that a route outside of the patch still names. The routes
// that the patch delivers were parsed without those services.
func (a *patchApplication) checkWithdrawnServices() {
	nodes := a.withdraw.Get(servicesField).Items()
	if len(nodes) == 0 {
		return
	}
	delivered := map[string]bool{}
	for _, entry := range a.delivered[routesField] {
		delivered[entry.name] = true
	}
	for _, route := range a.layout.routes.routesInOrder() {
		for _, node := range nodes {
			if name := node.Text(); route.hasTarget(name) && !delivered[route.Name] {
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
			fmt.Sprintf("withdraw items that are not needed; %d values are taken", jsondoc.MaxValues))
	}
}

// result returns the version that the patch makes.
func (a *patchApplication) result(patch *Patch) *Config {
	return &Config{
		Version: patch.Version, Services: a.services, Limits: a.base.Limits, routeIndex: a.routeIndex,
		valueCount: a.valueCount, patch: patch, layout: &a.layout,
	}
}
