// Package sru is the front for clients that speak SRU 1.1, 1.2 and 2.0: explain and searchRetrieve. Page one is always a fresh search;
// further pages come from the answer of the same client's page one, as long as it is kept. It owns the listener and what is kept.
// It must never give a page of another answer under the same result set, or call a partial answer whole.
//
// Depends on config/operator, decision/resultset, protocols/catalogue, protocols/front, protocols/sru, server.
// Concurrency: it starts no goroutine; what several goroutines may use is behind a lock or an atomic value.
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
	"flaxfront/internal/decision/resultset"
	"flaxfront/internal/protocols/front"
	"flaxfront/internal/protocols/sru"
)

const (
	headerTimeout         = 2500 * time.Millisecond
	requestTimeout        = 5 * time.Second
	idleTimeout           = 30 * time.Second
	maxHeaderBytes        = 80 << 10 // a query of 64 KiB in the target
	defaultMaximumRecords = 10
	maxClients            = 1000 // that sets are kept for
)

// schemas by short name and identifier.
var schemas = [][2]string{{"dc", "info:srw/schema/1/dc-v1.1"}, {"marcxml", "info:srw/schema/1/marcxml-v1.1"}, {"mods", "info:srw/schema/1/mods-v3.3"}}

// Front is a listener.
type Front struct {
	broker     front.Broker
	searcher   *front.Searcher
	options    operator.SRU
	listener   net.Listener
	httpServer *http.Server
	slots      chan struct{} // connections

	mu   sync.Mutex
	sets *resultset.Sets
}

// Listen opens a front; an unknown type or tenant is an error.
func Listen(b front.Broker, options operator.SRU) (*Front, error) {
	f := &Front{broker: b, options: options, slots: make(chan struct{}, options.Clients), sets: resultset.New(resultset.Limits{Bytes: options.Bytes, SetsPerSession: 8, Sessions: maxClients, Age: options.Age})}
	var err error
	if f.searcher, err = front.NewSearcher(b, "sru", options.Type, options.Tenant); err != nil {
		return nil, err
	}
	f.httpServer = &http.Server{Handler: f, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, WriteTimeout: f.searcher.Timeout + requestTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo)}
	f.listener, err = net.Listen("tcp", options.Listen)
	return f, err
}

// Addr is where it listens.
func (f *Front) Addr() net.Addr { return f.listener.Addr() }

// limitedListener lets in so many connections; others wait in the kernel.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

type limitedConn struct {
	net.Conn
	once  sync.Once
	close func()
}

func (b limitedListener) Accept() (net.Conn, error) {
	b.slots <- struct{}{}
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.slots
		return nil, err
	}
	return &limitedConn{Conn: c, close: func() { <-b.slots }}, nil
}

func (c *limitedConn) Close() error {
	c.once.Do(c.close)
	return c.Conn.Close()
}

// Serve takes clients until ctx ends or Drain is called.
func (f *Front) Serve(ctx context.Context) error {
	defer f.searcher.LogCounts("sru")
	stop := context.AfterFunc(ctx, func() { f.httpServer.Close() })
	defer stop()
	if err := f.httpServer.Serve(limitedListener{f.listener, f.slots}); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("sru: %w", err)
	}
	wait, cancel := context.WithTimeout(ctx, f.searcher.Timeout+requestTimeout) // Drain waits for what is in hand, and so does this
	defer cancel()
	f.httpServer.Shutdown(wait)
	return nil
}

// Drain takes no more connections and answers what was asked.
func (f *Front) Drain() { go f.httpServer.Shutdown(context.Background()) }

// ServeHTTP is the life of one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if name := strings.Trim(r.URL.Path, "/"); name != "" && name != f.options.Database {
		http.Error(w, fmt.Sprintf("no database %.60q", name), http.StatusNotFound)
		return
	}
	values, err := readParameters(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	q, diagnostic := sru.Parse(values)
	w.Header().Set("Content-Type", "text/xml; charset=utf-8")
	if q.Explain && diagnostic == nil {
		addr := f.listener.Addr().(*net.TCPAddr)
		host, _, err := net.SplitHostPort(r.Host)
		w.Write(sru.Explain(q.Version, cmp.Or(host, map[bool]string{true: r.Host}[err != nil]), addr.Port, f.options.Database, "Catalogue behind flaxfront", sru.Indexes(), schemas, f.options.Most))
		return
	}
	response := &sru.Response{Version: q.Version, Query: q.QueryText, Escaped: q.Escaped}
	status := http.StatusOK
	if diagnostic == nil {
		status, diagnostic = f.search(w, r, &q, response)
	}
	if status == 0 {
		return // its client has gone
	}
	if diagnostic != nil {
		f.searcher.Counts.DiagnosticsSent.Add(1)
		response.Diagnostics = append(response.Diagnostics, diagnostic)
	}
	w.WriteHeader(status)
	w.Write(response.Append(nil))
}

// readParameters are those of the target, or of a form that was sent.
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

// clientID names whoever asks: by a cookie, or where it comes from.
func clientID(r *http.Request) uint64 {
	h := fnv.New64a()
	if c, err := r.Cookie("user"); err == nil && c.Value != "" {
		io.WriteString(h, c.Value)
	} else if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		io.WriteString(h, host)
	}
	return max(1, h.Sum64())
}
