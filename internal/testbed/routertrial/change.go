package routertrial

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"cresshub/internal/testbed/routerstandin"
)

// probeMargin is how long after the bound of a configuration change probes are sent.
const probeMargin = 20 * time.Millisecond

// ChangeConfig has the operator change the configuration, and probes every proxy that gets clients on the
// added and the removed route once the bound for the change has passed.
func (f *Fleet) ChangeConfig(ctx context.Context) error {
	next := nextConfiguration(f.Operator.Current())
	f.logEvent("version %d is sent", next.Version)
	if err := f.Operator.Change(ctx, next); err != nil {
		return err
	}
	f.logEvent("version %d is acknowledged", next.Version)
	if !routerstandin.Sleep(ctx, bounds.Config+probeMargin) {
		return ctx.Err()
	}
	onAdded := f.Probe(ctx, addedKind)
	onRemoved := f.Probe(ctx, removedKind)
	f.logEvent("answers by status: on the added route %s, on the dropped one %s", byStatus(onAdded),
		byStatus(onRemoved))
	return nil
}

// byStatus formats counts of statuses.
func byStatus(counts map[int]int) string {
	var parts []string
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d x %d", counts[status], status))
	}
	return strings.Join(parts, ", ")
}

// Probe sends a request of a kind to each proxy that gets clients, and returns how many answered with each
// status, 0 standing for none. The observations record violations.
func (f *Fleet) Probe(ctx context.Context, kind *routerstandin.Kind) map[int]int {
	var mu sync.Mutex
	var probing sync.WaitGroup
	statuses := map[int]int{}
	client := routerstandin.NewClient(0, "", f.Entry, f.Observations)
	client.KeepsConns = false
	for _, proxy := range f.Entry.Ready() {
		probing.Go(func() {
			status := client.Probe(ctx, proxy, routerstandin.NewRequest(kind, int(f.requests.Add(1))))
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	probing.Wait()
	return statuses
}
