package daemon

import (
	"fmt"

	"cresshub/internal/proxy/adminapi"
)

// openAdmin opens the admin API's listener if its address, `operator`, is set.
func (p *Proxy) openAdmin() error {
	if p.cfg.Operator == "" {
		return nil
	}
	listener, err := listen(p.cfg.Operator, nil)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	p.admin = adminapi.New(listener, p, p.stats, p.log.Logger)
	return nil
}

// Ready reports whether the proxy serves clients and has a list of servers, and if not, the reason.
func (p *Proxy) Ready() (ready bool, reason string) {
	switch {
	case !p.server.Serving():
		return false, "sending clients away"
	case !p.handover.serving.Load():
		return false, "not taking clients yet"
	case p.discovery.NumListed() == 0:
		return false, "no list of servers yet"
	}
	return true, ""
}

// LameDuck begins or ends a drain and announces it to the fleet.
func (p *Proxy) LameDuck(on bool) {
	p.server.LameDuck(on)
	p.setFleetPhase(on)
}

// Gauges returns the current values of gauges, by name. A draining server is listed but gets no requests, so
// it counts as skipped.
func (p *Proxy) Gauges() map[string]int {
	listed := p.discovery.NumListed()
	return map[string]int{
		"known_zone_servers":   listed,
		"skipped_zone_servers": listed - p.discovery.NumInService() + p.decider.Ejected(),
	}
}
