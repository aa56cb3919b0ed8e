// Package sru is the front for clients that speak SRU 1.1, 1.2 and 2.0: explain and searchRetrieve. The first page always runs a new
// search; later pages come from the result set of the same client's first page, as long as that is kept. All pages of a result set
// are of the same records, and a partial result is never presented as complete.
//
// Depends on config/operator, decision/pacing, decision/reclaim, decision/resultset, protocols/catalogue, protocols/front, protocols/sru, server,
// transport/clientconn, transport/httpwire, transport/lookahead, transport/membudget.
// Concurrency: net/http calls ServeHTTP from many goroutines; a mutex guards the result sets.
package sru

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/decision/pacing"
	"flaxfront/internal/decision/resultset"
	"flaxfront/internal/protocols/front"
	"flaxfront/internal/protocols/sru"
	"flaxfront/internal/server"
	"flaxfront/internal/transport/membudget"
)

const (
	headerTimeout         = 2500 * time.Millisecond
	requestTimeout        = 5 * time.Second
	idleTimeout           = 30 * time.Second
	maxHeaderBytes        = 80 << 10 // bytes; room for a query of 64 KiB in the request target
	defaultMaximumRecords = 10
	maxClients            = 1000 // number of clients whose result sets are kept
	maxSetsPerClient      = 8
	smallResponse         = 4 << 10 // bytes; a response for which no memory need be reserved
)

// schemas lists the record schemas by short name and identifier.
var schemas = [][2]string{{"dc", "info:srw/schema/1/dc-v1.1"}, {"marcxml", "info:srw/schema/1/marcxml-v1.1"}, {"mods", "info:srw/schema/1/mods-v3.3"}}

// Front serves SRU clients on one listener.
type Front struct {
	broker     front.Broker
	searcher   *front.Searcher
	options    operator.SRU
	listener   net.Listener
	httpServer *http.Server
	pacing     *pacing.Limiter
	memory     server.FrontMemory

	mu   sync.Mutex
	sets *resultset.Sets
}

// Listen opens a front's listener. An unknown query type or tenant is an error.
func Listen(b front.Broker, options operator.SRU) (*Front, error) {
	f := &Front{broker: b, options: options, pacing: pacing.NewLimiter(), memory: b.FrontMemory()}
	f.sets = resultset.New(resultset.Limits{
		Bytes:          f.memory.LimitResultSets(options.Bytes),
		SetsPerSession: maxSetsPerClient,
		Sessions:       maxClients,
		Age:            options.Age,
	})
	var err error
	if f.searcher, err = front.NewSearcher(b, "sru", options.Type, options.Tenant); err != nil {
		return nil, err
	}
	f.httpServer = &http.Server{Handler: f, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, WriteTimeout: f.searcher.Timeout + requestTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: trackState, ConnContext: withConn,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo)}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, err
	}
	f.listener = newListener(listener, options.Clients, b.Uptime, f.memory)
	return f, nil
}

// Addr returns the listener's address.
func (f *Front) Addr() net.Addr { return f.listener.Addr() }

// Serve accepts clients until ctx ends or Drain is called, then waits for the requests in flight.
func (f *Front) Serve(ctx context.Context) error {
	defer f.searcher.LogCounts("sru")
	stop := context.AfterFunc(ctx, func() { f.httpServer.Close() })
	defer stop()
	if err := f.httpServer.Serve(f.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("sru: %w", err)
	}
	wait, cancel := context.WithTimeout(ctx, f.searcher.Timeout+requestTimeout) // after Drain, waits for the requests in flight
	defer cancel()
	f.httpServer.Shutdown(wait)
	return nil
}

// Drain stops accepting connections. Requests in flight are still answered.
func (f *Front) Drain() { go f.httpServer.Shutdown(context.Background()) }

// ServeHTTP answers one explain or searchRetrieve request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := connOf(r)
	if byNodes := f.answer(w, r, conn); byNodes || conn == nil {
		return
	}
	now := time.Now()
	if wait := f.pacing.Answered(&conn.pace, now); wait > 0 {
		conn.pauseUntil(now.Add(wait))
	}
}

// answer answers a request, and reports whether nodes have been asked for it.
func (f *Front) answer(w http.ResponseWriter, r *http.Request, conn *clientConn) (byNodes bool) {
	if conn.ending() {
		w.Header().Set("Connection", "close")
	}
	if name := strings.Trim(r.URL.Path, "/"); name != "" && name != f.options.Database {
		http.Error(w, fmt.Sprintf("no database %.60q", name), http.StatusNotFound)
		return false
	}
	values, err := readParameters(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	q, diagnostic := sru.Parse(values)
	w.Header().Set("Content-Type", "text/xml; charset=utf-8")
	if q.Explain && diagnostic == nil {
		addr := f.listener.Addr().(*net.TCPAddr)
		host, _, err := net.SplitHostPort(r.Host)
		w.Write(sru.Explain(q.Version, cmp.Or(host, map[bool]string{true: r.Host}[err != nil]), addr.Port, f.options.Database, "Catalogue behind flaxfront", sru.Indexes(), schemas, f.options.Most))
		return false
	}
	response := &sru.Response{Version: q.Version, Query: q.QueryText, Escaped: q.Escaped}
	status := http.StatusOK
	if conn.overLimit() {
		status, diagnostic = http.StatusServiceUnavailable, sru.NewDiagnostic(2, "all connections are in use; try again")
	}
	if diagnostic == nil {
		status, diagnostic = f.search(w, r, &q, response)
		byNodes = diagnostic == nil
	}
	if status == 0 {
		return true // the client has gone
	}
	if diagnostic != nil {
		f.searcher.Counts.DiagnosticsSent.Add(1)
		response.Diagnostics = append(response.Diagnostics, diagnostic)
	}
	var memory membudget.Account
	memory.Open(f.memory.Answers, smallResponse)
	defer memory.Close()
	if !memory.TryGrow(response.Bytes()) {
		status, response = http.StatusServiceUnavailable, &sru.Response{Version: q.Version, Query: q.QueryText, Escaped: q.Escaped,
			Diagnostics: []*sru.Diagnostic{sru.NewDiagnostic(2, "no memory for the records; ask again later, or for fewer")}}
	}
	w.WriteHeader(status)
	w.Write(response.Append(nil))
	return byNodes
}

// readParameters returns the parameters of the request target, or of the form in a POST request's body.
func readParameters(r *http.Request) (url.Values, error) {
	switch r.Method {
	case http.MethodGet:
		return url.ParseQuery(r.URL.RawQuery)
	case http.MethodPost:
		b, err := io.ReadAll(io.LimitReader(r.Body, maxHeaderBytes+1))
		if err != nil || len(b) > maxHeaderBytes {
			return nil, fmt.Errorf("a form of more than %d bytes", maxHeaderBytes)
		}
		return url.ParseQuery(string(b))
	}
	return nil, fmt.Errorf("method %.20q", r.Method)
}

// clientID identifies a client by a hash of its user cookie, or else of its address. It is never 0.
func clientID(r *http.Request) uint64 {
	h := fnv.New64a()
	if c, err := r.Cookie("user"); err == nil && c.Value != "" {
		io.WriteString(h, c.Value)
	} else if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		io.WriteString(h, host)
	}
	return max(1, h.Sum64())
}
