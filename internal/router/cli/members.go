package cli

// membersCommand lists the processes of the fleet.
type membersCommand struct{ controlFlags }

// memberList is what the command uses of the response to GET /api/members.
type memberList struct {
	Members []member `json:"members"`
}

// member is a process of the fleet.
type member struct {
	ID           string `json:"id"`
	Name         string `json:"office"`
	Control      string `json:"control"`
	Zone         string `json:"district"`
	State        string `json:"state"`
	HasDisk      bool   `json:"has_disk"`
	StoresConfig bool   `json:"keeps_configuration"`
	Follows      string `json:"follows"` // id of the process whose configuration it follows
}

// configRole names the role of the process in storing the configuration.
func (m *member) configRole() string {
	switch {
	case m.StoresConfig:
		return "keeps the configuration"
	case m.HasDisk:
		return "candidate"
	}
	return "follower"
}

// Run prints a row for each process that the queried one knows.
func (c *membersCommand) Run(o *output) error {
	return show(o, &c.controlFlags, "/api/members", func(list *memberList) *table {
		names := map[string]string{}
		for _, member := range list.Members {
			names[member.ID] = member.Name
		}
		t := newTable("NAME", "ZONE", "CONTROL", "STATE", "PART", "FOLLOWS", "ID")
		for _, m := range list.Members {
			t.add(m.Name, m.Zone, m.Control, m.State, m.configRole(), names[m.Follows], m.ID)
		}
		return t
	})
}
