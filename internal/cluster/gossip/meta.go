package gossip

import (
	"encoding/json"
	"errors"

	"cresshub/internal/cluster/membership"
)

// wireMeta is the metadata's form on the wire, JSON, at most memberlist.MetaMaxSize bytes.
type wireMeta struct {
	Incarnation uint64 `json:"inc"`
	Version     string `json:"ver,omitempty"`
	Hall        string `json:"hall,omitempty"`
	Phase       string `json:"phase"`
	Ledger      string `json:"ledger,omitempty"`
	Disk        uint64 `json:"disk,omitempty,string"`
}

func encodeMeta(m membership.Meta) []byte {
	b, _ := json.Marshal(wireMeta{Incarnation: m.Incarnation, Version: m.Version, Hall: m.Hall,
		Phase: m.Phase.String(), Ledger: m.Ledger, Disk: m.Disk})
	return b
}

func decodeMeta(b []byte, m *membership.Meta) error {
	if len(b) == 0 {
		return errors.New("no metadata")
	}
	var w wireMeta
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	p, err := membership.ParsePhase(w.Phase)
	if err != nil {
		return err
	}
	*m = membership.Meta{Incarnation: w.Incarnation, Version: w.Version, Hall: w.Hall, Phase: p,
		Ledger: w.Ledger, Disk: w.Disk}
	return nil
}
