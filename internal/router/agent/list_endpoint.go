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

// memberList is the answer to GET /api/members.
type memberList struct {
	Asked   string         `json:"asked"`
	Version int64          `json:"edition"`
	Epoch   int64          `json:"epoch"`
	Members []listedMember `json:"members"`
}

type listedMember struct {
	ID       string `json:"id"`
	Name     string `json:"office"`
	IP       string `json:"ip"`
	Control  string `json:"control"`
	Zone     string `json:"district,omitempty"`
	State    string `json:"state"`
	HasDisk  bool   `json:"has_disk"`
	IsMember bool   `json:"keeps_configuration"`
	Follows  string `json:"follows,omitempty"`
}

// serverList is the answer to GET /api/servers.
type serverList struct {
	Asked   string         `json:"asked"`
	Servers []listedServer `json:"servers"`
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

// listEndpoint lists what this process knows. It changes nothing, calls no other process, has no state of its
// own and is safe for concurrent use.
type listEndpoint struct {
	*process
	state *state
}

func (e *listEndpoint) members(call *controlserver.Call) *http1.Response {
	if call.Method != "GET" {
		return onlyGet()
	}
	view := e.state.currentView()
	list := memberList{Asked: e.id, Version: e.state.version(), Epoch: view.epoch, Members: []listedMember{}}
	e.state.read(func(d *directory.Directory) {
		for _, record := range recordsOf(d, directory.KindProxy) {
			list.Members = append(list.Members, listMember(record, &view))
		}
	})
	return jsonResponse(list)
}

func listMember(record *directory.Record, view *view) listedMember {
	isMember := record.Member != "" && slices.ContainsFunc(view.members, func(m peerproto.MemberInfo) bool {
		return m.ID == record.Member
	})
	return listedMember{
		ID: record.ID, Name: record.Name, IP: record.Address, Control: record.Control, Zone: record.Zone,
		State: stateNames[record.State], HasDisk: record.Member != "", IsMember: isMember,
		Follows: record.Watcher,
	}
}

func (e *listEndpoint) servers(call *controlserver.Call) *http1.Response {
	if call.Method != "GET" {
		return onlyGet()
	}
	list := serverList{Asked: e.id, Servers: []listedServer{}}
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

func onlyGet() *http1.Response {
	return controlserver.Text(http1.StatusMethodNotAllowed, "use GET to read the list")
}
