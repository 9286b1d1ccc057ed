package balance

import (
	"testing"
	"time"
)

func TestAffinityServersAreTheSameForAllBalancers(t *testing.T) {
	settings := ruleSettings()
	settings.KeyAffinity = true
	count := map[ServerID]int{}
	for key := range uint64(300) {
		var first ServerID
		for seed := range uint64(2) {
			settings.Seed = seed
			b := newBalancer(t, settings, 0, serverList(10, nil))
			r := &request{Request: Request{Key: key * 0x1234567, HasKey: true}}
			servers := b.affinityServers(0, r, b.servers, nil)
			if len(servers) != 2 || servers[0] == servers[1] || seed == 1 && servers[0].ID != first {
				t.Fatalf("key %d: affinity servers %v", key, servers)
			}
			first = servers[0].ID
		}
		count[first]++
	}
	for id, n := range count {
		if n < 10 || n > 60 { // the mean is 30
			t.Errorf("server %d is the first affinity server of %d of 300 keys", id, n)
		}
	}
}

func TestKeysPreferOneCellUnlessHot(t *testing.T) {
	for keys, want := range map[int][2]float64{100: {0.55, 0.85}, 1: {0.1, 0.3}} {
		b := newBalancer(t, costlyProbeSettings(), 0, serverList(60, func(i int, s *Server) { s.Cell = i / 6 }))
		byCell, total, maxFraction := map[ServerID]float64{}, 0.0, 0.0
		for i := range 20000 {
			to, _ := requestWithProbes(b, time.Duration(i+1)*100*time.Millisecond, i, i%keys, 0, 50*time.Millisecond)
			if i%keys == 0 && i > 1000 {
				byCell[(to-1)/6]++
				total++
			}
		}
		for _, n := range byCell {
			maxFraction = max(maxFraction, n/total)
		}
		if maxFraction < want[0] || maxFraction > want[1] {
			t.Errorf("%d keys: %.2f of the requests for key 0 went to one cell, want %v", keys, maxFraction, want)
		}
	}
}
