package statemachine

// proposal returns an encoded entry; occasionally an earlier proposal, or one that is truncated, damaged or of a newer version.
func (g *goldenRun) proposal(e Entry) []byte {
	if g.oneIn(25) && len(g.proposals) > 0 {
		return g.proposals[g.rng.IntN(len(g.proposals))]
	}
	by := g.upTo(2)
	g.sequences[by]++
	id := ProposalID{Slot(by), 1 + g.sequences[by]/40, g.sequences[by]}
	switch g.rng.IntN(300) {
	case 0:
		id.Sequence = 0
	case 1:
		id.Slot = 4096
	case 2:
		id.Incarnation--
	case 3:
		id.Sequence = max(1, id.Sequence-min(id.Sequence, 33+g.upTo(1)))
	case 4:
		id.Sequence += 7
	}
	data := Encode(id, e)
	switch g.rng.IntN(400) {
	case 0:
		data = data[:g.rng.IntN(len(data))]
	case 1:
		data = append(data, 0)
	case 2:
		data[g.rng.IntN(len(data))]++
	case 3:
		if g.oneIn(8) {
			data[0]++
		}
	}
	g.proposals = append(g.proposals, data)
	return data
}
