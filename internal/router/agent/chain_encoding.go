package agent

import (
	"cresshub/internal/router/chain"
	"cresshub/internal/router/peerproto"
)

// encodeChainMessage encodes a message between members of the chain for the peer protocol.
func encodeChainMessage(m *chain.Message) []byte {
	return peerproto.Encode(&peerproto.ChainMessage{
		Kind: int(m.Kind), From: string(m.From), Epoch: int64(m.Epoch), Address: m.Address, HasDisk: m.HasDisk,
		EntryEpoch: int64(m.EntryEpoch), Open: m.Open, Draining: m.Draining, Stalled: m.Stalled, Sealed: m.Sealed,
		ReceivesFrom: idStrings(m.ReceivesFrom), View: encodeView(&m.View),
		ProposalNumber: encodeProposalNumber(m.ProposalNumber),
		AcceptedNumber: encodeProposalNumber(m.AcceptedNumber), Sequence: int64(m.Sequence), Version: m.Version,
		Digest: m.Digest, HasBody: m.HasBody, Body: m.Body, Resend: m.Resend, Origin: string(m.Origin),
		Request: int64(m.Request), Expected: m.Expected, Outcome: int(m.Outcome), Marker: int64(m.Marker),
		History: encodeHistory(m.History),
	})
}

// decodeChainMessage decodes a message between members of the chain.
func decodeChainMessage(body []byte) (chain.Message, error) {
	var m peerproto.ChainMessage
	if err := peerproto.Decode(body, &m); err != nil {
		return chain.Message{}, err
	}
	return chain.Message{
		Kind: chain.Kind(m.Kind), From: chain.MemberID(m.From), Epoch: uint64(m.Epoch), Address: m.Address,
		HasDisk: m.HasDisk, EntryEpoch: uint64(m.EntryEpoch), Open: m.Open, Draining: m.Draining,
		Stalled: m.Stalled, Sealed: m.Sealed, ReceivesFrom: memberIDs(m.ReceivesFrom), View: decodeView(&m.View),
		ProposalNumber: decodeProposalNumber(m.ProposalNumber),
		AcceptedNumber: decodeProposalNumber(m.AcceptedNumber),
		Sequence:       uint64(m.Sequence), Version: m.Version, Digest: m.Digest, HasBody: m.HasBody, Body: m.Body,
		Resend: m.Resend, Origin: chain.MemberID(m.Origin), Request: uint64(m.Request), Expected: m.Expected,
		Outcome: chain.Outcome(m.Outcome), Marker: uint64(m.Marker), History: decodeHistory(m.History),
	}, nil
}

func encodeHistory(history []chain.PastEntry) []peerproto.PastEntry {
	encoded := make([]peerproto.PastEntry, len(history))
	for i := range history {
		encoded[i] = peerproto.PastEntry{Version: history[i].Version, Digest: history[i].Digest[:]}
	}
	return encoded
}

func decodeHistory(encoded []peerproto.PastEntry) []chain.PastEntry {
	if len(encoded) == 0 {
		return nil
	}
	history := make([]chain.PastEntry, len(encoded))
	for i, past := range encoded {
		history[i].Version = past.Version
		copy(history[i].Digest[:], past.Digest)
	}
	return history
}

func encodeView(v *chain.View) peerproto.ChainView {
	encoded := peerproto.ChainView{Epoch: int64(v.Epoch), Members: memberInfos(v.Members),
		Chain: idStrings(v.Chain), Fresh: idStrings(v.CatchingUp), Sources: idStrings(v.Sources)}
	for _, past := range v.Unopened {
		encoded.Unopened = append(encoded.Unopened,
			peerproto.PastChain{Epoch: int64(past.Epoch), Chain: idStrings(past.Chain)})
	}
	return encoded
}

func decodeView(v *peerproto.ChainView) chain.View {
	view := chain.View{Epoch: uint64(v.Epoch), Chain: memberIDs(v.Chain), CatchingUp: memberIDs(v.Fresh),
		Sources: memberIDs(v.Sources)}
	for _, member := range v.Members {
		view.Members = append(view.Members, chain.Member{ID: chain.MemberID(member.ID), Address: member.Address})
	}
	for _, past := range v.Unopened {
		view.Unopened = append(view.Unopened,
			chain.PastChain{Epoch: uint64(past.Epoch), Chain: memberIDs(past.Chain)})
	}
	return view
}

func memberInfos(members []chain.Member) []peerproto.MemberInfo {
	infos := make([]peerproto.MemberInfo, len(members))
	for i, member := range members {
		infos[i] = peerproto.MemberInfo{ID: string(member.ID), Address: member.Address}
	}
	return infos
}

func encodeProposalNumber(n chain.ProposalNumber) peerproto.ChainProposalNumber {
	return peerproto.ChainProposalNumber{Counter: int64(n.Counter), Proposer: string(n.Proposer)}
}

func decodeProposalNumber(n peerproto.ChainProposalNumber) chain.ProposalNumber {
	return chain.ProposalNumber{Counter: uint64(n.Counter), Proposer: chain.MemberID(n.Proposer)}
}

func idStrings(ids []chain.MemberID) []string {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = string(id)
	}
	return texts
}

func memberIDs(texts []string) []chain.MemberID {
	if len(texts) == 0 {
		return nil
	}
	ids := make([]chain.MemberID, len(texts))
	for i, text := range texts {
		ids[i] = chain.MemberID(text)
	}
	return ids
}
