package cli

// serversCommand lists the servers.
type serversCommand struct{ controlFlags }

// serverList is what is read of the answer to GET /api/servers.
type serverList struct {
	Servers []struct {
		ID         string `json:"id"`
		Service    string `json:"depot"`
		Address    string `json:"address"`
		Zone       string `json:"district"`
		Version    string `json:"edition"`
		Slots      int    `json:"bays"`
		State      string `json:"state"`
		Stage      string `json:"stage"`
		ChangingTo string `json:"changing_to"`
	} `json:"servers"`
}

// Run prints a row for each server that the asked process knows.
func (c *serversCommand) Run(o *output) error {
	return show(o, &c.controlFlags, "/api/servers", func(list *serverList) *table {
		t := newTable("ID", "SERVICE", "ADDRESS", "ZONE", "VERSION", "SLOTS", "STATE", "STAGE")
		for _, s := range list.Servers {
			stage := s.Stage
			if s.ChangingTo != "" {
				stage += ", changing to " + s.ChangingTo
			}
			t.add(s.ID, s.Service, s.Address, s.Zone, s.Version, s.Slots, s.State, stage)
		}
		return t
	})
}
