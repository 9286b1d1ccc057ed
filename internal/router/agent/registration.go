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
func (n *Node) handleServerCall(call *controlserver.Call) *http1.Response {
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
		return n.handleHeartbeat(record)
	case "DELETE":
		return n.deregister(id)
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
func (n *Node) handleHeartbeat(record *directory.Record) *http1.Response {
	switch {
	case n.isShuttingDown():
		return n.rejectHeartbeat(record.ID, "ending")
	case !n.knowsFleet():
		return n.rejectHeartbeat(record.ID, "no_view")
	}
	now := n.now()
	n.recordContact(record.ID)
	if !n.reachesFleet() {
		n.mergeHeartbeat(now, record) // for this side; the server finds its watcher on the other one
		return n.rejectHeartbeat(record.ID, "no_majority")
	}
	record.Watcher = n.id
	offset, late := n.mergeHeartbeat(now, record)
	if record.State == directory.Draining && !n.awaitMajority(offset, drainAckTimeout) {
		return n.rejectHeartbeat(record.ID, "drain_not_told")
	}
	n.metrics.countHeartbeat("acknowledged")
	if late {
		return controlserver.JSON(200, []byte("{}"))
	}
	answer, err := json.Marshal(map[string]string{"forward_to": n.settings.Control})
	if err != nil {
		return controlserver.Text(500, err.Error())
	}
	return controlserver.JSON(200, answer)
}

// knowsFleet tells whether this process knows whom to tell of servers. Before the first view of the fleet is
// agreed on, the seeds take its place; a process that starts later has to learn it.
func (n *Node) knowsFleet() bool { return n.settings.FirstStart || n.state.currentView().epoch > 0 }

// reachesFleet tells whether what a server tells here reaches the rest of the fleet: where a view is known, a
// majority of its members has to answer.
func (n *Node) reachesFleet() bool {
	return n.state.currentView().epoch == 0 || n.reachesMajority()
}

// mergeHeartbeat returns the place that hubs must reach to know of the heartbeat, and whether a later one
// of the same server has been heard before.
func (n *Node) mergeHeartbeat(now time.Duration, record *directory.Record) (offset uint64, late bool) {
	n.state.update(now, func(d *directory.Directory) {
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

func (n *Node) deregister(id string) *http1.Response {
	now := n.now()
	var offset uint64
	n.state.update(now, func(d *directory.Directory) {
		ended := directory.Record{Kind: directory.KindServer, ID: id}
		if known := d.Get(id); known != nil {
			ended = *known
		}
		ended.State, ended.Watcher = directory.Ended, n.id
		d.Merge(now, ended)
		offset = d.Offset()
	})
	if !n.awaitMajority(offset, drainAckTimeout) {
		return n.rejectHeartbeat(id, "end_not_told")
	}
	n.metrics.countHeartbeat("end_acknowledged")
	n.log.Info().Str("server", id).Msg("servers: ended")
	return controlserver.JSON(200, []byte("{}"))
}

// rejectHeartbeat sends a server to another proxy, and tells why in figures and log.
func (n *Node) rejectHeartbeat(server, reason string) *http1.Response {
	n.metrics.countHeartbeat(reason)
	n.log.Debug().Str("server", server).Str("reason", reason).Msg("servers: sent to another proxy")
	return retryElsewhere()
}

// retryElsewhere asks the caller to try another proxy.
func retryElsewhere() *http1.Response {
	answer := controlserver.Text(503, "not now; call another proxy")
	answer.Header = append(answer.Header, http1.Field{Name: "Retry-After", Value: "0.2"})
	answer.Close = true
	return answer
}
