package routertrial

import (
	"slices"
	"sync"

	"cresshub/internal/testbed/routerstandin"
)

// serverPlan names the service of each server, and the stage that it starts with.
var serverPlan = []struct{ service, stage string }{
	{modelService, routerstandin.StagePrefill}, {modelService, routerstandin.StageDecode},
	{modelService, routerstandin.StagePrefill}, {modelService, routerstandin.StageDecode},
	{modelService, routerstandin.StagePrefill}, {modelService, routerstandin.StageDecode},
	{lookupService, ""}, {lookupService, ""}, {lookupService, ""}, {nextLookupService, ""},
	{nextLookupService, ""},
}

func (f *Fleet) startServers() error {
	for i, planned := range serverPlan {
		options := routerstandin.ServerOptions{
			Service: planned.service, Address: f.network.serverAddress(i), Zone: zones[i%len(zones)], Version: "v1",
			Slots: lookupSlots, Queue: lookupQueue, MaxConns: lookupMaxConns, HealthPath: healthPath,
			ReportsLoad: true,
			WorkTime:    lookupWorkTime, HeartbeatInterval: heartbeatInterval, ControlAddresses: f.controls,
			Observations: f.Observations,
			DropResponse: f.dropsResponse,
		}
		if planned.service == modelService {
			stage := engine
			stage.Stage = planned.stage
			options.Engine = &stage
			options.Slots, options.Queue, options.MaxConns = modelSlots, modelQueue, modelMaxConns
		}
		if err := f.StartServer(options); err != nil {
			return err
		}
	}
	return nil
}

// StartServer starts one more server.
func (f *Fleet) StartServer(options routerstandin.ServerOptions) error {
	server, err := routerstandin.StartServer(options)
	if err != nil {
		return err
	}
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	f.servers = append(f.servers, server)
	return nil
}

// ServerOf returns a running server of a service that is in a stage now, "" for any; nil where there is none.
func (f *Fleet) ServerOf(service, stage string) *routerstandin.Server {
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	for _, server := range f.servers {
		tally := server.Tally()
		if tally.Service == service && (stage == "" || tally.Stage == stage) {
			return server
		}
	}
	return nil
}

// retire takes a server that has ended out of those that run, where it is still among them, and keeps its
// tally.
func (f *Fleet) retire(server *routerstandin.Server) {
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	if at := slices.Index(f.servers, server); at >= 0 {
		f.servers = slices.Delete(f.servers, at, at+1)
	}
	f.ended = append(f.ended, server.Tally())
}

// serverIDs returns the ids of the servers that run, sorted.
func (f *Fleet) serverIDs() []string {
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	var ids []string
	for _, server := range f.servers {
		ids = append(ids, server.ID())
	}
	slices.Sort(ids)
	return ids
}

// ServerTallies returns what each server has done, those that have ended first.
func (f *Fleet) ServerTallies() []routerstandin.ServerTally {
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	all := slices.Clone(f.ended)
	for _, server := range f.servers {
		all = append(all, server.Tally())
	}
	return all
}

func (f *Fleet) stopServers() {
	f.serversMu.Lock()
	servers := slices.Clone(f.servers)
	f.serversMu.Unlock()
	var stopping sync.WaitGroup
	for _, server := range servers {
		stopping.Go(server.Stop)
	}
	stopping.Wait()
}
