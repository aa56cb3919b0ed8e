package ingress

import (
	"encoding/json"
	"math"
	"slices"
	"unicode/utf8"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/server/query"
)

// queryBody is the decoded body of a query. The JSON calls shards tablets and weights fractions.
type queryBody struct {
	shards    []bodyShard
	statement string
}

type bodyShard struct {
	number int
	weight float64
}

// decodeBody decodes the body of a query into q. Its errors are of type *RequestError.
func decodeBody(q *query.Request, body []byte, settings *terms.Terms) error {
	b, ok := scanBody(body)
	if !ok {
		var err error
		b, err = unmarshalBody(body)
		if err != nil {
			return err
		}
	}
	return setShards(q, b, settings)
}

// unmarshalBody decodes a body in any form that encoding/json accepts.
func unmarshalBody(body []byte) (b queryBody, err error) {
	var doc struct {
		Tablets []struct {
			Tablet   *int     `json:"tablet"`
			Fraction *float64 `json:"fraction"`
		} `json:"tablets"`
		Statement *string `json:"statement"`
	}
	if err := json.Unmarshal(body, &doc); err != nil {
		bad := requestError(statusBadRequest, "body: %v", err)
		bad.Err = err
		return b, bad
	}
	if !utf8.Valid(body) { // encoding/json replaces invalid UTF-8, but nodes must get the text unchanged
		return b, requestError(statusBadRequest, "body: not UTF-8")
	}
	if len(doc.Tablets) == 0 || doc.Statement == nil {
		return b, requestError(statusBadRequest, "body: %d tablets, statement there: %v", len(doc.Tablets), doc.Statement != nil)
	}
	b.statement = *doc.Statement
	for i, t := range doc.Tablets {
		if t.Tablet == nil {
			return b, noSuchTablet(i)
		}
		if t.Fraction == nil {
			return b, badFraction(i)
		}
		b.shards = append(b.shards, bodyShard{number: *t.Tablet, weight: *t.Fraction})
	}
	return b, nil
}

// setShards validates the shards of a body and sets them in q.
func setShards(q *query.Request, b queryBody, settings *terms.Terms) error {
	q.Text = b.statement
	q.Shards = make([]query.ShardRequest, 0, len(b.shards))
	sum := 0.0
	for i, s := range b.shards {
		if s.number < 0 || s.number >= settings.Shards {
			return noSuchTablet(i)
		}
		if !(s.weight >= 0 && s.weight <= 1+query.WeightTolerance) { // written so that NaN is rejected too
			return badFraction(i)
		}
		if slices.ContainsFunc(q.Shards, func(o query.ShardRequest) bool { return o.Shard == s.number }) {
			return requestError(statusBadRequest, "body: tablet %d twice", s.number)
		}
		sum += s.weight
		q.Shards = append(q.Shards, query.ShardRequest{Name: query.ShardRequestName(q.ID, s.number), Shard: s.number, Weight: s.weight})
	}
	if math.Abs(sum-1) > query.WeightTolerance {
		return requestError(statusBadRequest, "body: fractions add up to %.3f", sum)
	}
	for i := range q.Shards { // else the sum of rounded weights might never reach that of a complete answer
		q.Shards[i].Weight /= sum
	}
	return nil
}

func noSuchTablet(i int) *RequestError {
	return requestError(statusBadRequest, "body: tablets.%d: no such tablet", i)
}

func badFraction(i int) *RequestError {
	return requestError(statusBadRequest, "body: tablets.%d: fraction", i)
}
