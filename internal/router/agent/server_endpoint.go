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
	// serversPath is the prefix of the endpoint at which servers send heartbeats and deregister; their id
	// follows.
	serversPath = "/api/servers/"
	// drainAckTimeout bounds how long the acknowledgement of a drain or a deregistration waits for the hubs. It
	// is shorter than the timeout of the server, which calls another proxy after one second.
	drainAckTimeout = 800 * time.Millisecond
)

// serverEndpoint serves the heartbeats and the deregistrations of model servers. It merges them into the
// directory and acknowledges them if they reach the rest of the fleet. It has no state of its own. Its
// methods run on the goroutine of the call, are safe for concurrent use, and may wait up to drainAckTimeout
// for a majority of the hubs.
type serverEndpoint struct {
	*process
	state    *state
	quorum   *quorum
	lastSeen *lastSeen
}

// handle handles the heartbeat or the deregistration of a server.
func (e *serverEndpoint) handle(call *controlserver.Call) *http1.Response {
	id := strings.TrimPrefix(call.Path, serversPath)
	if id == "" || strings.Contains(id, "/") {
		return controlserver.Text(http1.StatusNotFound, "no server id in the path; call "+serversPath+"ID")
	}
	switch call.Method {
	case "PUT":
		record, err := readHeartbeat(id, call.Body)
		if err != nil {
			return controlserver.Text(http1.StatusBadRequest, err.Error())
		}
		return e.handleHeartbeat(record)
	case "DELETE":
		return e.deregister(id)
	}
	return controlserver.Text(http1.StatusMethodNotAllowed, "use PUT for a heartbeat and DELETE for the end")
}

// readHeartbeat reads the body of a heartbeat. The error names every mistake in it.
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
		Slots: int(root.Get("bays").NumberOr(1, 0)), Role: root.Get("stage").TextOr(""),
		WarmUpMs: int64(root.Get("cold_ms").NumberOr(0, 0)),
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

// handleHeartbeat merges the record of a server, and acknowledges it if it will reach the rest of the fleet;
// otherwise the response sends the server to another proxy. A drain is acknowledged only once a majority of
// the hubs has it, because the acknowledgement starts the bounded time after which no proxy may send the
// server a request.
func (e *serverEndpoint) handleHeartbeat(record *directory.Record) *http1.Response {
	switch {
	case e.isShuttingDown():
		return e.reject(record.ID, "shutting_down")
	case !e.knowsHubs():
		return e.reject(record.ID, "no_view")
	}
	now := e.now()
	e.lastSeen.record(record.ID, e.now())
	if !e.quorum.reachesFleet() {
		e.mergeHeartbeat(now, record) // this side of the partition learns it; its watcher is on the other side
		return e.reject(record.ID, "no_majority")
	}
	record.Watcher = e.id
	offset, late := e.mergeHeartbeat(now, record)
	if record.State == directory.Draining && !e.quorum.awaitMajority(offset, drainAckTimeout) {
		return e.reject(record.ID, "drain_not_replicated")
	}
	e.metrics.countHeartbeat("acknowledged")
	if late {
		return controlserver.JSON(http1.StatusOK, []byte("{}"))
	}
	response, err := json.Marshal(map[string]string{"forward_to": e.settings.Control})
	if err != nil {
		return controlserver.Text(http1.StatusInternalServerError, err.Error())
	}
	return controlserver.JSON(http1.StatusOK, response)
}

// knowsHubs reports whether this process knows the hubs. At the first start of the fleet, the seeds are the
// hubs until the first view is decided; a process that starts later has to learn the view first.
func (e *serverEndpoint) knowsHubs() bool {
	return e.settings.FirstStart || e.state.currentView().epoch > 0
}

// mergeHeartbeat merges a heartbeat. It returns the offset of the directory up to which a hub must have its
// changes to know the heartbeat, and whether the heartbeat is late, that is, a later one of the same server
// has been received before.
func (e *serverEndpoint) mergeHeartbeat(now time.Duration,
	record *directory.Record) (offset uint64, late bool) {
	e.state.update(now, func(d *directory.Directory) {
		known := d.Get(record.ID)
		late = known != nil && known.Sequence > record.Sequence
		if known != nil && record.Watcher == "" {
			record.Watcher = known.Watcher
		}
		if known == nil || !known.SameForRouting(record) {
			d.Merge(now, *record)
		}
		offset = d.Offset()
	})
	return offset, late
}

// deregister marks the incarnation of a server ended, and acknowledges that once a majority of the hubs has
// it.
func (e *serverEndpoint) deregister(id string) *http1.Response {
	now := e.now()
	var offset uint64
	e.state.update(now, func(d *directory.Directory) {
		ended := directory.Record{Kind: directory.KindServer, ID: id}
		if known := d.Get(id); known != nil {
			ended = *known
		}
		ended.State, ended.Watcher = directory.Ended, e.id
		d.Merge(now, ended)
		offset = d.Offset()
	})
	if !e.quorum.awaitMajority(offset, drainAckTimeout) {
		return e.reject(id, "end_not_replicated")
	}
	e.metrics.countHeartbeat("end_acknowledged")
	e.log.Info().Str("server", id).Msg("servers: deregistered")
	return controlserver.JSON(http1.StatusOK, []byte("{}"))
}

// reject responds that a server is to call another proxy. The reason goes to the metrics and the log.
func (e *serverEndpoint) reject(server, reason string) *http1.Response {
	e.lastSeen.recordRedirect(server, e.now())
	e.metrics.countHeartbeat(reason)
	e.log.Debug().Str("server", server).Str("reason", reason).Msg("servers: heartbeat rejected")
	return tryAnotherProxy()
}

// tryAnotherProxy returns the response that asks the caller to call another proxy.
func tryAnotherProxy() *http1.Response {
	response := controlserver.Text(http1.StatusServiceUnavailable, "not now; call another proxy")
	response.Header = append(response.Header, http1.Field{Name: "Retry-After", Value: "0.2"})
	response.Close = true
	return response
}
