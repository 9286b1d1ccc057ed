package routertrial

import (
	"time"

	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/testbed/routerstandin"
)

// The places and services of a trial.
const (
	region       = "home"
	host         = "lamps.example"
	modelService = "lamp-llm"
	lookup       = "telemetry-api"
	lookupNext   = "telemetry-api-next" // takes a part of the lookups after a change
	healthPath   = "/health"
	tries        = 2
)

var zones = []string{"north", "middle", "south"}

// engine is what the model servers do. A prompt of 2,600 tokens is read in 65 ms.
var engine = routerstandin.Engine{
	ReadPace: 40, Step: 10 * time.Millisecond, Stride: 2, MoveTime: 3 * time.Millisecond,
	HandleLife: 5 * time.Second, StageSwitch: 500 * time.Millisecond, CacheTokens: 400000,
}

// The sizes of servers.
const (
	modelSlots  = 16
	modelQueue  = 16
	modelLines  = 200
	lookupSlots = 6
	lookupQueue = 8
	lookupLines = 120
	lookupWork  = 25 * time.Millisecond
)

// kinds are the requests of the clients.
var kinds = []*routerstandin.Kind{
	{Name: "summary", Host: host, Prefix: "/summary/", Class: fleetconfig.Stream, Resumable: true, Share: 0.25,
		Aim: 500 * time.Millisecond, Gap: 300 * time.Millisecond, Deadline: 5 * time.Second, Retries: 2,
		SharedTokens: 1500, OwnTokens: 1100, OutputTokens: 12},
	{Name: "check", Host: host, Prefix: "/check/", Class: fleetconfig.Stream, Share: 0.2,
		Aim: 500 * time.Millisecond, Gap: 300 * time.Millisecond, Deadline: 4 * time.Second, Retries: 2,
		SharedTokens: 1800, OwnTokens: 800, OutputTokens: 6},
	{Name: "tag", Host: host, Prefix: "/tag/", Class: fleetconfig.Stream, Resumable: true, Share: 0.2,
		Aim: 400 * time.Millisecond, Gap: 300 * time.Millisecond, Deadline: 5 * time.Second, Retries: 2,
		SharedTokens: 350, OwnTokens: 500, OutputTokens: 16},
	{Name: "profile", Host: host, Prefix: "/profile/", Class: fleetconfig.Safe, Share: 0.25,
		Aim: 300 * time.Millisecond, Deadline: 4 * time.Second, Retries: 2, BodyBytes: 800},
	{Name: "command", Host: host, Prefix: "/command/", Class: fleetconfig.Unsafe, Share: 0.1,
		Aim: 300 * time.Millisecond, Deadline: 4 * time.Second, Retries: 2, BodyBytes: 300},
}

// leavingKind has a route in the first configuration only, joiningKind in later ones only.
var (
	leavingKind = &routerstandin.Kind{Name: "leaving", Host: host, Prefix: "/leaving/", Class: fleetconfig.Safe,
		Aim: 300 * time.Millisecond, Deadline: 2 * time.Second, BodyBytes: 100}
	joiningKind = &routerstandin.Kind{Name: "joining", Host: host, Prefix: "/joining/", Class: fleetconfig.Safe,
		Aim: 300 * time.Millisecond, Deadline: 2 * time.Second, BodyBytes: 100}
)

// firstConfiguration is what the operator sends first.
func firstConfiguration() *routerstandin.Document {
	document := &routerstandin.Document{
		Version: 1,
		Limits: &routerstandin.LimitsSection{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderMs: 3000,
			IdleMs: 15000},
	}
	for _, kind := range kinds {
		service := lookup
		if kind.Class == fleetconfig.Stream {
			service = modelService
		}
		document.Routes = append(document.Routes, routerstandin.RouteOf(kind, service, tries))
	}
	document.Routes = append(document.Routes, routerstandin.RouteOf(leavingKind, lookup, tries))
	document.Services = []routerstandin.ServiceDoc{
		{Name: modelService, HealthPath: healthPath, Lines: modelLines, Protocol: "h1",
			Engine: routerstandin.EngineOf(&engine, modelSlots)},
		{Name: lookup, HealthPath: healthPath, Lines: lookupLines, Protocol: "h1"},
	}
	return document
}

// nextConfiguration changes the current one: a route goes, one comes, and one is split among two services.
func nextConfiguration(current *routerstandin.Document) *routerstandin.Document {
	next := current.Clone()
	next.Version += 2 // versions rise in uneven steps
	next.Routes = nil
	for _, route := range current.Routes {
		switch route.Name {
		case leavingKind.Name, joiningKind.Name:
			continue
		case "profile":
			route.Service = ""
			route.Split = []routerstandin.TargetDoc{{Service: lookup, Weight: 70}, {Service: lookupNext, Weight: 30}}
		case "check":
			route.TimeoutMs += 100
		}
		next.Routes = append(next.Routes, route)
	}
	next.Routes = append(next.Routes, routerstandin.RouteOf(joiningKind, lookupNext, tries))
	if len(next.Services) == 2 {
		next.Services = append(next.Services,
			routerstandin.ServiceDoc{Name: lookupNext, HealthPath: healthPath, Lines: lookupLines, Protocol: "h1"})
	}
	return next
}
