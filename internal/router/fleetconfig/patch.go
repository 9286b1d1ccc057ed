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

// WrongBase tells that a patch was applied to another version than the one it builds on.
type WrongBase struct{ Base, Version int64 }

func (e *WrongBase) Error() string {
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
	patch := &Patch{Base: base, Version: readVersion(document.Root().Get(versionField)), Body: body}
	checkPatch(document.Root())
	return patch, document.Err()
}

// checkPatch rejects fields and lists that are not known, and names that are missing or stand twice.
func checkPatch(root jsondoc.Node) {
	checkNames(root, "name no other field", versionField, deliverField, withdrawField)
	deliver, withdraw := root.Get(deliverField), root.Get(withdrawField)
	for _, part := range []jsondoc.Node{deliver, withdraw} {
		checkNames(part, "name "+routesList+" or "+servicesList+"; what has no names is sent whole with PUT",
			routesList, servicesList)
	}
	for _, list := range []string{routesList, servicesList} {
		seen := map[string]bool{}
		for _, node := range deliver.Get(list).Items() {
			checkOnce(seen, node, node.Get("name").Text())
		}
		for _, node := range withdraw.Get(list).Items() {
			checkOnce(seen, node, node.Text())
		}
	}
}

// checkNames rejects the fields of an object that are not among those known.
func checkNames(object jsondoc.Node, remedy string, known ...string) {
	for _, name := range object.Names() {
		isKnown := false
		for _, one := range known {
			isKnown = isKnown || one == name
		}
		if !isKnown {
			object.Get(name).Reject("is not known here", remedy)
		}
	}
}

// checkOnce rejects a name that was seen before.
func checkOnce(seen map[string]bool, node jsondoc.Node, name string) {
	if seen[name] && name != "" {
		node.Reject(fmt.Sprintf("%q stands twice in the patch", name),
			"deliver or withdraw each name once; an item that is delivered replaces the one of its name")
	}
	seen[name] = true
}

// Apply returns the version that a patch makes of this one. The error is *WrongBase, or *pathreader.Invalid
// with every mistake of the patch and of what would result. The cost grows with the patch, but for the first
// patch on a whole document, and for patches that withdraw services.
func (c *Config) Apply(patch *Patch) (*Config, error) {
	if patch.Base != c.Version {
		return nil, &WrongBase{patch.Base, c.Version}
	}
	document, err := jsondoc.Parse(patch.Body)
	if err != nil {
		return nil, err
	}
	checkPatch(document.Root())
	if err := document.Err(); err != nil {
		return nil, err
	}
	a := newApplication(c, document.Root(), patch.Body)
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
		return &jsondoc.Invalid{Problems: []jsondoc.Problem{{Field: deliverField,
			Reason: fmt.Sprintf("the configuration would have %d bytes", size),
			Remedy: fmt.Sprintf("withdraw items that are not needed; %d bytes are taken", MaxDocumentBytes)}}}
	}
	return nil
}

// application is a patch that is being applied.
type application struct {
	base              *Config
	deliver, withdraw jsondoc.Node
	texts             map[string][]item // of what is delivered, by list
	services          map[string]*Service
	layout            layout
	places            placeIndex
	values            int
}

func newApplication(base *Config, root jsondoc.Node, body []byte) *application {
	a := &application{base: base, deliver: root.Get(deliverField), withdraw: root.Get(withdrawField),
		texts: deliveredTexts(body), services: base.Services, layout: *base.cut(), places: base.places,
		values: base.values}
	if base.patch == nil {
		a.values += a.layout.added
	}
	return a
}

// deliveredTexts returns the items that a patch delivers, by list.
func deliveredTexts(body []byte) map[string][]item {
	texts := map[string][]item{}
	for _, part := range cutObject(body) {
		if part.name != deliverField {
			continue
		}
		for _, list := range cutObject(part.text) {
			for _, text := range cutList(list.text) {
				texts[list.name] = append(texts[list.name], item{text: text, name: nameOf(text)})
			}
		}
	}
	return texts
}

// changeServices changes the list of services.
func (a *application) changeServices() {
	withdrawn, delivered := a.withdraw.Get(servicesList).Items(), a.deliver.Get(servicesList).Items()
	if len(withdrawn)+len(delivered) == 0 {
		return
	}
	a.services = maps.Clone(a.services)
	change := a.layout.services.change()
	for _, node := range withdrawn {
		a.forget(change, node, node.Text())
		change.remove(node.Text())
		delete(a.services, node.Text())
	}
	for i, node := range delivered {
		one := a.texts[servicesList][i]
		a.forget(change, node, one.name)
		a.add(change, one)
		a.services[one.name] = readService(node)
	}
	a.layout.services = change.commit()
}

// changeRoutes changes the list of routes. Places are freed before any is taken, so that two routes may
// change places.
func (a *application) changeRoutes() {
	withdrawn, delivered := a.withdraw.Get(routesList).Items(), a.deliver.Get(routesList).Items()
	if len(withdrawn)+len(delivered) == 0 {
		return
	}
	change, places := a.layout.routes.change(), a.places.tree.Txn()
	free := func(node jsondoc.Node, name string) {
		if old := a.forget(change, node, name); old.route != nil {
			places.Delete(placeKey(old.route.Host, old.route.Prefix))
		}
	}
	for _, node := range withdrawn {
		free(node, node.Text())
		change.remove(node.Text())
	}
	for i, node := range delivered {
		free(node, a.texts[routesList][i].name)
	}
	for i, node := range delivered {
		one := a.texts[routesList][i]
		one.route = readRoute(node, a.services)
		a.add(change, one)
		insertPlace(places, one.route, node)
	}
	a.layout.routes, a.places = change.commit(), placeIndex{places.Commit()}
}

// forget takes the values of the item of a name off the sum and returns that item, if there is one. A name
// that several items have is rejected.
func (a *application) forget(change *itemChange, node jsondoc.Node, name string) item {
	old, exists, one := change.find(name)
	if !one {
		node.Reject(fmt.Sprintf("several items have the name %q", name), "send the whole configuration with PUT")
		return item{}
	}
	if exists {
		a.values -= countValues(old)
	}
	return old
}

// add puts an item that is delivered into a list.
func (a *application) add(change *itemChange, one item) {
	a.values += countValues(one)
	change.put(one)
}

// countValues returns how many values an item holds, as the path reader counts them.
func countValues(one item) int {
	document, err := jsondoc.Parse(one.text)
	if err != nil {
		return 0
	}
	return document.Values()
}

// checkWithdrawnServices rejects to withdraw a service that a route names. The routes of the patch itself
// were read without that service.
func (a *application) checkWithdrawnServices() {
	nodes := a.withdraw.Get(servicesList).Items()
	if len(nodes) == 0 {
		return
	}
	delivered := map[string]bool{}
	for _, one := range a.texts[routesList] {
		delivered[one.name] = true
	}
	for _, route := range a.layout.routes.routesInOrder() {
		for _, node := range nodes {
			if name := node.Text(); route.names(name) && !delivered[route.Name] {
				node.Reject(fmt.Sprintf("%q is named by route %q", name, route.Name),
					"withdraw or replace that route in the same patch")
			}
		}
	}
}

// checkValues rejects a result that holds more values than a process reads.
func (a *application) checkValues() {
	if a.values > jsondoc.MostValues {
		a.deliver.Reject(fmt.Sprintf("the configuration would hold %d values", a.values),
			fmt.Sprintf("withdraw items that are not needed; %d values are taken", jsondoc.MostValues))
	}
}

func (a *application) result(patch *Patch) *Config {
	return &Config{Version: patch.Version, Services: a.services, Limits: a.base.Limits, places: a.places,
		values: a.values, patch: patch, layout: &a.layout}
}
