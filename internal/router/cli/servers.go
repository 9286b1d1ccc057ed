package cli

// serversCommand lists the servers.
type serversCommand struct{ controlFlags }

// serverList is what the command uses of the response to GET /api/servers.
type serverList struct {
	Servers []server `json:"servers"`
}

// server is a server of any service.
type server struct {
	ID         string `json:"id"`
	Service    string `json:"depot"`
	Address    string `json:"address"`
	Zone       string `json:"district"`
	Version    string `json:"edition"`
	Slots      int    `json:"bays"`
	State      string `json:"state"`
	Role       string `json:"stage"`       // empty unless it is a model server
	ChangingTo string `json:"changing_to"` // the role that it was ordered to, empty for none
}

// role describes the role of a model server and its change.
func (s *server) role() string {
	if s.ChangingTo == "" {
		return s.Role
	}
	return s.Role + ", changing to " + s.ChangingTo
}

// Run prints a row for each server that the queried process knows.
func (c *serversCommand) Run(o *output) error {
	return show(o, &c.controlFlags, "/api/servers", func(list *serverList) *table {
		t := newTable("ID", "SERVICE", "ADDRESS", "ZONE", "VERSION", "SLOTS", "STATE", "STAGE")
		for _, s := range list.Servers {
			t.add(s.ID, s.Service, s.Address, s.Zone, s.Version, s.Slots, s.State, s.role())
		}
		return t
	})
}
