package cli

// membersCommand lists the processes of the fleet.
type membersCommand struct{ controlFlags }

// memberList is what is read of the answer to GET /api/members.
type memberList struct {
	Asked   string `json:"asked"`
	Members []struct {
		ID          string `json:"id"`
		Name        string `json:"office"`
		Control     string `json:"control"`
		Zone        string `json:"district"`
		State       string `json:"state"`
		HasDisk     bool   `json:"has_disk"`
		KeepsConfig bool   `json:"keeps_configuration"`
		Follows     string `json:"follows"`
	} `json:"members"`
}

// Run prints a row for each process that the asked one knows.
func (c *membersCommand) Run(o *output) error {
	return show(o, &c.controlFlags, "/api/members", func(list *memberList) *table {
		names := map[string]string{}
		for _, member := range list.Members {
			names[member.ID] = member.Name
		}
		t := newTable("NAME", "ZONE", "CONTROL", "STATE", "PART", "FOLLOWS", "ID")
		for _, m := range list.Members {
			t.add(m.Name, m.Zone, m.Control, m.State, configRole(m.HasDisk, m.KeepsConfig), names[m.Follows], m.ID)
		}
		return t
	})
}

// configRole names the part that a process plays in keeping the configuration.
func configRole(hasDisk, keepsConfig bool) string {
	switch {
	case keepsConfig:
		return "keeps the configuration"
	case hasDisk:
		return "candidate"
	}
	return "follower"
}
