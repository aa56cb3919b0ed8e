package back

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/protocols/ber"
	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/z3950"
)

// The outcome of an attempt for each way in which a node can fail: it did not run, it may have run, or the node rejected it. The
// architecture page has the same table.
func TestAttemptOutcomes(t *testing.T) {
	record := z3950.Record{Syntax: z3950.XML, Body: []byte("<r/>")}
	good := func(m z3950.Message) []byte {
		if _, is := m.(*z3950.SearchRequest); is {
			return z3950.Encode(&z3950.SearchResponse{Common: commonOf(m), Count: 5, OK: true})
		}
		p := m.(*z3950.PresentRequest)
		return z3950.Encode(&z3950.PresentResponse{Common: p.Common, Returned: 2, Records: z3950.Records{All: []z3950.Record{record, record}[:min(2, p.Want)]}})
	}
	for name, c := range map[string]struct {
		want   decision.Outcome
		answer func(n int, m z3950.Message) []byte
	}{
		"served": {decision.OK, func(n int, m z3950.Message) []byte { return good(m) }},
		"busy": {decision.Rejected, func(n int, m z3950.Message) []byte {
			return z3950.Encode(&z3950.SearchResponse{Common: commonOf(m), Records: z3950.Records{Fault: &z3950.Fault{Code: 2}}})
		}},
		"a diagnostic": {decision.Errored, func(n int, m z3950.Message) []byte {
			return z3950.Encode(&z3950.SearchResponse{Common: commonOf(m), Records: z3950.Records{Fault: &z3950.Fault{Code: 114}}})
		}},
		"a subset": {decision.Errored, func(n int, m z3950.Message) []byte {
			return z3950.Encode(&z3950.SearchResponse{Common: commonOf(m), Count: 3, ResultSetStatus: z3950.Subset, Records: z3950.Records{Fault: &z3950.Fault{Code: 2}}})
		}},
		"another reference": {decision.ConnectionReset, func(n int, m z3950.Message) []byte {
			return z3950.Encode(&z3950.SearchResponse{Common: z3950.Common{ReferenceID: []byte("99")}, Count: 3, OK: true})
		}},
		"another message": {decision.ConnectionReset, func(n int, m z3950.Message) []byte { return z3950.Encode(&z3950.DeleteResponse{}) }},
		"a response without its count": {decision.ConnectionReset, func(n int, m z3950.Message) []byte {
			return encodeResponse(23, m, func(w *ber.Writer) {
				w.Int(24, 0)
				w.Int(25, 1)
				w.Bool(22, true)
			})
		}},
		"a record without its body": {decision.ConnectionReset, func(n int, m z3950.Message) []byte {
			if _, is := m.(*z3950.SearchRequest); is {
				return good(m)
			}
			return encodeResponse(25, m, func(w *ber.Writer) {
				w.Int(24, 1)
				w.Int(25, 2)
				w.Int(27, 0)
				w.Constructed(ber.Context, 28, func(w *ber.Writer) {
					w.Constructed(ber.Universal, ber.TagSequence, func(w *ber.Writer) { w.Text(0, "d") })
				})
			})
		}},
		"noise":   {decision.ConnectionReset, func(n int, m z3950.Message) []byte { return []byte("noise noise noise") }},
		"a close": {decision.ConnectionReset, func(n int, m z3950.Message) []byte { return z3950.Encode(&z3950.Close{Reason: 1}) }},
		"dead between search and present": {decision.ConnectionReset, func(n int, m z3950.Message) []byte {
			if n == 2 {
				return nil
			}
			return good(m)
		}},
		"more records than asked": {decision.ConnectionReset, func(n int, m z3950.Message) []byte {
			if n == 1 {
				return good(m)
			}
			return z3950.Encode(&z3950.PresentResponse{Common: commonOf(m), Records: z3950.Records{All: []z3950.Record{record, record, record, record}}})
		}},
		"records of another syntax": {decision.Errored, func(n int, m z3950.Message) []byte {
			if n == 1 {
				return good(m)
			}
			text := z3950.Record{Syntax: z3950.SUTRS, Body: []byte("text")}
			return z3950.Encode(&z3950.PresentResponse{Common: commonOf(m), Records: z3950.Records{All: []z3950.Record{text}}})
		}},
		"an empty page": {decision.Errored, func(n int, m z3950.Message) []byte {
			if n == 1 {
				return good(m)
			}
			return z3950.Encode(&z3950.PresentResponse{Common: commonOf(m)})
		}},
		"silence": {decision.TimedOut, func(n int, m z3950.Message) []byte {
			time.Sleep(2 * time.Second)
			return nil
		}},
		"not accepted": {decision.ConnectFailed, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := startScriptedNode(t, func(n int, m z3950.Message) []byte {
				if n == 0 && c.answer == nil {
					return z3950.Encode(&z3950.InitResponse{})
				}
				if n == 0 {
					return acceptInit(m)
				}
				return c.answer(n, m)
			})
			how, value := runAttempt(t, addr, 0)
			if how != c.want {
				t.Errorf("outcome %v, want %v", how, c.want)
			}
			if hits, records, err := catalogue.ParseValue(value); c.want == decision.OK && (err != nil || hits != 5 || len(records) != 3) {
				t.Errorf("%q", value)
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		if how, _ := runAttempt(t, netip.MustParseAddrPort("127.0.0.1:1"), 0); how != decision.ConnectFailed {
			t.Errorf("%v", how)
		}
	})
	t.Run("cancelled", func(t *testing.T) {
		addr := startScriptedNode(t, func(n int, m z3950.Message) []byte {
			if n == 0 {
				return acceptInit(m)
			}
			time.Sleep(time.Second)
			return nil
		})
		if how, _ := runAttempt(t, addr, 50*time.Millisecond); how != decision.Cancelled {
			t.Errorf("%v", how)
		}
	})
}

// TryWrite decodes the frames that the pool writes, returns 0 when the queue is full, and fails on bytes that are not a frame.
func TestTryWrite(t *testing.T) {
	c := &conn{attempts: newAttemptQueue()}
	frame := func(text string) []byte {
		return append(binary.LittleEndian.AppendUint32(nil, uint32(len(text))), text...)
	}
	if n, err := c.TryWrite(frame("qa.1 1 d=50 3\nabca.2 2 d=60 0\n")); n == 0 || err != nil {
		t.Fatal(n, err)
	}
	if p, _ := c.attempts.next(); p != (attempt{"a.1", 1, 50 * time.Millisecond, "abc"}) {
		t.Errorf("%+v", p)
	}
	if p, _ := c.attempts.next(); p != (attempt{"a.2", 2, 60 * time.Millisecond, ""}) {
		t.Errorf("%+v", p)
	}
	for i := range maxQueuedAttempts {
		c.TryWrite(frame(fmt.Sprintf("qa.%d 1 d=50 0\n", i+100)))
	}
	if n, err := c.TryWrite(frame("qa.3 1 d=50 0\n")); n != 0 || err != nil {
		t.Errorf("a full queue accepted %d bytes, error %v", n, err)
	}
	for range 2 * maxQueuedAttempts {
		c.TryWrite(frame("ca.1")) // too late, many times over
	}
	c.TryWrite(frame("ca.100"))
	if p, ok := c.attempts.next(); !ok || p.id != "a.101" {
		t.Errorf("the first attempt after the cancelled one is %+v, %v", p, ok)
	}
	if ids := c.Withdraw(); len(ids) != maxQueuedAttempts-2 || ids[0] != "a.102" {
		t.Errorf("%d attempts were withdrawn: %v", len(ids), ids)
	}
	if p, ok := c.attempts.next(); ok {
		t.Errorf("%+v is left", p)
	}
	for _, bad := range [][]byte{nil, {1, 2, 3}, frame("qx\n"), frame("qa 1 d=5 99\nx"), frame("qa b d=5 0\n")} {
		if _, err := c.TryWrite(bad); !errors.Is(err, errProtocol) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}
