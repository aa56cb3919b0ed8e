package link

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"flaxfront/internal/transport/keys"
)

// BenchmarkEncoding measures a forwarded query and its reply in three encodings: the time to encode and decode them, and their bytes.
func BenchmarkEncoding(b *testing.B) {
	a := query(7)
	v := Reply{ID: 7, IsComplete: true, ShardAnswers: []ShardAnswer{{Shard: 1, Value: strings.Repeat("v", 200)}, {Shard: 3, Value: strings.Repeat("w", 200)}}}
	for name, codec := range map[string]struct {
		out func(v any) []byte
		in  func(b []byte, v any) error
	}{
		"cbor": {func(v any) []byte { b, _ := encMode.Marshal(v); return b }, decMode.Unmarshal},
		"json": {func(v any) []byte { b, _ := json.Marshal(v); return b }, json.Unmarshal},
		"protobuf": {func(v any) []byte {
			if a, ok := v.(Query); ok {
				return appendProtoQuery(a)
			}
			return appendProtoReply(v.(Reply))
		}, func(b []byte, v any) error {
			if a, ok := v.(*Query); ok {
				return parseProtoQuery(b, a)
			}
			return parseProtoReply(b, v.(*Reply))
		}},
	} {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				queryBytes, replyBytes := codec.out(a), codec.out(v)
				var ga Query
				var gv Reply
				if codec.in(queryBytes, &ga) != nil || codec.in(replyBytes, &gv) != nil || ga.ShardRequests[1].Shard != 3 || gv.ShardAnswers[1].Shard != 3 {
					b.Fatal("decoded messages differ from the encoded ones")
				}
				size = len(queryBytes) + len(replyBytes)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkExchange measures the exchange of one query and its reply over loopback, with many at once over one connection, and the same
// certificates and encoding: over this package's link, HTTP/2 of the standard library, and QUIC with one stream for each query.
func BenchmarkExchange(b *testing.B) {
	ca := filepath.Join(b.TempDir(), "ca")
	here, there := newKeyring(b, ca, "site-a"), newKeyring(b, ca, "site-b")
	any := func(keys.ID) error { return nil }
	answer := Reply{ID: 7, IsComplete: true, ShardAnswers: []ShardAnswer{{Shard: 1, Value: strings.Repeat("v", 200)}, {Shard: 3, Value: strings.Repeat("w", 200)}}}
	answered, _ := encMode.Marshal(answer)
	asked, _ := encMode.Marshal(query(7))

	b.Run("link", func(b *testing.B) {
		near, far, _ := connectedSides(b, allVersions, allVersions)
		c := near.waitFor(b, "up", isUp).Conn
		go func() {
			for e := range far.events {
				if e.Query != nil {
					v := answer
					v.ID = e.Query.ID
					e.Conn.Reply(v)
				}
			}
		}()
		waiting, mu, next := map[uint64]chan struct{}{}, sync.Mutex{}, uint64(0)
		go func() {
			for e := range near.events {
				if e.Reply != nil {
					mu.Lock()
					close(waiting[e.Reply.ID])
					delete(waiting, e.Reply.ID)
					mu.Unlock()
				}
			}
		}()
		b.SetParallelism(8)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				done := make(chan struct{})
				mu.Lock()
				next++
				a := query(next)
				waiting[next] = done
				mu.Unlock()
				if !c.Query(a) {
					b.Error("query not queued")
					return
				}
				<-done
			}
		})
	})

	b.Run("http2", func(b *testing.B) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		srv := &http.Server{TLSConfig: there.Server(any), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			w.Write(answered)
		})}
		srv.Protocols = new(http.Protocols)
		srv.Protocols.SetHTTP2(true)
		go srv.ServeTLS(ln, "", "")
		defer srv.Close()
		tr := &http.Transport{TLSClientConfig: here.Client(any), ForceAttemptHTTP2: true}
		client := &http.Client{Transport: tr}
		defer tr.CloseIdleConnections()
		b.SetParallelism(8)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				r, err := client.Post("https://"+ln.Addr().String()+"/", "application/cbor", bytes.NewReader(asked))
				if err != nil {
					b.Error(err)
					return
				}
				io.Copy(io.Discard, r.Body)
				r.Body.Close()
				if r.ProtoMajor != 2 {
					b.Error(r.Proto)
				}
			}
		})
	})

	b.Run("quic", func(b *testing.B) {
		proto := func(c *tls.Config) *tls.Config { c.NextProtos = []string{"flax"}; return c }
		limits := &quic.Config{MaxIncomingStreams: 1000, MaxIdleTimeout: time.Minute}
		ln, err := quic.ListenAddr("127.0.0.1:0", proto(there.Server(any)), limits)
		if err != nil {
			b.Fatal(err)
		}
		defer ln.Close()
		go func() {
			conn, err := ln.Accept(context.Background())
			for err == nil {
				stream, e := conn.AcceptStream(context.Background())
				if err = e; err != nil {
					return
				}
				go func() {
					io.Copy(io.Discard, stream)
					stream.Write(answered)
					stream.Close()
				}()
			}
		}()
		conn, err := quic.DialAddr(context.Background(), ln.Addr().String(), proto(here.Client(any)), limits)
		if err != nil {
			b.Fatal(err)
		}
		defer conn.CloseWithError(0, "")
		b.SetParallelism(8)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				stream, err := conn.OpenStreamSync(context.Background())
				if err != nil {
					b.Error(err)
					return
				}
				stream.Write(asked)
				stream.Close()
				if n, err := io.Copy(io.Discard, stream); err != nil || n != int64(len(answered)) {
					b.Error(fmt.Sprint(n, err))
					return
				}
			}
		})
	})
}
