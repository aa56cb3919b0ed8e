package back

// This file runs an attempt's search by Z39.50.

import (
	"bytes"
	"fmt"
	"strconv"

	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/z3950"
	"flaxfront/internal/transport/store"
)

// syntaxOIDs maps the syntax of a statement to the object identifier of the record syntax.
var syntaxOIDs = map[string]string{"marc21": z3950.MARC21, "marcxml": z3950.XML, "dc": z3950.XML, "mods": z3950.XML, "text": z3950.SUTRS}

// busyDiagnostics are the Bib-1 diagnostics of a busy node: temporary system error (2) and resources exhausted (31). They count as
// a rejection; a permanent system error (1) does not.
var busyDiagnostics = map[int]bool{2: true, 31: true, 1: false}

func (c *conn) z3950(p *attempt, search *catalogue.Want, database string) (store.Result, string, error) {
	syntax := syntaxOIDs[search.Syntax]
	c.lastReference++
	ref := []byte(strconv.Itoa(c.lastReference))
	m, err := c.exchange(&z3950.SearchRequest{Common: z3950.Common{ReferenceID: ref}, LargeSetLowerBound: 1, Replace: true, ResultSet: resultSetName,
		Databases: []string{database}, Syntax: syntax, Query: search.Query})
	if err != nil {
		return 0, "", err
	}
	r, is := m.(*z3950.SearchResponse)
	if !is || !bytes.Equal(r.ReferenceID, ref) {
		return 0, "", fmt.Errorf("%w: not a search response to the search request", errProtocol)
	}
	if !r.OK {
		if r.Records.Fault != nil && busyDiagnostics[r.Records.Fault.Code] && r.ResultSetStatus != z3950.Subset {
			return store.Skipped, "", nil
		}
		return store.Broke, "", nil // a subset too, which would count as a complete answer of the shard
	}
	if r.Count < 0 {
		return 0, "", fmt.Errorf("%w: result count %d", errProtocol, r.Count)
	}
	var records [][]byte
	size := 0
	for want := min(search.Depth, r.Count); len(records) < want; {
		c.lastReference++
		ref := []byte(strconv.Itoa(c.lastReference))
		m, err := c.exchange(&z3950.PresentRequest{Common: z3950.Common{ReferenceID: ref}, ResultSet: resultSetName, Start: len(records) + 1,
			Want: want - len(records), ElementSetName: "F", Syntax: syntax})
		if err != nil {
			return 0, "", err
		}
		page, is := m.(*z3950.PresentResponse)
		if !is || !bytes.Equal(page.ReferenceID, ref) || len(page.Records.All) > want-len(records) {
			return 0, "", fmt.Errorf("%w: not a present response to the present request, or more records than requested", errProtocol)
		}
		if page.Records.Fault != nil || len(page.Records.All) == 0 {
			return store.Broke, "", nil
		}
		for i := range page.Records.All {
			record := &page.Records.All[i]
			if record.Fault != nil || syntax != "" && record.Syntax != syntax { // a syntax is a preference, which a node may set aside
				return store.Broke, "", nil
			}
			if size += len(record.Body) + 16; size > maxValueBytes {
				return store.Served, catalogue.Value(r.Count, records), nil // the answer is full
			}
			records = append(records, record.Body)
		}
	}
	return store.Served, catalogue.Value(r.Count, records), nil
}
