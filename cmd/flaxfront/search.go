package main

// This file implements the command search, a small client for each protocol that a broker serves.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/query"
	"flaxfront/internal/protocols/sru"
	"flaxfront/internal/protocols/z3950"
	"flaxfront/internal/server"
)

// searchOptions holds the flags of the command search.
type searchOptions struct {
	protocol, at, database, queryType, tenant, schema string
	start, maxRecords, shards                         int
	timeout                                           time.Duration
}

func searchCommand() *cobra.Command {
	var a searchOptions
	c := &cobra.Command{
		Use:   "search QUERY",
		Short: "Send one search to a broker, or to any server of the protocol: CQL for sru and http, PQF (@attr 1=4 cat) for z3950",
		Example: "  flaxfront search --protocol sru --at 127.0.0.1:8088 'dc.title = cat'\n" +
			"  flaxfront search --protocol z3950 --at 127.0.0.1:210 '@attr 1=4 cat'\n" +
			"  flaxfront search --protocol http --at 127.0.0.1:8080 --type find --tenant acme --shards 4 'dc.title = cat'",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			out := cmd.OutOrStdout()
			switch a.protocol {
			case "sru":
				return a.searchSRU(out, args[0])
			case "z3950":
				return a.searchZ3950(out, args[0])
			case "http":
				return a.searchHTTP(out, args[0])
			}
			return fmt.Errorf("--protocol: %q is none of sru, z3950, http", a.protocol)
		},
	}
	f := c.Flags()
	f.StringVar(&a.protocol, "protocol", "sru", "sru, z3950 or http (the platform's protocol)")
	f.StringVar(&a.at, "at", "127.0.0.1:8088", "address of the server")
	f.StringVar(&a.database, "database", "catalogue", "database: a path for sru, a name for z3950")
	f.StringVar(&a.schema, "schema", "dc", "schema of the records: dc, marcxml or marc21")
	f.IntVar(&a.start, "start", 1, "number of the first record, from 1")
	f.IntVar(&a.maxRecords, "most", 10, "maximum number of records")
	f.StringVar(&a.queryType, "type", "find", "http: query type")
	f.StringVar(&a.tenant, "tenant", "", "http: tenant")
	f.IntVar(&a.shards, "shards", 1, "http: number of shards to query, from shard 0")
	f.DurationVar(&a.timeout, "timeout", 5*time.Second, "timeout of the whole search")
	return c
}

func (a *searchOptions) searchSRU(out io.Writer, text string) error {
	target := "http://" + a.at + "/" + url.PathEscape(a.database) + "?" + url.Values{"version": {"1.2"}, "operation": {"searchRetrieve"}, "query": {text},
		"startRecord": {strconv.Itoa(a.start)}, "maximumRecords": {strconv.Itoa(a.maxRecords)}, "recordSchema": {a.schema}}.Encode()
	resp, err := (&http.Client{Timeout: a.timeout}).Get(target)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	if err != nil {
		return err
	}
	r, err := sru.ParseResponse(body)
	if err != nil {
		return fmt.Errorf("%s: %w", resp.Status, err)
	}
	fmt.Fprintf(out, "%d records\n", r.Count)
	for _, d := range r.Diagnostics {
		fmt.Fprintln(out, d)
	}
	if after := resp.Header.Get("Retry-After"); after != "" {
		fmt.Fprintf(out, "retry after %s s\n", after)
	}
	for i := range r.Records {
		fmt.Fprintf(out, "%d: %s\n", a.start+i, r.Records[i].Body)
	}
	return nil
}

func (a *searchOptions) searchZ3950(out io.Writer, text string) error {
	set, rpn, err := query.ParsePQF(text)
	if err != nil {
		return err
	}
	conn, err := net.DialTimeout("tcp", a.at, a.timeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(a.timeout))
	in := bufio.NewReader(conn)
	exchange := func(m z3950.Message) (z3950.Message, error) {
		if _, err := conn.Write(z3950.Encode(m)); err != nil {
			return nil, err
		}
		r, err := z3950.Read(in)
		if c, ok := r.(*z3950.Close); ok && err == nil {
			err = fmt.Errorf("the server closed the session: reason %d, %s", c.Reason, c.Text)
		}
		return r, err
	}
	if m, err := exchange(&z3950.InitRequest{Version3: true, Search: true, Present: true, NamedResultSets: true, PreferredMessageSize: 1 << 20, ExceptionalRecordSize: 1 << 20}); err != nil {
		return err
	} else if r, ok := m.(*z3950.InitResponse); !ok || !r.Accepted {
		return errors.New("the server rejected the session")
	}
	syntax := map[string]string{"marc21": z3950.MARC21, "marcxml": z3950.XML, "dc": z3950.XML}[a.schema]
	m, err := exchange(&z3950.SearchRequest{LargeSetLowerBound: 1, Replace: true, ResultSet: "1", Databases: []string{a.database}, AttributeSet: set, Query: rpn, Syntax: syntax})
	if err != nil {
		return err
	}
	r, ok := m.(*z3950.SearchResponse)
	if !ok {
		return errors.New("the server did not answer with a search response")
	}
	fmt.Fprintf(out, "%d records, complete %v\n", r.Count, r.OK)
	if f := r.Records.Fault; f != nil {
		fmt.Fprintf(out, "diagnostic %d: %s\n", f.Code, f.Text)
	}
	for at := a.start; at < a.start+a.maxRecords && at <= r.Count; {
		m, err := exchange(&z3950.PresentRequest{ResultSet: "1", Start: at, Want: min(a.start+a.maxRecords, r.Count+1) - at, Syntax: syntax})
		if err != nil {
			return err
		}
		p, ok := m.(*z3950.PresentResponse)
		if !ok || p.Records.Fault != nil || len(p.Records.All) == 0 {
			return fmt.Errorf("no records returned from record %d on: %+v", at, p.Records.Fault)
		}
		for i := range p.Records.All {
			fmt.Fprintf(out, "%d: %s\n", at, p.Records.All[i].Body)
			at++
		}
	}
	_, err = exchange(&z3950.Close{})
	if err != nil && !strings.Contains(err.Error(), "the server closed the session") {
		return err
	}
	return nil
}

func (a *searchOptions) searchHTTP(out io.Writer, text string) error {
	q, err := query.ParseCQL(text)
	if err != nil {
		return err
	}
	rpn, err := q.RPN()
	if err != nil {
		return err
	}
	statement := catalogue.Want{Depth: min(catalogue.MaxDepth, a.start+a.maxRecords-1), Syntax: a.schema, Query: rpn}
	type tablet struct {
		Tablet   int     `json:"tablet"`
		Fraction float64 `json:"fraction"`
	}
	body := struct {
		Tablets   []tablet `json:"tablets"`
		Statement string   `json:"statement"`
	}{Statement: statement.Statement()}
	for i := range a.shards {
		body.Tablets = append(body.Tablets, tablet{i, 1 / float64(a.shards)})
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest("POST", "http://"+a.at+"/"+a.queryType, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Header.Set("X-Request-ID", server.NewRequestID())
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(a.timeout.Milliseconds(), 10))
	if a.tenant != "" {
		req.Header.Set("X-Tenant-Id", a.tenant)
	}
	resp, err := (&http.Client{Timeout: a.timeout + time.Second}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return fmt.Errorf("%s, Retry-After: %q", resp.Status, resp.Header.Get("Retry-After"))
	}
	var answer struct {
		Full   bool
		Pieces []struct {
			Tablet int
			Cell   string
		}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 16<<20)).Decode(&answer); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d of %d shards answered, complete %v\n", len(answer.Pieces), a.shards, answer.Full)
	for _, p := range answer.Pieces {
		hits, records, err := catalogue.ParseValue(p.Cell)
		if err != nil {
			fmt.Fprintf(out, "shard %d: %s\n", p.Tablet, p.Cell) // the node is not a catalogue server
			continue
		}
		fmt.Fprintf(out, "shard %d: %d records\n", p.Tablet, hits)
		for _, r := range records {
			fmt.Fprintf(out, "  %s\n", r)
		}
	}
	return nil
}
