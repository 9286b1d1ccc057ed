package fleetconfig

import (
	"fmt"
	"maps"

	"cresshub/internal/jsondoc"
)

// MaxDocumentBytes bounds a configuration, sent whole or made by a patch.
const MaxDocumentBytes = 8 << 20

// The fields of a patch.
const (
	deliverField  = "deliver"
	withdrawField = "withdraw"
)

// Patch is a change of named items: those it delivers are added or replace the item of their name, those it
// withdraws are removed.
type Patch struct {
	Base    int64 // the version that it builds on
	Version int64 // the version that it makes
	Body    []byte
}

// BaseVersionError tells that a patch was applied to another version than the one it builds on.
type BaseVersionError struct{ Base, Version int64 }

func (e *BaseVersionError) Error() string {
	return fmt.Sprintf("the patch builds on version %d, and this is version %d; read the current version and "+
		"build on it", e.Base, e.Version)
}

// ParsePatch reads a patch that builds on a version and checks what can be checked without that version. The
// error is *pathreader.Invalid and names every mistake.
func ParsePatch(base int64, body []byte) (*Patch, error) {
	document, err := jsondoc.Parse(body)
	if err != nil {
		return nil, err
	}
	patch := &Patch{Base: base, Version: parseVersion(document.Root().Get(versionField)), Body: body}
	checkPatch(document.Root())
	return patch, document.Err()
}

// checkPatch rejects fields and lists that are not known, and names that are missing or stand twice.
func checkPatch(root jsondoc.Node) {
	rejectUnknownFields(root, "name no other field", versionField, deliverField, withdrawField)
	deliver, withdraw := root.Get(deliverField), root.Get(withdrawField)
	for _, section := range []jsondoc.Node{deliver, withdraw} {
		rejectUnknownFields(section,
			"name "+routesField+" or "+servicesField+"; what has no names is sent whole with PUT",
			routesField, servicesField)
	}
	for _, list := range []string{routesField, servicesField} {
		seen := map[string]bool{}
		for _, node := range deliver.Get(list).Items() {
			rejectDuplicate(seen, node, node.Get("name").Text())
		}
		for _, node := range withdraw.Get(list).Items() {
			rejectDuplicate(seen, node, node.Text())
		}
	}
}

// rejectUnknownFields rejects the fields of an object that are not among those known.
func rejectUnknownFields(object jsondoc.Node, remedy string, known ...string) {
	for _, name := range object.FieldNames() {
		isKnown := false
		for _, candidate := range known {
			isKnown = isKnown || candidate == name
		}
		if !isKnown {
			object.Get(name).Reject("is not known here", remedy)
		}
	}
}

// rejectDuplicate rejects a name that was seen before.
func rejectDuplicate(seen map[string]bool, node jsondoc.Node, name string) {
	if seen[name] && name != "" {
		node.Reject(fmt.Sprintf("%q stands twice in the patch", name),
			"deliver or withdraw each name once; an item that is delivered replaces the one of its name")
	}
	seen[name] = true
}

// Apply returns the version that a patch makes of this one. The error is *BaseVersionError, or
// *pathreader.Invalid with every mistake of the patch and of what would result. The cost grows with the
// patch, but for the first patch on a whole document, and for patches that withdraw services.
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
	a.checkValues()
	if patch.Version <= c.Version {
		document.Root().Get(versionField).Reject("is not above the version it builds on",
			"count on from the current version")
	}
	if err := document.Err(); err != nil {
		return nil, err
	}
	return a.result(patch), nil
}

// CheckSize tells whether the document is one that a process takes. The error is *pathreader.Invalid.
func (c *Config) CheckSize() error {
	if size := len(c.Raw()); size > MaxDocumentBytes {
		return &jsondoc.ValidationError{Problems: []jsondoc.Problem{{Field: deliverField,
			Reason: fmt.Sprintf("the configuration would have %d bytes", size),
			Remedy: fmt.Sprintf("withdraw items that are not needed; %d bytes are taken", MaxDocumentBytes)}}}
	}
	return nil
}

// patchApplication is a patch that is being applied.
type patchApplication struct {
	base              *Config
	deliver, withdraw jsondoc.Node
	delivered         map[string][]item // of what is delivered, by list
	services          map[string]*Service
	layout            layout
	routeIndex        routeIndex
	valueCount        int
}

func newPatchApplication(base *Config, root jsondoc.Node, body []byte) *patchApplication {
	a := &patchApplication{base: base, deliver: root.Get(deliverField), withdraw: root.Get(withdrawField),
		delivered: deliveredItems(body), services: base.Services, layout: *base.splitLayout(),
		routeIndex: base.routeIndex,
		valueCount: base.valueCount}
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

// changeServices changes the list of services.
func (a *patchApplication) changeServices() {
	withdrawn, delivered := a.withdraw.Get(servicesField).Items(), a.deliver.Get(servicesField).Items()
	if len(withdrawn)+len(delivered) == 0 {
		return
	}
	a.services = maps.Clone(a.services)
	itemsTxn := a.layout.services.txn()
	for _, node := range withdrawn {
		a.discount(itemsTxn, node, node.Text())
		itemsTxn.remove(node.Text())
		delete(a.services, node.Text())
	}
	for i, node := range delivered {
		entry := a.delivered[servicesField][i]
		a.discount(itemsTxn, node, entry.name)
		a.put(itemsTxn, entry)
		a.services[entry.name] = parseService(node)
	}
	a.layout.services = itemsTxn.commit()
}

// changeRoutes changes the list of routes. Places are freed before any is taken, so that two routes may
// change places.
func (a *patchApplication) changeRoutes() {
	withdrawn, delivered := a.withdraw.Get(routesField).Items(), a.deliver.Get(routesField).Items()
	if len(withdrawn)+len(delivered) == 0 {
		return
	}
	itemsTxn, matchTxn := a.layout.routes.txn(), a.routeIndex.tree.Txn()
	freeMatch := func(node jsondoc.Node, name string) {
		if replaced := a.discount(itemsTxn, node, name); replaced.route != nil {
			matchTxn.Delete(routeKey(replaced.route.Host, replaced.route.Prefix))
		}
	}
	for _, node := range withdrawn {
		freeMatch(node, node.Text())
		itemsTxn.remove(node.Text())
	}
	for i, node := range delivered {
		freeMatch(node, a.delivered[routesField][i].name)
	}
	for i, node := range delivered {
		entry := a.delivered[routesField][i]
		entry.route = parseRoute(node, a.services)
		a.put(itemsTxn, entry)
		insertRoute(matchTxn, entry.route, node)
	}
	a.layout.routes, a.routeIndex = itemsTxn.commit(), routeIndex{matchTxn.Commit()}
}

// discount takes the values of the item of a name off the sum and returns that item, if there is one. A name
// that several items have is rejected.
func (a *patchApplication) discount(txn *itemListTxn, node jsondoc.Node, name string) item {
	entry, exists, unique := txn.find(name)
	if !unique {
		node.Reject(fmt.Sprintf("several items have the name %q", name), "send the whole configuration with PUT")
		return item{}
	}
	if exists {
		a.valueCount -= countValues(entry)
	}
	return entry
}

// put puts an item that is delivered into a list.
func (a *patchApplication) put(txn *itemListTxn, entry item) {
	a.valueCount += countValues(entry)
	txn.put(entry)
}

// countValues returns how many values an item holds, as the path reader counts them.
func countValues(entry item) int {
	document, err := jsondoc.Parse(entry.text)
	if err != nil {
		return 0
	}
	return document.ValueCount()
}

// checkWithdrawnServices rejects to withdraw a service that a route names. The routes of the patch itself
// were read without that service.
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

// checkValues rejects a result that holds more values than a process reads.
func (a *patchApplication) checkValues() {
	if a.valueCount > jsondoc.MaxValues {
		a.deliver.Reject(fmt.Sprintf("the configuration would hold %d values", a.valueCount),
			fmt.Sprintf("withdraw items that are not needed; %d values are taken", jsondoc.MaxValues))
	}
}

func (a *patchApplication) result(patch *Patch) *Config {
	return &Config{Version: patch.Version, Services: a.services, Limits: a.base.Limits, routeIndex: a.routeIndex,
		valueCount: a.valueCount, patch: patch, layout: &a.layout}
}
