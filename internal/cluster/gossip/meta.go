package gossip

import (
	"encoding/json"
	"errors"

	"cresshub/internal/cluster/membership"
)

// metaJSON is a member's metadata as memberlist carries it: JSON of at most memberlist.MetaMaxSize bytes.
type metaJSON struct {
	Incarnation   uint64 `json:"inc"`
	Version       string `json:"ver,omitempty"`
	Hall          string `json:"hall,omitempty"`
	Phase         string `json:"phase"`
	LedgerAddress string `json:"ledger,omitempty"`
	ReplicaID     uint64 `json:"disk,omitempty,string"`
}

func encodeMeta(meta membership.Meta) []byte {
	raw, err := json.Marshal(metaJSON{
		Incarnation:   meta.Incarnation,
		Version:       meta.Version,
		Hall:          meta.Hall,
		Phase:         meta.Phase.String(),
		LedgerAddress: meta.LedgerAddress,
		ReplicaID:     meta.ReplicaID,
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return raw
}

// decodeMeta decodes the output of encodeMeta and stores it in meta, which it leaves unchanged on an error.
func decodeMeta(raw []byte, meta *membership.Meta) error {
	if len(raw) == 0 {
		return errors.New("no metadata")
	}
	var decoded metaJSON
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return err
	}
	phase, err := membership.ParsePhase(decoded.Phase)
	if err != nil {
		return err
	}
	*meta = membership.Meta{
		Incarnation:   decoded.Incarnation,
		Version:       decoded.Version,
		Hall:          decoded.Hall,
		Phase:         phase,
		LedgerAddress: decoded.LedgerAddress,
		ReplicaID:     decoded.ReplicaID,
	}
	return nil
}
