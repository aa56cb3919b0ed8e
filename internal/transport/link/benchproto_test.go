package link

// This file holds the form that frames were compared with.

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

func protoAsk(a Ask) (b []byte) {
	b = protowire.AppendVarint(protowire.AppendTag(b, 1, protowire.VarintType), a.ID)
	b = protowire.AppendVarint(protowire.AppendTag(b, 2, protowire.VarintType), uint64(a.Left))
	for i, s := range []string{a.Type, a.Tenant, a.Request, a.Text} {
		b = protowire.AppendString(protowire.AppendTag(b, protowire.Number(3+i), protowire.BytesType), s)
	}
	for _, p := range a.Parts {
		var in []byte
		in = protowire.AppendVarint(protowire.AppendTag(in, 1, protowire.VarintType), uint64(p.Shard))
		in = protowire.AppendFixed64(protowire.AppendTag(in, 2, protowire.Fixed64Type), math.Float64bits(p.Weight))
		b = protowire.AppendBytes(protowire.AppendTag(b, 7, protowire.BytesType), in)
	}
	return b
}

func protoVerdict(v Verdict) (b []byte) {
	b = protowire.AppendVarint(protowire.AppendTag(b, 1, protowire.VarintType), v.ID)
	b = protowire.AppendVarint(protowire.AppendTag(b, 2, protowire.VarintType), protowire.EncodeBool(v.Whole))
	for _, p := range v.Pieces {
		var in []byte
		in = protowire.AppendVarint(protowire.AppendTag(in, 1, protowire.VarintType), uint64(p.Shard))
		in = protowire.AppendString(protowire.AppendTag(in, 2, protowire.BytesType), p.Value)
		b = protowire.AppendBytes(protowire.AppendTag(b, 3, protowire.BytesType), in)
	}
	return b
}

// fields calls for each field of a message.
func fields(b []byte, field func(n protowire.Number, number uint64, text []byte)) error {
	for len(b) > 0 {
		n, kind, size := protowire.ConsumeTag(b)
		if size < 0 {
			return protowire.ParseError(size)
		}
		b = b[size:]
		var number uint64
		var text []byte
		switch kind {
		case protowire.VarintType:
			number, size = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			number, size = protowire.ConsumeFixed64(b)
		default:
			text, size = protowire.ConsumeBytes(b)
		}
		if size < 0 {
			return protowire.ParseError(size)
		}
		b = b[size:]
		field(n, number, text)
	}
	return nil
}

func unprotoAsk(b []byte, a *Ask) error {
	return fields(b, func(n protowire.Number, number uint64, text []byte) {
		switch n {
		case 1:
			a.ID = number
		case 2:
			a.Left = int64(number)
		case 3:
			a.Type = string(text)
		case 4:
			a.Tenant = string(text)
		case 5:
			a.Request = string(text)
		case 6:
			a.Text = string(text)
		case 7:
			var p Part
			fields(text, func(n protowire.Number, number uint64, _ []byte) {
				if n == 1 {
					p.Shard = int(number)
				} else {
					p.Weight = math.Float64frombits(number)
				}
			})
			a.Parts = append(a.Parts, p)
		}
	})
}

func unprotoVerdict(b []byte, v *Verdict) error {
	return fields(b, func(n protowire.Number, number uint64, text []byte) {
		switch n {
		case 1:
			v.ID = number
		case 2:
			v.Whole = number == 1
		case 3:
			var p Piece
			fields(text, func(n protowire.Number, number uint64, text []byte) {
				if n == 1 {
					p.Shard = int(number)
				} else {
					p.Value = string(text)
				}
			})
			v.Pieces = append(v.Pieces, p)
		}
	})
}
