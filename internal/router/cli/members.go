package cli

// membersCommand lists the processes of the fleet.
type membersCommand struct{ controlFlags }

// memberList has the fields that the command uses of the response to GET /api/members.
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
func (c *membersCommand) Run(out *output) error {
	return printDocument(out, &c.controlFlags, "/api/members", func(list *memberList) *table {
		names := map[string]string{}
		for _, member := range list.Members {
			names[member.ID] = member.Name
		}
		table := newTable("NAME", "ZONE", "CONTROL", "STATE", "PART", "FOLLOWS", "ID")
		for _, member := range list.Members {
			table.add(member.Name, member.Zone, member.Control, member.State, member.configRole(),
				names[member.Follows], member.ID)
		}
		return table
	})
}
