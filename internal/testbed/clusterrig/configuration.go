package clusterrig

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"time"
)

// classes are the classes of requests that every member serves.
const classes = `[[class]]
name = "zone-lookup"
aim = "600ms"
deadline = "1500ms"
effect = "idempotent"
[[class]]
name = "rider-assign"
aim = "500ms"
deadline = "2s"
effect = "at_most_once"
`

// zoneWork is the work of requests at the zone servers: little, as they aren't under test here.
var zoneWork = map[string]time.Duration{"zone-lookup": time.Millisecond, "rider-assign": time.Millisecond}

// configurationFile is the path of a member's configuration.
func (r *Rig) configurationFile(m *Member) string { return filepath.Join(r.opts.Dir, m.Name+".toml") }

// configuration returns a member's configuration. It gossips where its earlier incarnation did unless moved.
func (r *Rig) configuration(m *Member, moved bool) (string, error) {
	var b strings.Builder
	listen := net.JoinHostPort(r.host, "0")
	fmt.Fprintf(&b, "name = %q\noperator = %q\n", m.Name, listen)
	if len(r.opts.Halls) > 0 {
		fmt.Fprintf(&b, "halls = %s\nkinds = [\"standard\", \"half-speed\"]\n[policy]\nhall = %q\n",
			tomlList(r.opts.Halls), m.Hall)
	}
	fmt.Fprintf(&b, "[listen]\naddress = %q\n[discovery]\naddress = %q\n", listen, r.Discovery.Address())
	b.WriteString("[limits]\ncores = 1\n")
	if r.opts.Standalone {
		return b.String() + classes + r.opts.ExtraTOML, nil
	}
	fleet, err := r.fleetSection(m, moved)
	if err != nil {
		return "", err
	}
	extra := strings.ReplaceAll(r.opts.ExtraTOML, "{data}", m.Data)
	if r.Sink != nil {
		extra = strings.ReplaceAll(extra, "{sink}", r.Sink.Address())
	}
	return b.String() + fleet + classes + extra, nil
}

// fleetSection returns a member's [fleet].
func (r *Rig) fleetSection(m *Member, moved bool) (string, error) {
	bind := m.Gossip
	if bind == "" || moved {
		bind = "127.0.0.1:0"
	}
	section := fmt.Sprintf("[fleet]\nbind = %q\nlabel = %q\n%s\n", bind, r.label, r.opts.FleetTOML)
	if seeds := r.seedAddresses(m); len(seeds) > 0 {
		section += "seeds = " + tomlList(seeds) + "\n"
	}
	if r.Net == nil {
		return section, nil
	}
	relay, err := r.Net.Relay(m.Name)
	if err != nil {
		return "", err
	}
	return section + fmt.Sprintf("relay = %q\n", relay), nil
}

// seedAddresses returns the gossip addresses that a member joins by.
func (r *Rig) seedAddresses(m *Member) []string {
	var addresses []string
	for _, s := range r.seeds() {
		if address := s.gossipAddress(); s != m && address != "" {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) > 0 || m.Gossip == "" {
		return addresses
	}
	for _, s := range r.Members { // the only seed restarts: any other member will do
		if s != m && s.State() == Up {
			return []string{s.gossipAddress()}
		}
	}
	return nil
}

func tomlList(words []string) string { return `["` + strings.Join(words, `", "`) + `"]` }
