package gossip

import (
	"encoding/json"
	"errors"

	"cresshub/internal/cluster/membership"
)

// metaJSON is a member's metadata as memberlist carries it: JSON of at most memberlist.MetaMaxSize bytes.
type metaJSON struct {
	Incarnation uint64 `json:"inc"`
	Version     string `json:"ver,omitempty"`
	Hall        string `json:"hall,omitempty"`
	Phase       string `json:"phase"`
	Ledger      string `json:"ledger,omitempty"`
	Disk        uint64 `json:"disk,omitempty,string"`
}

func encodeMeta(m membership.Meta) []byte {
	b, err := json.Marshal(metaJSON{Incarnation: m.Incarnation, Version: m.Version, Hall: m.Hall,
		Phase: m.Phase.String(), Ledger: m.LedgerAddress, Disk: m.ReplicaID})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return b
}

func decodeMeta(b []byte, m *membership.Meta) error {
	if len(b) == 0 {
		return errors.New("no metadata")
	}
	var decoded metaJSON
	if err := json.Unmarshal(b, &decoded); err != nil {
		return err
	}
	phase, err := membership.ParsePhase(decoded.Phase)
	if err != nil {
		return err
	}
	*m = membership.Meta{Incarnation: decoded.Incarnation, Version: decoded.Version, Hall: decoded.Hall,
		Phase: phase, LedgerAddress: decoded.Ledger, ReplicaID: decoded.Disk}
	return nil
}
