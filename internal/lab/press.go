package lab

// This file generates the load that measures a broker's own cost: clients that send the next query as soon as they are answered,
// with as little work of their own as possible.

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// CostLoad is a closed loop over some connections, or an open loop if Rate is set.
type CostLoad struct {
	Addr           string
	QueryType      string
	ShardsPerQuery int
	Cells          int
	Connections    int
	Rate           float64 // queries per second over all connections; 0: closed loop
	RunTime        time.Duration
}

// CostResult counts the outcomes of a CostLoad.
type CostResult struct {
	Asked, Answered, Other int
	Latency                *hdrhistogram.Histogram // microseconds; in an open loop from when a query was due
}

// Run runs the load over all connections and returns the sum of their results.
func (p CostLoad) Run() (*CostResult, error) {
	total := &CostResult{Latency: hdrhistogram.New(1, 10_000_000, 3)}
	var mu sync.Mutex
	var all sync.WaitGroup
	var failed error
	for i := range p.Connections {
		all.Go(func() {
			one, err := p.one(i)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			total.Asked, total.Answered, total.Other = total.Asked+one.Asked, total.Answered+one.Answered, total.Other+one.Other
			total.Latency.Merge(one.Latency)
		})
	}
	all.Wait()
	return total, failed
}

func (p CostLoad) one(client int) (*CostResult, error) {
	conn, err := net.Dial("tcp", p.Addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	out := &CostResult{Latency: hdrhistogram.New(1, 10_000_000, 3)}
	var body bytes.Buffer
	body.WriteString(`{"tablets":[`)
	for i := range p.ShardsPerQuery {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"tablet":%d,"fraction":%.6f}`, i%p.Cells+i/p.Cells*p.Cells, 1/float64(p.ShardsPerQuery))
	}
	body.WriteString(`],"statement":"c41e77d0"}`)
	var req []byte
	run := rand.Uint32() // by the protocol every request has a new id, also in the next run against the same broker
	began := time.Now()
	for n := 0; time.Since(began) < p.RunTime; n++ {
		due := time.Now()
		if p.Rate > 0 {
			due = began.Add(time.Duration((float64(n) + float64(client)/float64(p.Connections)) * float64(p.Connections) / p.Rate * float64(time.Second)))
			time.Sleep(time.Until(due))
		}
		req = fmt.Appendf(req[:0], "POST /%s HTTP/1.1\r\nHost: b\r\nX-Request-ID: %08x%08x%08x\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 900\r\nCookie: user=7f3a9c21e0b4d655\r\nContent-Length: %d\r\n\r\n",
			p.QueryType, run, client, n, body.Len())
		req = append(req, body.Bytes()...)
		if _, err := conn.Write(req); err != nil {
			return nil, err
		}
		status, err := readAnswer(in)
		if err != nil {
			return nil, fmt.Errorf("after %d queries: %w", n, err)
		}
		out.Asked++
		if status != 200 {
			out.Other++
			continue
		}
		out.Answered++
		out.Latency.RecordValue(max(1, time.Since(due).Microseconds()))
	}
	return out, nil
}

// readAnswer reads one response from a connection that stays open and returns its status.
func readAnswer(in *bufio.Reader) (status int, err error) {
	line, err := in.ReadSlice('\n')
	if err != nil || len(line) < 12 {
		return 0, fmt.Errorf("status line %.40q: %w", line, err)
	}
	status, _ = strconv.Atoi(string(line[9:12]))
	length := 0
	for {
		if line, err = in.ReadSlice('\n'); err != nil {
			return 0, err
		}
		if len(line) <= 2 {
			break
		}
		if name, value, ok := bytes.Cut(line, []byte(": ")); ok && bytes.EqualFold(name, []byte("Content-Length")) {
			length, _ = strconv.Atoi(string(bytes.TrimSpace(value)))
		}
	}
	_, err = io.CopyN(io.Discard, in, int64(length))
	return status, err
}
