package back

// This file owns a part that is asked of a node by Z39.50.

import (
	"bytes"
	"fmt"
	"strconv"

	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/z3950"
	"flaxfront/internal/transport/store"
)

// oids of syntaxes by the short names of statements.
var oids = map[string]string{"marc21": z3950.MARC21, "marcxml": z3950.XML, "dc": z3950.XML, "mods": z3950.XML, "text": z3950.SUTRS}

// busy are diagnostics of Bib-1 that say to come back: it was turned away.
var busy = map[int]bool{2: true, 31: true, 1: false}

func (c *conn) z3950(p *part, w *catalogue.Want, database string) (store.Result, string, error) {
	syntax := oids[w.Syntax]
	c.n++
	ref := []byte(strconv.Itoa(c.n))
	m, err := c.say(&z3950.SearchRequest{Common: z3950.Common{Reference: ref}, Large: 1, Replace: true, ResultSet: resultSet,
		Databases: []string{database}, Syntax: syntax, Query: w.Query})
	if err != nil {
		return 0, "", err
	}
	r, is := m.(*z3950.SearchResponse)
	if !is || !bytes.Equal(r.Reference, ref) {
		return 0, "", fmt.Errorf("%w: an answer to nothing that was asked", errProtocol)
	}
	if !r.OK {
		if r.Records.Fault != nil && busy[r.Records.Fault.Code] && r.SetStatus != z3950.Subset {
			return store.Skipped, "", nil
		}
		return store.Broke, "", nil // a subset is no answer of a node: its part would pass for whole
	}
	if r.Count < 0 {
		return 0, "", fmt.Errorf("%w: %d records", errProtocol, r.Count)
	}
	var records [][]byte
	size := 0
	for want := min(w.Depth, r.Count); len(records) < want; {
		c.n++
		ref := []byte(strconv.Itoa(c.n))
		m, err := c.say(&z3950.PresentRequest{Common: z3950.Common{Reference: ref}, ResultSet: resultSet, Start: len(records) + 1,
			Want: want - len(records), Elements: "F", Syntax: syntax})
		if err != nil {
			return 0, "", err
		}
		page, is := m.(*z3950.PresentResponse)
		if !is || !bytes.Equal(page.Reference, ref) || len(page.Records.All) > want-len(records) {
			return 0, "", fmt.Errorf("%w: a page of nothing that was asked", errProtocol)
		}
		if page.Records.Fault != nil || len(page.Records.All) == 0 {
			return store.Broke, "", nil
		}
		for i := range page.Records.All {
			one := &page.Records.All[i]
			if one.Fault != nil {
				return store.Broke, "", nil
			}
			if size += len(one.Body) + 16; size > mostValue {
				return store.Served, catalogue.Value(r.Count, records), nil // as far as an answer holds
			}
			records = append(records, one.Body)
		}
	}
	return store.Served, catalogue.Value(r.Count, records), nil
}
