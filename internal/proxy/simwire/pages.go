package simwire

import (
	"errors"
	"fmt"

	"github.com/go-faster/jx"

	"cresshub/balance"
)

// pageCount is how many numbered server lists there may be.
const pageCount = 16

// pages are the server lists that Directory events brought, by number. Registry events name them.
type pages struct {
	lists  [pageCount][]balance.Server
	stored [pageCount]bool
}

// store keeps the server list of a Directory event under its number.
func (p *pages) store(number int, servers []balance.Server) error {
	if number < 0 || number >= pageCount {
		return errors.New(`field "page": not from 0 to 15`)
	}
	p.lists[number], p.stored[number] = servers, true
	return nil
}

// load returns the server list that a Registry event names by number.
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

// states are the states of servers by their names.
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
		err = errors.New("a line lacks its server or its state")
	}
	return server, err
}
