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
	headWithin  = 2500 * time.Millisecond
	wholeWithin = 5 * time.Second
	idleWithin  = 30 * time.Second
	maxHead     = 80 << 10 // a query of 64 KiB in the target
	usualMost   = 10
	clients     = 1000 // that sets are kept for
)

// schemas by short name and identifier.
var schemas = [][2]string{{"dc", "info:srw/schema/1/dc-v1.1"}, {"marcxml", "info:srw/schema/1/marcxml-v1.1"}, {"mods", "info:srw/schema/1/mods-v3.3"}}

// Front is a listener.
type Front struct {
	broker front.Broker
	ask    *front.Asker
	o      operator.SRU
	ln     net.Listener
	srv    *http.Server
	places chan struct{} // connections

	mu   sync.Mutex
	sets *resultset.Sets
}

// Listen opens a front; an unknown type or tenant is an error.
func Listen(b front.Broker, o operator.SRU) (*Front, error) {
	f := &Front{broker: b, o: o, places: make(chan struct{}, o.Clients), sets: resultset.New(resultset.Limits{Bytes: o.Bytes, SetsPerSession: 8, Sessions: clients, Age: o.Age})}
	var err error
	if f.ask, err = front.NewAsker(b, "sru", o.Type, o.Tenant); err != nil {
		return nil, err
	}
	f.srv = &http.Server{Handler: f, ReadHeaderTimeout: headWithin, ReadTimeout: wholeWithin, WriteTimeout: f.ask.Timeout + wholeWithin,
		IdleTimeout: idleWithin, MaxHeaderBytes: maxHead, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo)}
	f.ln, err = net.Listen("tcp", o.Listen)
	return f, err
}

// Addr is where it listens.
func (f *Front) Addr() net.Addr { return f.ln.Addr() }

// bounded lets in so many connections; others wait in the kernel.
type bounded struct {
	net.Listener
	places chan struct{}
}

type counted struct {
	net.Conn
	once  sync.Once
	close func()
}

func (b bounded) Accept() (net.Conn, error) {
	b.places <- struct{}{}
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.places
		return nil, err
	}
	return &counted{Conn: c, close: func() { <-b.places }}, nil
}

func (c *counted) Close() error {
	c.once.Do(c.close)
	return c.Conn.Close()
}

// Serve takes clients until ctx ends or Drain is called.
func (f *Front) Serve(ctx context.Context) error {
	defer f.ask.Log("sru")
	stop := context.AfterFunc(ctx, func() { f.srv.Close() })
	defer stop()
	if err := f.srv.Serve(bounded{f.ln, f.places}); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("sru: %w", err)
	}
	wait, cancel := context.WithTimeout(ctx, f.ask.Timeout+wholeWithin) // Drain waits for what is in hand, and so does this
	defer cancel()
	f.srv.Shutdown(wait)
	return nil
}

// Drain takes no more connections and answers what was asked.
func (f *Front) Drain() { go f.srv.Shutdown(context.Background()) }

// ServeHTTP is the life of one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if name := strings.Trim(r.URL.Path, "/"); name != "" && name != f.o.Database {
		http.Error(w, fmt.Sprintf("no database %.60q", name), http.StatusNotFound)
		return
	}
	values, err := parameters(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	q, fault := sru.Parse(values)
	w.Header().Set("Content-Type", "text/xml; charset=utf-8")
	if q.Explain && fault == nil {
		at := f.ln.Addr().(*net.TCPAddr)
		host, _, err := net.SplitHostPort(r.Host)
		w.Write(sru.Explain(q.Version, cmp.Or(host, map[bool]string{true: r.Host}[err != nil]), at.Port, f.o.Database, "Catalogue behind flaxfront", sru.Indexes(), schemas, f.o.Most))
		return
	}
	out := &sru.Response{Version: q.Version, Query: q.Text, Escaped: q.Escaped}
	status := http.StatusOK
	if fault == nil {
		status, fault = f.search(w, r, &q, out)
	}
	if status == 0 {
		return // its client has gone
	}
	if fault != nil {
		f.ask.Counts.Faults.Add(1)
		out.Diagnostics = append(out.Diagnostics, fault)
	}
	w.WriteHeader(status)
	w.Write(out.Append(nil))
}

// parameters are those of the target, or of a form that was sent.
func parameters(r *http.Request) (url.Values, error) {
	switch r.Method {
	case http.MethodGet:
		return url.ParseQuery(r.URL.RawQuery)
	case http.MethodPost:
		b, err := io.ReadAll(io.LimitReader(r.Body, maxHead+1))
		if err != nil || len(b) > maxHead {
			return nil, fmt.Errorf("a form of more than %d bytes", maxHead)
		}
		return url.ParseQuery(string(b))
	}
	return nil, fmt.Errorf("method %.20q", r.Method)
}

// clientOf names whoever asks: by a cookie, or where it comes from.
func clientOf(r *http.Request) uint64 {
	h := fnv.New64a()
	if c, err := r.Cookie("user"); err == nil && c.Value != "" {
		io.WriteString(h, c.Value)
	} else if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		io.WriteString(h, host)
	}
	return max(1, h.Sum64())
}
