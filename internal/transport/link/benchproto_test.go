package link

// This file encodes queries and replies as protocol buffers, for the comparison in BenchmarkEncoding.

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

func appendProtoQuery(q Query) (b []byte) {
	b = protowire.AppendVarint(protowire.AppendTag(b, 1, protowire.VarintType), q.ID)
	b = protowire.AppendVarint(protowire.AppendTag(b, 2, protowire.VarintType), uint64(q.RemainingMicros))
	for i, s := range []string{q.Type, q.Tenant, q.Request, q.Text} {
		b = protowire.AppendString(protowire.AppendTag(b, protowire.Number(3+i), protowire.BytesType), s)
	}
	for _, p := range q.ShardRequests {
		var in []byte
		in = protowire.AppendVarint(protowire.AppendTag(in, 1, protowire.VarintType), uint64(p.Shard))
		in = protowire.AppendFixed64(protowire.AppendTag(in, 2, protowire.Fixed64Type), math.Float64bits(p.Weight))
		b = protowire.AppendBytes(protowire.AppendTag(b, 7, protowire.BytesType), in)
	}
	return b
}

func appendProtoReply(r Reply) (b []byte) {
	b = protowire.AppendVarint(protowire.AppendTag(b, 1, protowire.VarintType), r.ID)
	b = protowire.AppendVarint(protowire.AppendTag(b, 2, protowire.VarintType), protowire.EncodeBool(r.IsComplete))
	for _, p := range r.ShardAnswers {
		var in []byte
		in = protowire.AppendVarint(protowire.AppendTag(in, 1, protowire.VarintType), uint64(p.Shard))
		in = protowire.AppendString(protowire.AppendTag(in, 2, protowire.BytesType), p.Value)
		b = protowire.AppendBytes(protowire.AppendTag(b, 3, protowire.BytesType), in)
	}
	return b
}

// eachField calls field for each field of a message.
func eachField(b []byte, field func(n protowire.Number, number uint64, text []byte)) error {
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

func parseProtoQuery(b []byte, q *Query) error {
	return eachField(b, func(n protowire.Number, number uint64, text []byte) {
		switch n {
		case 1:
			q.ID = number
		case 2:
			q.RemainingMicros = int64(number)
		case 3:
			q.Type = string(text)
		case 4:
			q.Tenant = string(text)
		case 5:
			q.Request = string(text)
		case 6:
			q.Text = string(text)
		case 7:
			var p ShardRequest
			eachField(text, func(n protowire.Number, number uint64, _ []byte) {
				if n == 1 {
					p.Shard = int(number)
				} else {
					p.Weight = math.Float64frombits(number)
				}
			})
			q.ShardRequests = append(q.ShardRequests, p)
		}
	})
}

func parseProtoReply(b []byte, r *Reply) error {
	return eachField(b, func(n protowire.Number, number uint64, text []byte) {
		switch n {
		case 1:
			r.ID = number
		case 2:
			r.IsComplete = number == 1
		case 3:
			var p ShardAnswer
			eachField(text, func(n protowire.Number, number uint64, text []byte) {
				if n == 1 {
					p.Shard = int(number)
				} else {
					p.Value = string(text)
				}
			})
			r.ShardAnswers = append(r.ShardAnswers, p)
		}
	})
}
