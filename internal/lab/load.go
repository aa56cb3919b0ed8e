package lab

// This file simulates clients: an open loop of queries on a schedule drawn in advance. Each latency counts from the time when the
// query was due, and each answer is checked against the rules.

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load describes an open-loop load of queries.
type Load struct {
	URL             string                                                  // of the broker, without a path
	PickBroker      func() (url string, crashed func() bool)                // if set, picks a broker for each query instead of URL; crashed reports whether a fault hit it since
	QueryType       string                                                  // query type of all queries
	QueryTypes      []string                                                // if set, one of these at random instead
	RecordResult    func(query, queryType string, shards []int, status int) // called at the end of each query, under a lock; nil: none
	Tenant          string
	Shards          int
	MaxShards       int // most shards of a query
	StatementBytes  int // least length of a query's statement
	Rate            float64
	RunTime         time.Duration
	Stop            <-chan struct{} // ends the load early; nil: nothing does
	Timeout         time.Duration
	Objective       time.Duration
	MinCompleteness float64
	Seed            uint64
	ReportEvery     time.Duration // interval of report lines; 0: none
	ReportTo        io.Writer
}

// LoadResult counts the outcomes of a load.
type LoadResult struct {
	mu                                                           sync.Mutex
	Asked, Answered, Partial, InTarget                           int
	Shed, Failed, Unanswered                                     int
	LostInCrash                                                  int           // got no answer from a broker that was made to crash
	FirstAnswer                                                  time.Duration // time of the first answer, from the start of the load
	Violations                                                   []string
	Latency                                                      *hdrhistogram.Histogram // microseconds, from when a query was due
	interval                                                     *hdrhistogram.Histogram
	intervalAsked, intervalAnswered, intervalShed, intervalOther int
}

// Run runs the load and returns after every query has ended.
func (l Load) Run() *LoadResult {
	o := &LoadResult{Latency: hdrhistogram.New(1, 60_000_000, 3), interval: hdrhistogram.New(1, 60_000_000, 3)}
	rnd := rand.New(rand.NewPCG(l.Seed, 0x6c6f6164))
	run := rand.Uint64() // by the protocol every request has a new id, also when a load with this seed has run before
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: l.Timeout + time.Second}
	defer client.CloseIdleConnections()
	var all sync.WaitGroup
	begun, lines := time.Now(), make(chan struct{})
	if l.ReportEvery > 0 {
		go l.reportPeriodically(o, begun, lines)
	}
	for due := time.Duration(0); due < l.RunTime; due += time.Duration(rnd.ExpFloat64() / l.Rate * float64(time.Second)) {
		shards := rnd.Perm(l.Shards)[:1+rnd.IntN(l.MaxShards)]
		query, queryType := fmt.Sprintf("%016x", rnd.Uint64()^run), l.QueryType
		if len(l.QueryTypes) > 0 {
			queryType = l.QueryTypes[rnd.IntN(len(l.QueryTypes))]
		}
		select {
		case <-time.After(time.Until(begun.Add(due))):
		case <-l.Stop:
			due = l.RunTime
			continue
		}
		all.Add(1)
		go func() {
			defer all.Done()
			l.runQuery(client, o, begun, begun.Add(due), query, queryType, shards)
		}()
	}
	all.Wait()
	close(lines)
	return o
}

func (l Load) runQuery(client *http.Client, o *LoadResult, begun, due time.Time, query, queryType string, shards []int) {
	type tablet struct {
		Tablet   int     `json:"tablet"`
		Fraction float64 `json:"fraction"`
	}
	ask := struct {
		Tablets   []tablet `json:"tablets"`
		Statement string   `json:"statement"`
	}{Statement: query[:8] + strings.Repeat("x", max(0, l.StatementBytes-8))}
	for _, s := range shards {
		ask.Tablets = append(ask.Tablets, tablet{s, 1 / float64(len(shards))})
	}
	body, _ := json.Marshal(ask)
	resp, crashed, err := l.send(client, query, queryType, body)
	status, text := 0, []byte(nil)
	if err == nil {
		status = resp.StatusCode
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	took := time.Since(due)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Asked, o.intervalAsked = o.Asked+1, o.intervalAsked+1
	if l.RecordResult != nil && !crashed() { // after a crash the client may have sent the query again
		l.RecordResult(query, queryType, shards, status)
	}
	switch {
	case err != nil && crashed():
		o.LostInCrash++
	case err != nil:
		o.Unanswered, o.intervalOther = o.Unanswered+1, o.intervalOther+1
		o.Violations = append(o.Violations, fmt.Sprintf("rule 1: query %s has no answer: %v", query, err))
	case status == 429 || status == 503:
		o.Shed, o.intervalShed = o.Shed+1, o.intervalShed+1
	case status != 200:
		o.Failed, o.intervalOther = o.Failed+1, o.intervalOther+1
	default:
		o.Answered, o.intervalAnswered = o.Answered+1, o.intervalAnswered+1
		o.Latency.RecordValue(max(1, took.Microseconds()))
		o.interval.RecordValue(max(1, took.Microseconds()))
		if o.FirstAnswer == 0 {
			o.FirstAnswer = time.Since(begun)
		}
		if took <= l.Objective {
			o.InTarget++
		}
		if why := l.checkAnswer(text, query, shards, o); why != "" {
			o.Violations = append(o.Violations, fmt.Sprintf("rule 5: query %s: %s", query, why))
		}
	}
}

// send sends a query to a broker. A broker that refuses the connection has accepted nothing, so another one is tried, as load
// balancers do.
func (l Load) send(client *http.Client, query, queryType string, body []byte) (resp *http.Response, crashed func() bool, err error) {
	for try := 0; ; try++ {
		url := l.URL
		if crashed = func() bool { return false }; l.PickBroker != nil {
			url, crashed = l.PickBroker()
		}
		req, _ := http.NewRequest("POST", url+"/"+queryType, bytes.NewReader(body))
		req.Header.Set("X-Request-ID", query)
		req.Header.Set("X-Timeout-Ms", strconv.FormatInt(l.Timeout.Milliseconds(), 10))
		req.Header["Idempotency-Key"] = nil // lets the HTTP client resend a query whose connection was closed meanwhile, as the protocol allows
		if l.Tenant != "" {
			req.Header.Set("X-Tenant-Id", l.Tenant)
		}
		resp, err = client.Do(req)
		if l.PickBroker == nil || try == 8 || !errors.Is(err, syscall.ECONNREFUSED) || crashed() {
			return resp, crashed, err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// checkAnswer checks an answer against the values that nodes return and returns what is wrong, or "". The caller holds the lock.
func (l Load) checkAnswer(text []byte, query string, shards []int, o *LoadResult) string {
	var a struct {
		Full   bool `json:"full"`
		Pieces []struct {
			Tablet int    `json:"tablet"`
			Cell   string `json:"cell"`
		} `json:"pieces"`
	}
	if err := json.Unmarshal(text, &a); err != nil {
		return err.Error()
	}
	in := map[int]bool{}
	for _, p := range a.Pieces {
		if in[p.Tablet] || p.Cell != Value(fmt.Sprintf("%s.%d", query, p.Tablet), p.Tablet) {
			return fmt.Sprintf("shard %d has the wrong value %q", p.Tablet, p.Cell)
		}
		in[p.Tablet] = true
	}
	share := float64(len(in)) / float64(len(shards))
	if !a.Full {
		o.Partial++
	}
	if a.Full && share < 1 || share < l.MinCompleteness-1e-4 {
		return fmt.Sprintf("%.2f of its shards, full %v", share, a.Full)
	}
	return ""
}

// reportPeriodically writes a line with the counts of each interval.
func (l Load) reportPeriodically(o *LoadResult, begun time.Time, end <-chan struct{}) {
	t := time.NewTicker(l.ReportEvery)
	defer t.Stop()
	for {
		select {
		case <-end:
			return
		case <-t.C:
		}
		o.mu.Lock()
		fmt.Fprintf(l.ReportTo, "%6.1fs  asked %4d  answered %4d  shed %3d  other %3d  p50 %7.1f ms  p99 %7.1f ms\n",
			time.Since(begun).Seconds(), o.intervalAsked, o.intervalAnswered, o.intervalShed, o.intervalOther,
			float64(o.interval.ValueAtQuantile(50))/1000, float64(o.interval.ValueAtQuantile(99))/1000)
		o.interval.Reset()
		o.intervalAsked, o.intervalAnswered, o.intervalShed, o.intervalOther = 0, 0, 0, 0
		o.mu.Unlock()
	}
}

// String returns the result in two lines.
func (o *LoadResult) String() string {
	q := func(p float64) float64 { return float64(o.Latency.ValueAtQuantile(p)) / 1000 }
	return fmt.Sprintf("asked %d: answered %d (in target %d, partial %d), shed %d, failed %d, without answer %d; rules broken %d\n"+
		"latency of answers from when they were due: p50 %.1f ms, p90 %.1f, p99 %.1f, p99.9 %.1f; first answer after %v",
		o.Asked, o.Answered, o.InTarget, o.Partial, o.Shed, o.Failed, o.Unanswered, len(o.Violations), q(50), q(90), q(99), q(99.9),
		o.FirstAnswer.Round(time.Millisecond))
}
