package back

// This file runs an attempt's search by SRU.

import (
	"fmt"
	"net/url"
	"strconv"

	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/sru"
	"flaxfront/internal/transport/httpwire"
	"flaxfront/internal/transport/store"
)

// maxValueBytes bounds the records in one answer; later records are left out.
const maxValueBytes = 48 << 10

// schemaNames maps the syntax of a statement to the record schema that the node is asked for.
var schemaNames = map[string]string{"dc": "dc", "marcxml": "marcxml", "mods": "mods", "marc21": "marcxml", "text": "dc"}

func (c *conn) sru(search *catalogue.Want, database string) (store.Result, string, error) {
	q, err := search.Query.Query()
	if err != nil {
		return store.Broke, "", nil // the query has no translation to CQL
	}
	target := "/" + url.PathEscape(database) + "?" + url.Values{"operation": {"searchRetrieve"}, "version": {"1.2"}, "query": {q.CQL()}, "startRecord": {"1"},
		"maximumRecords": {strconv.Itoa(search.Depth)}, "recordSchema": {schemaNames[search.Syntax]}, "recordPacking": {"xml"}}.Encode()
	if _, err := c.netConn.Write(httpwire.AppendRequest(nil, "GET", target, c.addr.String())); err != nil {
		return 0, "", err
	}
	response, err := httpwire.ReadResponseWithin(c.reader, c.memory.TryGrow)
	if err != nil {
		return 0, "", err
	}
	switch {
	case response.Status == 429 || response.Status == 503:
		return store.Skipped, "", nil
	case response.Status != 200:
		return store.Broke, "", nil
	}
	parsed, err := sru.ParseResponse(response.Body)
	if err != nil {
		return 0, "", fmt.Errorf("%w: %w", errProtocol, err)
	}
	if len(parsed.Diagnostics) > 0 { // also those of a partial result, which would count as a complete answer of the shard
		if parsed.Diagnostics[0].Code == 2 {
			return store.Skipped, "", nil
		}
		return store.Broke, "", nil
	}
	if len(parsed.Records) > search.Depth || len(parsed.Records) > parsed.Count {
		return 0, "", fmt.Errorf("%w: %d records in the response, %d in the result set, %d requested", errProtocol, len(parsed.Records), parsed.Count, search.Depth)
	}
	var records [][]byte
	size := 0
	for i := range parsed.Records {
		if parsed.Records[i].Fault != nil {
			return store.Broke, "", nil
		}
		if size += len(parsed.Records[i].Body) + 16; size > maxValueBytes {
			break
		}
		records = append(records, parsed.Records[i].Body)
	}
	return store.Served, catalogue.Value(parsed.Count, records), nil
}
