package dataplane

import (
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/fleetconfig"
)

const (
	// The budget of buffered bodies is the process's memory limit divided by bodyMemoryDivisor.
	bodyMemoryDivisor = 8
	// reservedDescriptors are left for files. The others divided by controlDescriptorDivisor are left for
	// connections to other processes of the fleet, servers' heartbeats and operators. Connections to clients
	// and connections to servers may take half of the rest each.
	reservedDescriptors      = 200
	controlDescriptorDivisor = 8
	minConnectionLimit       = 16
)

// limits returns the limits of requests in the current configuration, or defaultLimits if there is none.
func (p *Proxy) limits() fleetconfig.Limits {
	if config := p.state.Config(); config != nil {
		return config.Limits
	}
	return defaultLimits
}

// defaultLimits apply until a configuration is known. They are wider than any that are likely to be
// configured: a request that the configuration may allow must be answered 503, and not 413 or 431.
var defaultLimits = fleetconfig.Limits{
	MaxHeaderBytes: 64 << 10, MaxBodyBytes: http1.MaxBodyLength, HeaderTimeout: 5 * time.Second,
	IdleTimeout: 30 * time.Second,
}

// connectionLimit returns how many connections to clients may be open, and likewise how many to servers.
func (p *Proxy) connectionLimit() int {
	available := p.settings.Descriptors - reservedDescriptors
	return max((available-available/controlDescriptorDivisor)/2, minConnectionLimit)
}

// serverConnectionQuota returns how many connections this proxy may have to each server of a service, 0 for
// no limit. The service's limit is divided among the live proxies.
func (p *Proxy) serverConnectionQuota(service *fleetconfig.Service) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return max(service.MaxConnections/max(p.state.Proxies(), 1), minConnectionsPerServer)
}
