package agent

import (
	"encoding/json"
	"strings"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/jsondoc"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/controlserver"
	"cresshub/internal/router/directory"
)

const (
	serversPath = "/api/servers/"
	// drainAckTimeout is how long the acknowledgement of a drain waits for the hubs; a server gives up after a
	// second and asks another proxy.
	drainAckTimeout = 800 * time.Millisecond
)

// handleServerCall answers heartbeats and deregistrations of servers.
func (a *Agent) handleServerCall(call *controlserver.Call) *http1.Response {
	id := strings.TrimPrefix(call.Path, serversPath)
	if id == "" || strings.Contains(id, "/") {
		return controlserver.Text(404, "no server id in the path; call "+serversPath+"ID")
	}
	switch call.Method {
	case "PUT":
		record, err := readHeartbeat(id, call.Body)
		if err != nil {
			return controlserver.Text(400, err.Error())
		}
		return a.handleHeartbeat(record)
	case "DELETE":
		return a.deregister(id)
	}
	return controlserver.Text(405, "use PUT for a heartbeat and DELETE for the end")
}

func readHeartbeat(id string, body []byte) (*directory.Record, error) {
	document, err := jsondoc.Parse(body)
	if err != nil {
		return nil, err
	}
	root := document.Root()
	record := &directory.Record{
		Kind: directory.KindServer, ID: id, Sequence: int64(root.Get("postmark").NumberOr(0, 0)),
		State: directory.Ready, Service: root.Get("depot").Text(), Address: root.Get("address").Text(),
		Zone: root.Get("district").TextOr(""), Version: root.Get("edition").TextOr(""),
		Slots: int(root.Get("bays").NumberOr(1, 0)), Stage: root.Get("stage").TextOr(""),
		ColdMs: int64(root.Get("cold_ms").NumberOr(0, 0)),
	}
	switch state := root.Get("state"); catalog.State(state.TextOr(string(catalog.Ready))) {
	case catalog.Ready:
	case catalog.Draining:
		record.State = directory.Draining
	default:
		state.Reject("is no state of a server", "give ready or draining")
	}
	return record, document.Err()
}

// handleHeartbeat merges what a server tells of itself and acknowledges it where the rest of the fleet hears
// of it; the server calls another proxy else. A drain is acknowledged only once most hubs know it, because no
// proxy may send there much longer.
func (a *Agent) handleHeartbeat(record *directory.Record) *http1.Response {
	switch {
	case a.isShuttingDown():
		return a.rejectHeartbeat(record.ID, "ending")
	case !a.knowsFleet():
		return a.rejectHeartbeat(record.ID, "no_view")
	}
	now := a.now()
	a.recordContact(record.ID)
	if !a.reachesFleet() {
		a.mergeHeartbeat(now, record) // for this side; the server finds its watcher on the other one
		return a.rejectHeartbeat(record.ID, "no_majority")
	}
	record.Watcher = a.id
	offset, late := a.mergeHeartbeat(now, record)
	if record.State == directory.Draining && !a.awaitMajority(offset, drainAckTimeout) {
		return a.rejectHeartbeat(record.ID, "drain_not_told")
	}
	a.metrics.countHeartbeat("acknowledged")
	if late {
		return controlserver.JSON(200, []byte("{}"))
	}
	answer, err := json.Marshal(map[string]string{"forward_to": a.settings.Control})
	if err != nil {
		return controlserver.Text(500, err.Error())
	}
	return controlserver.JSON(200, answer)
}

// knowsFleet tells whether this process knows whom to tell of servers. Before the first view of the fleet is
// agreed on, the seeds take its place; a process that starts later has to learn it.
func (a *Agent) knowsFleet() bool { return a.settings.FirstStart || a.state.currentView().epoch > 0 }

// reachesFleet tells whether what a server tells here reaches the rest of the fleet: where a view is known, a
// majority of its members has to answer.
func (a *Agent) reachesFleet() bool {
	return a.state.currentView().epoch == 0 || a.reachesMajority()
}

// mergeHeartbeat returns the place that hubs must reach to know of the heartbeat, and whether a later one
// of the same server has been heard before.
func (a *Agent) mergeHeartbeat(now time.Duration, record *directory.Record) (offset uint64, late bool) {
	a.state.update(now, func(d *directory.Directory) {
		known := d.Get(record.ID)
		late = known != nil && known.Sequence > record.Sequence
		if known != nil && record.Watcher == "" {
			record.Watcher = known.Watcher
		}
		if known == nil || !known.RoutesLike(record) {
			d.Merge(now, *record)
		}
		offset = d.Offset()
	})
	return offset, late
}

func (a *Agent) deregister(id string) *http1.Response {
	now := a.now()
	var offset uint64
	a.state.update(now, func(d *directory.Directory) {
		ended := directory.Record{Kind: directory.KindServer, ID: id}
		if known := d.Get(id); known != nil {
			ended = *known
		}
		ended.State, ended.Watcher = directory.Ended, a.id
		d.Merge(now, ended)
		offset = d.Offset()
	})
	if !a.awaitMajority(offset, drainAckTimeout) {
		return a.rejectHeartbeat(id, "end_not_told")
	}
	a.metrics.countHeartbeat("end_acknowledged")
	a.log.Info().Str("server", id).Msg("servers: ended")
	return controlserver.JSON(200, []byte("{}"))
}

// rejectHeartbeat sends a server to another proxy, and tells why in figures and log.
func (a *Agent) rejectHeartbeat(server, reason string) *http1.Response {
	a.metrics.countHeartbeat(reason)
	a.log.Debug().Str("server", server).Str("reason", reason).Msg("servers: sent to another proxy")
	return callAnotherProxy()
}

// busy asks the caller to try another proxy.
func callAnotherProxy() *http1.Response {
	answer := controlserver.Text(503, "not now; call another proxy")
	answer.Header = append(answer.Header, http1.Field{Name: "Retry-After", Value: "0.2"})
	answer.Close = true
	return answer
}
