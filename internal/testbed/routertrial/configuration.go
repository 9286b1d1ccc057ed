package routertrial

import (
	"time"

	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/testbed/routerstandin"
)

// The region, host and services of a trial.
const (
	region            = "home"
	host              = "lamps.example"
	modelService      = "lamp-llm"
	lookupService     = "telemetry-api"
	nextLookupService = "telemetry-api-next" // gets a part of the lookups after a change
	healthPath        = "/health"
	maxAttempts       = 2
)

var zones = []string{"north", "middle", "south"}

// engine is what the model servers do. The prefill of 2,600 tokens takes 65 ms.
var engine = routerstandin.Engine{
	PrefillPace: 40, EventInterval: 10 * time.Millisecond, TokensPerEvent: 2, TransferTime: 3 * time.Millisecond,
	HandleTTL: 5 * time.Second, SwitchTime: 500 * time.Millisecond, CacheTokens: 400000,
}

// The sizes of servers.
const (
	modelSlots     = 16
	modelQueue     = 16
	modelMaxConns  = 200
	lookupSlots    = 6
	lookupQueue    = 8
	lookupMaxConns = 120
	lookupWorkTime = 25 * time.Millisecond
)

// kinds are the requests of the clients.
var kinds = []*routerstandin.Kind{
	{Name: "summary", Host: host, Prefix: "/summary/", Class: fleetconfig.Stream, Resumable: true,
		Fraction: 0.25, LatencyTarget: 500 * time.Millisecond, GapTarget: 300 * time.Millisecond,
		Deadline: 5 * time.Second, Retries: 2, SharedTokens: 1500, OwnTokens: 1100, OutputTokens: 12},
	{Name: "check", Host: host, Prefix: "/check/", Class: fleetconfig.Stream, Fraction: 0.2,
		LatencyTarget: 500 * time.Millisecond, GapTarget: 300 * time.Millisecond, Deadline: 4 * time.Second,
		Retries:      2,
		SharedTokens: 1800, OwnTokens: 800, OutputTokens: 6},
	{Name: "tag", Host: host, Prefix: "/tag/", Class: fleetconfig.Stream, Resumable: true, Fraction: 0.2,
		LatencyTarget: 400 * time.Millisecond, GapTarget: 300 * time.Millisecond, Deadline: 5 * time.Second,
		Retries:      2,
		SharedTokens: 350, OwnTokens: 500, OutputTokens: 16},
	{Name: "profile", Host: host, Prefix: "/profile/", Class: fleetconfig.Safe, Fraction: 0.25,
		LatencyTarget: 300 * time.Millisecond, Deadline: 4 * time.Second, Retries: 2, BodyBytes: 800},
	{Name: "command", Host: host, Prefix: "/command/", Class: fleetconfig.Unsafe, Fraction: 0.1,
		LatencyTarget: 300 * time.Millisecond, Deadline: 4 * time.Second, Retries: 2, BodyBytes: 300},
}

// removedKind has a route in the first configuration only, addedKind in later ones only.
var (
	removedKind = &routerstandin.Kind{Name: "leaving", Host: host, Prefix: "/leaving/", Class: fleetconfig.Safe,
		LatencyTarget: 300 * time.Millisecond, Deadline: 2 * time.Second, BodyBytes: 100}
	addedKind = &routerstandin.Kind{Name: "joining", Host: host, Prefix: "/joining/", Class: fleetconfig.Safe,
		LatencyTarget: 300 * time.Millisecond, Deadline: 2 * time.Second, BodyBytes: 100}
)

// firstConfiguration is what the operator sends first.
func firstConfiguration() *routerstandin.Document {
	document := &routerstandin.Document{
		Version: 1,
		Limits: &routerstandin.LimitsSection{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderMs: 3000,
			IdleMs: 15000},
	}
	for _, kind := range kinds {
		service := lookupService
		if kind.Class == fleetconfig.Stream {
			service = modelService
		}
		document.Routes = append(document.Routes, routerstandin.RouteOf(kind, service, maxAttempts))
	}
	document.Routes = append(document.Routes, routerstandin.RouteOf(removedKind, lookupService, maxAttempts))
	document.Services = []routerstandin.ServiceDoc{
		{Name: modelService, HealthPath: healthPath, MaxConns: modelMaxConns, Protocol: "h1",
			Engine: routerstandin.EngineOf(&engine, modelSlots)},
		{Name: lookupService, HealthPath: healthPath, MaxConns: lookupMaxConns, Protocol: "h1"},
	}
	return document
}

// nextConfiguration changes the current one: one route is removed, one
// added, and one split between two services.
func nextConfiguration(current *routerstandin.Document) *routerstandin.Document {
	next := current.Clone()
	next.Version += 2 // versions rise in uneven steps
	next.Routes = nil
	for _, route := range current.Routes {
		switch route.Name {
		case removedKind.Name, addedKind.Name:
			continue
		case "profile":
			route.Service = ""
			route.Split = []routerstandin.TargetDoc{{Service: lookupService, Weight: 70},
				{Service: nextLookupService, Weight: 30}}
		case "check":
			route.TimeoutMs += 100
		}
		next.Routes = append(next.Routes, route)
	}
	next.Routes = append(next.Routes, routerstandin.RouteOf(addedKind, nextLookupService, maxAttempts))
	if len(next.Services) == 2 {
		next.Services = append(next.Services,
			routerstandin.ServiceDoc{Name: nextLookupService, HealthPath: healthPath, MaxConns: lookupMaxConns,
				Protocol: "h1"})
	}
	return next
}
