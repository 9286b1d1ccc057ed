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

// reload applies the keys that changed. An invalid configuration changes nothing. Neither does one from the
// proxy's own file if a changed key needs a restart: applying only the other keys would result in a third
// configuration that nobody wrote. From the platform's file, by agreement with the operators, live keys are
// applied and the others take effect at the next start.
func (p *Proxy) reload(next *config.Config, err error) {
	if err != nil {
		var problems settingsfile.SettingErrors
		if !errors.As(err, &problems) {
			p.log.Error("config: reload rejected, a source is invalid", logging.Err, err)
		}
		for _, problem := range problems {
			p.log.Error("config: reload rejected, a source is invalid", logging.Err, problem.String())
		}
		return
	}
	liveKeys, restartKeys := p.cfg.Changed(next)
	if len(restartKeys) > 0 {
		if !next.FromPlatform() {
			p.log.Error("config: reload rejected, a change needs a restart",
				"keys", strings.Join(restartKeys, " "))
			return
		}
		p.log.Warn("config: some changes take effect at the next start", "keys", strings.Join(restartKeys, " "))
	}
	p.log.Info("config: reloaded", "discovery", next.Discovery.Address,
		"changed", strings.Join(liveKeys, " "))
	p.cfg = p.cfg.WithLive(next)
	p.apply(liveKeys)
}

// apply passes the values of changed keys to the components that use them.
func (p *Proxy) apply(liveKeys []string) {
	changed := func(prefixes ...string) bool {
		return slices.ContainsFunc(liveKeys, func(key string) bool {
			return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
		})
	}
	if changed("discovery.address") {
		p.discovery.ChangeAddress(p.cfg.Discovery.Address)
	}
	if changed("server[") {
		p.discovery.Replace(p.cfg.ServerList(time.Now(), p.firstNamed))
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
		p.log.SetLimits(logging.ParseLevel(p.cfg.Log.Level), p.cfg.Log.RepeatRate)
		p.server.LogRequests(p.requestLog())
	}
}
