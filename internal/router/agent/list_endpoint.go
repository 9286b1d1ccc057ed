package agent

import (
	"cmp"
	"encoding/json"
	"slices"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlserver"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

const (
	membersPath    = "/api/members"
	serverListPath = "/api/servers"
)

// processList is the answer to GET /api/members, which lists the processes of the fleet.
type processList struct {
	Responder string          `json:"asked"` // id of the process that answers
	Version   int64           `json:"edition"`
	Epoch     int64           `json:"epoch"`
	Processes []listedProcess `json:"members"`
}

type listedProcess struct {
	ID            string `json:"id"`
	Name          string `json:"office"`
	IP            string `json:"ip"`
	Control       string `json:"control"`
	Zone          string `json:"district,omitempty"`
	State         string `json:"state"`
	HasDisk       bool   `json:"has_disk"`
	IsChainMember bool   `json:"keeps_configuration"`
	Follows       string `json:"follows,omitempty"`
}

// serverList is the answer to GET /api/servers.
type serverList struct {
	Responder string         `json:"asked"` // id of the process that answers
	Servers   []listedServer `json:"servers"`
}

type listedServer struct {
	ID         string `json:"id"`
	Service    string `json:"depot"`
	Address    string `json:"address"`
	Zone       string `json:"district,omitempty"`
	Version    string `json:"edition,omitempty"`
	Slots      int    `json:"bays"`
	State      string `json:"state"`
	Stage      string `json:"stage,omitempty"`
	ChangingTo string `json:"changing_to,omitempty"`
	Sequence   int64  `json:"postmark"`
	Watcher    string `json:"heard_by,omitempty"`
}

var stateNames = map[directory.State]string{
	directory.Ready: "ready", directory.Draining: "draining", directory.Lost: "lost", directory.Ended: "ended",
}

// listEndpoint lists the processes and servers in the directory of this process. It changes nothing, calls no
// other process, has no state of its own and is safe for concurrent use.
type listEndpoint struct {
	*process
	state *state
}

func (e *listEndpoint) processes(call *controlserver.Call) *http1.Response {
	if call.Method != "GET" {
		return methodNotAllowed()
	}
	view := e.state.currentView()
	list := processList{Responder: e.id, Version: e.state.version(), Epoch: view.epoch,
		Processes: []listedProcess{}}
	e.state.read(func(d *directory.Directory) {
		for _, record := range recordsOf(d, directory.KindProxy) {
			list.Processes = append(list.Processes, listProcess(record, &view))
		}
	})
	return jsonResponse(list)
}

func listProcess(record *directory.Record, view *view) listedProcess {
	isChainMember := record.Member != "" && slices.ContainsFunc(view.members, func(m peerproto.MemberInfo) bool {
		return m.ID == record.Member
	})
	return listedProcess{
		ID: record.ID, Name: record.Name, IP: record.Address, Control: record.Control, Zone: record.Zone,
		State: stateNames[record.State], HasDisk: record.Member != "", IsChainMember: isChainMember,
		Follows: record.Watcher,
	}
}

func (e *listEndpoint) servers(call *controlserver.Call) *http1.Response {
	if call.Method != "GET" {
		return methodNotAllowed()
	}
	list := serverList{Responder: e.id, Servers: []listedServer{}}
	e.state.read(func(d *directory.Directory) {
		for _, record := range recordsOf(d, directory.KindServer) {
			list.Servers = append(list.Servers, listServer(d, record))
		}
	})
	return jsonResponse(list)
}

func listServer(d *directory.Directory, record *directory.Record) listedServer {
	listed := listedServer{
		ID: record.ID, Service: record.Service, Address: record.Address, Zone: record.Zone,
		Version: record.Version, Slots: record.Slots, State: stateNames[record.State], Stage: record.Role,
		Sequence: record.Sequence, Watcher: record.Watcher,
	}
	if d.ChangingRole(record) {
		listed.ChangingTo = d.Get(directory.OrderID(record.ID)).Role
	}
	return listed
}

// recordsOf returns the records of one kind, sorted by id.
func recordsOf(d *directory.Directory, kind directory.Kind) []*directory.Record {
	records := slices.DeleteFunc(d.Since(0), func(r *directory.Record) bool { return r.Kind != kind })
	slices.SortFunc(records, func(x, y *directory.Record) int { return cmp.Compare(x.ID, y.ID) })
	return records
}

func jsonResponse(list any) *http1.Response {
	document, err := json.Marshal(list)
	if err != nil {
		return controlserver.Text(http1.StatusInternalServerError, err.Error())
	}
	return controlserver.JSON(http1.StatusOK, document)
}

func methodNotAllowed() *http1.Response {
	return controlserver.Text(http1.StatusMethodNotAllowed, "use GET to read the list")
}
