package routerstandin

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// PatchDoc is a patch as an operator sends it.
type PatchDoc struct {
	Version  int64         `json:"edition"`
	Deliver  *DeliverDoc   `json:"deliver,omitempty"`
	Withdraw *WithdrawnDoc `json:"withdraw,omitempty"`
}

// DeliverDoc lists the items that a patch adds or replaces.
type DeliverDoc struct {
	Routes   []RouteDoc   `json:"routes,omitempty"`
	Services []ServiceDoc `json:"depots_list,omitempty"`
}

// WithdrawnDoc lists the names of the items that a patch removes.
type WithdrawnDoc struct {
	Routes   []string `json:"routes,omitempty"`
	Services []string `json:"depots_list,omitempty"`
}

// patchBetween returns the patch that turns one document into another. Limits have no names, and stay.
func patchBetween(before, after *Document) *PatchDoc {
	deliver, withdraw := &DeliverDoc{}, &WithdrawnDoc{}
	deliver.Routes, withdraw.Routes = difference(before.Routes, after.Routes, nameOfRoute)
	deliver.Services, withdraw.Services = difference(before.Services, after.Services, nameOfService)
	return &PatchDoc{Version: after.Version, Deliver: deliver, Withdraw: withdraw}
}

func nameOfRoute(r RouteDoc) string { return r.Name }

func nameOfService(s ServiceDoc) string { return s.Name }

// difference returns the items that are new or changed in a list, and the names of those removed.
func difference[T any](before, after []T, nameOf func(T) string) (delivered []T, withdrawn []string) {
	known := map[string]T{}
	for _, one := range before {
		known[nameOf(one)] = one
	}
	for _, one := range after {
		if old, ok := known[nameOf(one)]; !ok || !reflect.DeepEqual(old, one) {
			delivered = append(delivered, one)
		}
		delete(known, nameOf(one))
	}
	for _, one := range before {
		if _, removed := known[nameOf(one)]; removed {
			withdrawn = append(withdrawn, nameOf(one))
		}
	}
	return delivered, withdrawn
}

// sameItems reports whether two documents have the same items, in any order, and the same limits.
func sameItems(one, other []byte) bool {
	var first, second Document
	if json.Unmarshal(one, &first) != nil || json.Unmarshal(other, &second) != nil {
		return false
	}
	first.sort()
	second.sort()
	return reflect.DeepEqual(first, second)
}

// sort puts the items into the order of their names.
func (d *Document) sort() {
	slices.SortStableFunc(d.Routes, func(a, b RouteDoc) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(d.Services, func(a, b ServiceDoc) int { return strings.Compare(a.Name, b.Name) })
}
