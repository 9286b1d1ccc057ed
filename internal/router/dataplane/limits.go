package dataplane

import (
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/fleetconfig"
)

const (
	// Bodies may take the process's memory divided by bodyMemoryDivisor.
	bodyMemoryDivisor = 8
	// reservedDescriptors are left to files. The others divided by controlDivisor are left to other
	// processes, servers' heartbeats and operators; clients and servers may have half of the rest each.
	reservedDescriptors = 200
	controlDivisor      = 8
	minConnectionLimit  = 16
)

// limits are the limits of requests by the configuration in force.
func (p *Proxy) limits() fleetconfig.Limits {
	if config := p.state.Config(); config != nil {
		return config.Limits
	}
	return defaultLimits
}

// defaultLimits hold until a configuration is known. They are wider than any that are likely to be
// configured: a request that the configuration may allow has to be answered 503, and not 413 or 431.
var defaultLimits = fleetconfig.Limits{
	MaxHeaderBytes: 64 << 10, MaxBodyBytes: http1.MaxBodyLength, HeaderTimeout: 5 * time.Second,
	IdleTimeout: 30 * time.Second,
}

// connectionLimit is how many connections there may be to clients, and likewise to servers.
func (p *Proxy) connectionLimit() int {
	available := p.settings.Descriptors - reservedDescriptors
	return max((available-available/controlDivisor)/2, minConnectionLimit)
}

// serverConnectionQuota is how many connections this proxy may have to each server of a service, 0 for any
// number. The service's limit is divided among the live proxies.
func (p *Proxy) serverConnectionQuota(service *fleetconfig.Service) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return max(service.MaxConnections/max(p.state.Proxies(), 1), minConnectionsPerServer)
}
