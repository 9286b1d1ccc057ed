package gossip

import (
	"encoding/json"
	"errors"

	"cresshub/internal/cluster/membership"
)

// metaJSON is the metadata's form on the wire, JSON, at most memberlist.MetaMaxSize bytes.
type metaJSON struct {
	Incarnation uint64 `json:"inc"`
	Version     string `json:"ver,omitempty"`
	Hall        string `json:"hall,omitempty"`
	Phase       string `json:"phase"`
	Ledger      string `json:"ledger,omitempty"`
	Disk        uint64 `json:"disk,omitempty,string"`
}

func encodeMeta(m membership.Meta) []byte {
	b, _ := json.Marshal(metaJSON{Incarnation: m.Incarnation, Version: m.Version, Hall: m.Hall,
		Phase: m.Phase.String(), Ledger: m.LedgerAddress, Disk: m.ReplicaID})
	return b
}

func decodeMeta(b []byte, m *membership.Meta) error {
	if len(b) == 0 {
		return errors.New("no metadata")
	}
	var w metaJSON
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	p, err := membership.ParsePhase(w.Phase)
	if err != nil {
		return err
	}
	*m = membership.Meta{Incarnation: w.Incarnation, Version: w.Version, Hall: w.Hall, Phase: p,
		LedgerAddress: w.Ledger, ReplicaID: w.Disk}
	return nil
}
