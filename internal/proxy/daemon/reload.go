package daemon

import (
	"errors"
	"slices"
	"strings"
	"time"

	"cresshub/internal/proxy/config"
	"cresshub/internal/proxy/logging"
	"cresshub/internal/settingsfile"
)

// reload applies what changed. An invalid configuration changes nothing, and neither does a file of our own
// that changes a key which needs a restart: applying half of it would make a configuration that nobody wrote.
// Of the platform's file it is agreed that only discovery is applied; other changes wait for the restart.
func (p *Proxy) reload(next *config.Config, err error) {
	if err != nil {
		var problems settingsfile.Problems
		if !errors.As(err, &problems) {
			p.log.Error("config: not reloaded, the new configuration is invalid", logging.Err, err)
		}
		for _, one := range problems {
			p.log.Error("config: not reloaded, the new configuration is invalid", logging.Err, one.String())
		}
		return
	}
	live, restart := p.cfg.Changed(next)
	if len(restart) > 0 {
		if !next.FromPlatform() {
			p.log.Error("config: not reloaded, a change needs a restart", "keys", strings.Join(restart, " "))
			return
		}
		p.log.Warn("config: changes wait for a restart", "keys", strings.Join(restart, " "))
	}
	p.log.Info("config: reloaded", "discovery", next.Discovery.Address,
		"changed", strings.Join(live, " "))
	p.cfg = p.cfg.TakeLive(next)
	p.apply(live)
}

// apply hands the values of changed keys to the parts that use them.
func (p *Proxy) apply(live []string) {
	changed := func(prefixes ...string) bool {
		return slices.ContainsFunc(live, func(key string) bool {
			return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
		})
	}
	if changed("discovery.address") {
		p.discovery.Move(p.cfg.Discovery.Address)
	}
	if changed("server[") {
		p.discovery.Replace(p.cfg.ServerList(time.Now(), p.serversSince))
	}
	if changed("discovery.") {
		p.discovery.SetLimits(listLimits(p.cfg))
	}
	if changed("upstream.") {
		p.pool.SetLimits(poolLimits(p.cfg))
	}
	if changed("clients.") {
		p.server.SetLimits(p.cfg.Clients)
	}
	if changed("shutdown.") {
		times := p.cfg.Shutdown
		p.shutdownTimes.Store(&times)
	}
	if changed("log.") {
		p.log.Set(logging.ParseLevel(p.cfg.Log.Level), p.cfg.Log.Repeat)
		p.server.LogRequests(p.requestLog())
	}
}
