package link

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protowire"

	"flaxfront/internal/transport/keys"
)

// What a forwarded search and its verdict cost in three encodings: time both ways, and bytes.
func BenchmarkEncoding(b *testing.B) {
	a := ask(7)
	v := Verdict{ID: 7, Whole: true, Pieces: []Piece{{Shard: 1, Value: strings.Repeat("v", 200)}, {Shard: 3, Value: strings.Repeat("w", 200)}}}
	for name, way := range map[string]struct {
		out func(v any) []byte
		in  func(b []byte, v any) error
	}{
		"cbor": {func(v any) []byte { b, _ := encoding.Marshal(v); return b }, decoding.Unmarshal},
		"json": {func(v any) []byte { b, _ := json.Marshal(v); return b }, json.Unmarshal},
		"protobuf": {func(v any) []byte {
			if a, ok := v.(Ask); ok {
				return protoAsk(a)
			}
			return protoVerdict(v.(Verdict))
		}, func(b []byte, v any) error {
			if a, ok := v.(*Ask); ok {
				return unprotoAsk(b, a)
			}
			return unprotoVerdict(b, v.(*Verdict))
		}},
	} {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				one, two := way.out(a), way.out(v)
				var ga Ask
				var gv Verdict
				if way.in(one, &ga) != nil || way.in(two, &gv) != nil || ga.Parts[1].Shard != 3 || gv.Pieces[1].Shard != 3 {
					b.Fatal("not the same")
				}
				size = len(one) + len(two)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

func protoAsk(a Ask) (b []byte) {
	b = protowire.AppendVarint(protowire.AppendTag(b, 1, protowire.VarintType), a.ID)
	b = protowire.AppendVarint(protowire.AppendTag(b, 2, protowire.VarintType), uint64(a.Left))
	for i, s := range []string{a.Type, a.Tenant, a.Request, a.Text} {
		b = protowire.AppendString(protowire.AppendTag(b, protowire.Number(3+i), protowire.BytesType), s)
	}
	for _, p := range a.Parts {
		var in []byte
		in = protowire.AppendVarint(protowire.AppendTag(in, 1, protowire.VarintType), uint64(p.Shard))
		in = protowire.AppendFixed64(protowire.AppendTag(in, 2, protowire.Fixed64Type), math.Float64bits(p.Weight))
		b = protowire.AppendBytes(protowire.AppendTag(b, 7, protowire.BytesType), in)
	}
	return b
}

func protoVerdict(v Verdict) (b []byte) {
	b = protowire.AppendVarint(protowire.AppendTag(b, 1, protowire.VarintType), v.ID)
	b = protowire.AppendVarint(protowire.AppendTag(b, 2, protowire.VarintType), protowire.EncodeBool(v.Whole))
	for _, p := range v.Pieces {
		var in []byte
		in = protowire.AppendVarint(protowire.AppendTag(in, 1, protowire.VarintType), uint64(p.Shard))
		in = protowire.AppendString(protowire.AppendTag(in, 2, protowire.BytesType), p.Value)
		b = protowire.AppendBytes(protowire.AppendTag(b, 3, protowire.BytesType), in)
	}
	return b
}

// fields calls for each field of a message.
func fields(b []byte, field func(n protowire.Number, number uint64, text []byte)) error {
	for len(b) > 0 {
		n, kind, size := protowire.ConsumeTag(b)
		if size < 0 {
			return protowire.ParseError(size)
		}
		b = b[size:]
		var number uint64
		var text []byte
		switch kind {
		case protowire.VarintType:
			number, size = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			number, size = protowire.ConsumeFixed64(b)
		default:
			text, size = protowire.ConsumeBytes(b)
		}
		if size < 0 {
			return protowire.ParseError(size)
		}
		b = b[size:]
		field(n, number, text)
	}
	return nil
}

func unprotoAsk(b []byte, a *Ask) error {
	return fields(b, func(n protowire.Number, number uint64, text []byte) {
		switch n {
		case 1:
			a.ID = number
		case 2:
			a.Left = int64(number)
		case 3:
			a.Type = string(text)
		case 4:
			a.Tenant = string(text)
		case 5:
			a.Request = string(text)
		case 6:
			a.Text = string(text)
		case 7:
			var p Part
			fields(text, func(n protowire.Number, number uint64, _ []byte) {
				if n == 1 {
					p.Shard = int(number)
				} else {
					p.Weight = math.Float64frombits(number)
				}
			})
			a.Parts = append(a.Parts, p)
		}
	})
}

func unprotoVerdict(b []byte, v *Verdict) error {
	return fields(b, func(n protowire.Number, number uint64, text []byte) {
		switch n {
		case 1:
			v.ID = number
		case 2:
			v.Whole = number == 1
		case 3:
			var p Piece
			fields(text, func(n protowire.Number, number uint64, text []byte) {
				if n == 1 {
					p.Shard = int(number)
				} else {
					p.Value = string(text)
				}
			})
			v.Pieces = append(v.Pieces, p)
		}
	})
}

// One search there and back over loopback, 64 at once over one connection, with the same certificates and encoding: this
// package's link, HTTP/2 of the standard library, QUIC of the registry with a stream for each search.
func BenchmarkExchange(b *testing.B) {
	ca := filepath.Join(b.TempDir(), "ca")
	here, there := ring(b, ca, "site-a"), ring(b, ca, "site-b")
	any := func(keys.ID) error { return nil }
	answer := Verdict{ID: 7, Whole: true, Pieces: []Piece{{Shard: 1, Value: strings.Repeat("v", 200)}, {Shard: 3, Value: strings.Repeat("w", 200)}}}
	answered, _ := encoding.Marshal(answer)
	asked, _ := encoding.Marshal(ask(7))

	b.Run("link", func(b *testing.B) {
		near, far, _ := sides(b, both, both)
		c := near.until(b, "up", isUp).Conn
		go func() {
			for e := range far.events {
				if e.Ask != nil {
					v := answer
					v.ID = e.Ask.ID
					e.Conn.Verdict(v)
				}
			}
		}()
		waiting, mu, next := map[uint64]chan struct{}{}, sync.Mutex{}, uint64(0)
		go func() {
			for e := range near.events {
				if e.Verdict != nil {
					mu.Lock()
					close(waiting[e.Verdict.ID])
					delete(waiting, e.Verdict.ID)
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
				a := ask(next)
				waiting[next] = done
				mu.Unlock()
				if !c.Ask(a) {
					b.Error("no room")
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
