package back

// This file owns a part that is asked of a node by SRU.

import (
	"fmt"
	"net/url"
	"strconv"

	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/sru"
	"flaxfront/internal/transport/httpwire"
	"flaxfront/internal/transport/store"
)

// mostValue bounds the records of one part's answer.
const mostValue = 48 << 10

// names of schemas that SRU servers are asked for.
var schemas = map[string]string{"dc": "dc", "marcxml": "marcxml", "mods": "mods", "marc21": "marcxml", "text": "dc"}

func (c *conn) sru(w *catalogue.Want, database string) (store.Result, string, error) {
	q, err := w.Query.Query()
	if err != nil {
		return store.Broke, "", nil // it can't be said in CQL
	}
	target := "/" + url.PathEscape(database) + "?" + url.Values{"operation": {"searchRetrieve"}, "version": {"1.2"}, "query": {q.CQL()}, "startRecord": {"1"},
		"maximumRecords": {strconv.Itoa(w.Depth)}, "recordSchema": {schemas[w.Syntax]}, "recordPacking": {"xml"}}.Encode()
	if _, err := c.nc.Write(httpwire.AppendRequest(nil, "GET", target, c.addr.String())); err != nil {
		return 0, "", err
	}
	m, err := httpwire.ReadResponse(c.in)
	if err != nil {
		return 0, "", err
	}
	switch {
	case m.Status == 429 || m.Status == 503:
		return store.Skipped, "", nil
	case m.Status != 200:
		return store.Broke, "", nil
	}
	r, err := sru.ParseResponse(m.Body)
	if err != nil {
		return 0, "", fmt.Errorf("%w: %w", errProtocol, err)
	}
	if len(r.Diagnostics) > 0 { // of a partial answer as well: its part would pass for whole
		if r.Diagnostics[0].Code == 2 {
			return store.Skipped, "", nil
		}
		return store.Broke, "", nil
	}
	if len(r.Records) > w.Depth || len(r.Records) > r.Count {
		return 0, "", fmt.Errorf("%w: %d records of %d, %d were asked for", errProtocol, len(r.Records), r.Count, w.Depth)
	}
	var records [][]byte
	size := 0
	for i := range r.Records {
		if r.Records[i].Fault != nil {
			return store.Broke, "", nil
		}
		if size += len(r.Records[i].Body) + 16; size > mostValue {
			break
		}
		records = append(records, r.Records[i].Body)
	}
	return store.Served, catalogue.Value(r.Count, records), nil
}
