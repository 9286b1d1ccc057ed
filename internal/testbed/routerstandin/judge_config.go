package routerstandin

import (
	"bytes"
	"strings"
	"time"

	"cresshub/internal/router/fleetconfig"
)

// configVersion is a configuration that an operator sent, and what became of it.
type configVersion struct {
	config   *fleetconfig.Config
	base     int64 // the version that it builds on
	patched  bool  // it was sent as a patch, so that the fleet made its document
	sentAt   time.Time
	ackedAt  time.Time // zero where it was not acknowledged
	rejected bool
}

// observedVersion is the newest version that a machine was observed to follow.
type observedVersion struct {
	version int64
	at      time.Time
}

// recordConfigSent records a valid configuration before it is sent.
func (o *Observations) recordConfigSent(config *fleetconfig.Config, base int64, patched bool) *configVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := &configVersion{config: config, base: base, patched: patched, sentAt: time.Now()}
	o.configs = append(o.configs, v)
	return v
}

// recordConfigAcked records the acknowledgement of a configuration.
func (o *Observations) recordConfigAcked(v *configVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v.ackedAt = time.Now()
	for _, other := range o.configs {
		if other != v && !other.ackedAt.IsZero() && other.base == v.base && !other.sameAs(v) {
			o.verdicts.record(RuleConfig, "versions %d and %d were both acknowledged on top of version %d",
				other.config.Version, v.config.Version, v.base)
		}
	}
	allowed := o.bounds.Ack + time.Duration(v.config.RouteCount())*orderMargin
	took := o.ranBetween(v.sentAt, v.ackedAt)
	if took > allowed && o.replicasStable(v.sentAt, v.sentAt.Add(allowed)) {
		o.verdicts.record(RuleAcks, "version %d was acknowledged after %v", v.config.Version,
			took.Round(time.Millisecond))
	}
}

// sameAs reports whether two versions are one configuration that was sent twice.
func (v *configVersion) sameAs(other *configVersion) bool {
	return v.config.Version == other.config.Version && v.patched == other.patched &&
		bytes.Equal(v.config.Raw(), other.config.Raw())
}

// matches reports whether a document that the fleet shows is what was sent: the same bytes, or for a patch
// the same routes, services and limits.
func (v *configVersion) matches(raw []byte) bool {
	return bytes.Equal(v.config.Raw(), raw) || v.patched && sameItems(v.config.Raw(), raw)
}

// CheckRead checks a configuration that a machine showed to someone who asked at a time: nothing older than
// what was acknowledged before, nothing that was rejected, and nothing that nobody sent.
func (o *Observations) CheckRead(machine string, asked time.Time, raw []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	shown, err := fleetconfig.Parse(raw)
	if err != nil {
		o.verdicts.record(RuleConfig, "%s showed what is no configuration: %v", machine, err)
		return
	}
	known := false
	for _, v := range o.configs {
		if !v.ackedAt.IsZero() && v.ackedAt.Before(asked) && v.config.Version > shown.Version {
			o.verdicts.record(RuleConfig, "%s showed version %d, and %d had been acknowledged %v before", machine,
				shown.Version, v.config.Version, asked.Sub(v.ackedAt).Round(time.Millisecond))
		}
		if v.config.Version == shown.Version && v.matches(raw) {
			known = known || !v.rejected
		}
	}
	if !known {
		o.verdicts.record(RuleConfig, "%s showed version %d, which was rejected or never sent so", machine,
			shown.Version)
	}
}

// orderMargin is the time that an operator allows in addition for each route.
const orderMargin = 3 * time.Millisecond

// recordConfigRejected records that a configuration must never come into force.
func (o *Observations) recordConfigRejected(v *configVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v.rejected = true
}

// newestAcked returns the newest acknowledged configuration, nil where there is none.
func (o *Observations) newestAcked() *configVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	var newest *configVersion
	for _, v := range o.configs {
		if !v.ackedAt.IsZero() && (newest == nil || v.config.Version > newest.config.Version) {
			newest = v
		}
	}
	return newest
}

// possibleConfigs returns the configurations that a machine in touch may follow for a request sent and
// handled then: the newest one that was acknowledged long enough before, and later ones. It returns none
// while no configuration must be known yet. The lock is held.
func (o *Observations) possibleConfigs(sent, handled time.Time) []*fleetconfig.Config {
	var base *fleetconfig.Config
	for _, v := range o.configs {
		inForce := !v.ackedAt.IsZero() && o.ranBetween(v.ackedAt, sent) > o.bounds.Config
		if inForce && (base == nil || v.config.Version > base.Version) {
			base = v.config
		}
	}
	if base == nil {
		return nil
	}
	var all []*fleetconfig.Config
	for _, v := range o.configs {
		if v.config.Version >= base.Version && !v.rejected && !v.sentAt.After(handled) {
			all = append(all, v.config)
		}
	}
	return all
}

// allows reports whether a configuration lets a service run a request.
func allows(config *fleetconfig.Config, r *Request, service string) bool {
	route := routeOf(config, r)
	if route == nil {
		return false
	}
	for _, target := range route.Targets {
		if target.Service == service && target.Weight > 0 {
			return true
		}
	}
	return false
}

func routeOf(config *fleetconfig.Config, r *Request) *fleetconfig.Route {
	path, _, _ := strings.Cut(r.Target, "?")
	return config.Match(r.Kind.Host, path)
}

// judgeService checks that the service may run the attempt; the lock is held.
func (o *Observations) judgeService(attempt *attempt, service string, at time.Time) {
	var oldest, newest int64
	valid := false
	for _, v := range o.configs {
		if !allows(v.config, attempt.request, service) {
			continue
		}
		if oldest == 0 || v.config.Version < oldest {
			oldest = v.config.Version
		}
		newest = max(newest, v.config.Version)
		valid = valid || !v.rejected
	}
	switch {
	case newest == 0:
		o.verdicts.record(RuleRoute, "service %s ran attempt %s of kind %s", service, attempt.id,
			attempt.request.Kind.Name)
		return
	case !valid:
		o.verdicts.record(RuleConfig, "service %s ran attempt %s by a rejected configuration", service, attempt.id)
		return
	}
	o.judgeStaleness(attempt, service, at)
	o.judgeRollback(attempt, at, oldest, newest)
}

// judgeStaleness checks that the service may run the attempt by a configuration that may still be in force.
func (o *Observations) judgeStaleness(attempt *attempt, service string, at time.Time) {
	possible := o.possibleConfigs(attempt.sentAt, at)
	for _, config := range possible {
		if allows(config, attempt.request, service) {
			return
		}
	}
	if len(possible) > 0 && o.inTouch(attempt.machine, attempt.sentAt, at) {
		o.verdicts.record(RuleConfig, "%s had service %s run attempt %s, which version %d and later do not allow",
			attempt.machine, service, attempt.id, possible[0].Version)
	}
}

// judgeRollback checks that a machine does not go back to an older version than it was observed to follow.
func (o *Observations) judgeRollback(attempt *attempt, at time.Time, oldest, newest int64) {
	observed := o.observedVersions[attempt.machine]
	if newest < observed.version && attempt.sentAt.Sub(observed.at) > o.bounds.Rollback {
		o.verdicts.record(RuleConfig, "%s went back from version %d to %d with attempt %s", attempt.machine,
			observed.version, newest, attempt.id)
	}
	if oldest > observed.version {
		o.observedVersions[attempt.machine] = observedVersion{oldest, at}
	}
}

// judgeDenial checks a 4xx that a proxy itself gave; the lock is held.
func (o *Observations) judgeDenial(attempt *attempt) {
	if attempt.status < 400 || attempt.status > 499 || attempt.status == 408 || attempt.status == 421 ||
		attempt.status == 429 {
		return
	}
	possible := o.possibleConfigs(attempt.sentAt, attempt.endedAt)
	if len(possible) == 0 || !o.inTouch(attempt.machine, attempt.sentAt, attempt.endedAt) {
		return
	}
	for _, config := range possible {
		if routeOf(config, attempt.request) == nil {
			return
		}
	}
	o.denials++
	if attempt.status == 404 {
		o.verdicts.record(RuleConfig, "%s answered 404 to attempt %s, though version %d and later have the route",
			attempt.machine, attempt.id, possible[0].Version)
	}
}
