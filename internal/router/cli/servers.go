package cli

// serversCommand lists the servers that the fleet knows.
type serversCommand struct{ controlFlags }

// serverList has the fields that the command uses of the response to GET /api/servers.
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
	ChangingTo string `json:"changing_to"` // the role that it was told to change to, empty for none
}

// role describes the role of a model server and its change.
func (s *server) role() string {
	if s.ChangingTo == "" {
		return roleName(s.Role)
	}
	return roleName(s.Role) + ", changing to " + roleName(s.ChangingTo)
}

// roleName returns the name of a model server's role, which the protocol calls its stage.
func roleName(stage string) string {
	switch stage {
	case "reading":
		return "prefill"
	case "writing":
		return "decode"
	}
	return stage
}

// Run prints a row for each server that the queried process knows.
func (c *serversCommand) Run(out *output) error {
	return printDocument(out, &c.controlFlags, "/api/servers", func(list *serverList) *table {
		table := newTable("ID", "SERVICE", "ADDRESS", "ZONE", "VERSION", "SLOTS", "STATE", "ROLE")
		for _, server := range list.Servers {
			table.add(server.ID, server.Service, server.Address, server.Zone, server.Version, server.Slots,
				server.State, server.role())
		}
		return table
	})
}
