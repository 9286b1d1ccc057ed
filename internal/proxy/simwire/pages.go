package simwire

import (
	"errors"
	"fmt"

	"github.com/go-faster/jx"

	"cresshub/balance"
)

// pageCount is the maximum number of server lists; they are numbered from 0.
const pageCount = 16

// pages holds the server lists of Directory events by number. Registry events refer to them.
type pages struct {
	lists  [pageCount][]balance.Server
	stored [pageCount]bool
}

// store stores the server list of a Directory event under its number.
func (p *pages) store(number int, servers []balance.Server) error {
	if number < 0 || number >= pageCount {
		return errors.New(`field "page": not from 0 to 15`)
	}
	p.lists[number], p.stored[number] = servers, true
	return nil
}

// load returns the server list to which a Registry event refers.
func (p *pages) load(fields *eventFields) ([]balance.Server, error) {
	if fields.present&fieldPage == 0 {
		return nil, errors.New(`field "page" is missing`)
	}
	number := fields.page
	if number < 0 || number >= pageCount || !p.stored[number] {
		return nil, fmt.Errorf(`field "page": no Directory has number %d`, number)
	}
	return p.lists[number], nil
}

// states maps names to the states of servers.
var states = map[string]balance.ServerState{
	"IN": balance.Up, "LAME": balance.Draining, "OUT": balance.Removed,
}

// decodeServers reads the entries of a server list.
func decodeServers(j *jx.Decoder) ([]balance.Server, error) {
	list := []balance.Server{}
	err := j.Arr(func(j *jx.Decoder) error {
		server, err := decodeServer(j)
		list = append(list, server)
		return err
	})
	return list, err
}

// decodeServer reads one entry of a server list.
func decodeServer(j *jx.Decoder) (balance.Server, error) {
	server := balance.Server{Rating: 1}
	hasID, hasState := false, false
	err := j.ObjBytes(func(j *jx.Decoder, key []byte) (err error) {
		switch string(key) {
		case "server":
			server.ID, err = decodeServerID(j)
			hasID = true
		case "zone":
			server.Zone, err = decodeCount(j)
		case "family-type":
			server.Kind, err = decodeCount(j)
		case "pod":
			server.Cell, err = decodeCount(j)
		case "stage-state":
			server.State, err = decodeEnum(j, states)
			hasState = true
		case "rating":
			server.Rating, err = j.Float64()
		case "boot-time-ms":
			server.Started, err = decodeMillis(j)
		default:
			return j.Skip()
		}
		return withField(err, string(key))
	})
	if err == nil && !(hasID && hasState) {
		err = errors.New("an entry lacks its server or its state")
	}
	return server, err
}
