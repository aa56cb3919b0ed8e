package simwire

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
)

const setup = "classes.count=1\nclasses.0.aimNs=1000000000\nclasses.0.deadlineNs=2000000000\n" +
	"classes.0.effect=read_like\ndomain.cells=2\ndomain.width=1\npermissions.maxAttempts=3\nnot.known=1\n"

// sheddingRouter sheds every query at once and records the events that it received.
type sheddingRouter struct{ received []decision.Event }

func (e *sheddingRouter) Step(now time.Duration, events []decision.Event, out []decision.Action) []decision.Action {
	e.received = append(e.received, events...)
	for _, ev := range events {
		if ev.Kind == decision.QueryReceived {
			out = append(out, decision.Action{Kind: decision.ShedQuery, ID: ev.ID, RetryAfter: time.Second},
				decision.Action{Kind: decision.LogMessage, Text: "shed"}, decision.Action{Kind: decision.SetTimer, TimerAt: now + time.Second})
		}
	}
	return out
}

func eventRecord(code byte, fields ...any) []byte {
	var b bytes.Buffer
	b.WriteByte(code)
	for _, f := range fields {
		binary.Write(&b, be, f)
	}
	return append(b.Bytes(), make([]byte, eventSize-b.Len())...)
}

func batchFrame(clock uint64, tail string, records ...[]byte) []byte {
	all := bytes.Join(records, nil)
	b := be.AppendUint64(nil, clock)
	b = be.AppendUint32(b, uint32(4+len(all)+len(tail)))
	b = be.AppendUint32(b, uint32(len(records)))
	return append(append(b, all...), tail...)
}

func startFrame() []byte {
	return batchFrame(50, setup, eventRecord(evSelect, uint16(3)), eventRecord(evNew, uint64(9), uint32(0), uint32(len(setup))))
}

func queryRecord(id uint64) []byte {
	return eventRecord(evWorkItem, id, uint64(5e8), float32(2), uint8(0), uint64(0), uint16(0), float32(-1),
		uint8(2), uint64(0), float32(1))
}

func serveInput(input ...[]byte) ([]byte, []*sheddingRouter, error) {
	var routers []*sheddingRouter
	var out bytes.Buffer
	err := NewHost(func(decision.Settings) decision.Router {
		routers = append(routers, &sheddingRouter{})
		return routers[len(routers)-1]
	}).Serve(bytes.NewReader(bytes.Join(input, nil)), &out)
	return out.Bytes(), routers, err
}

func TestServe(t *testing.T) {
	zero := strings.Repeat("\x00", 7)
	entry := "\x0a\x12\x4a\x07\x2b\xc3\x00\x00\x00\x00\x01\x02\x3f\x80\x00\x00" + zero + "\x28"
	out, routers, err := serveInput(startFrame(), batchFrame(60, entry, eventRecord(evSelect, uint16(3)), eventRecord(evManifest,
		uint8(2), uint32(0), uint32(1)), eventRecord(evEndpoints, uint64(1), uint8(2), uint8(4)), queryRecord(77)))
	if err != nil || len(routers) != 1 || len(routers[0].received) != 2 {
		t.Fatalf("%v, %d brokers", err, len(routers))
	}
	e := routers[0].received[0].Endpoints[0]
	if e.Node.Port != 0x2bc3 || e.Cell != 1 || e.State != decision.Ready || e.StartedAt != -10 {
		t.Errorf("endpoint list entry decoded as %+v", e)
	}
	if s := routers[0].received[1]; s.ID != 77 || s.RemainingTime != 500*time.Millisecond || !s.Retry {
		t.Errorf("query decoded as %+v", s)
	}
	reply := out[8:] // the reply to the first batch has a header only, without actions
	sizes := be.Uint32(reply) == 4 && int(be.Uint32(reply[4:])) == len(reply)-8
	if !sizes || !bytes.HasSuffix(reply, []byte("shed")) {
		t.Errorf("reply %x", reply)
	}
	if timer := reply[8+3*actionSize:]; timer[0] != acTimer || be.Uint64(timer[1:]) != 60+uint64(time.Second) {
		t.Errorf("timer %x", timer)
	}
}

// A broker that is killed and started again in one batch receives none of the events that precede the kill.
func TestKillAndStartInOneBatch(t *testing.T) {
	_, routers, err := serveInput(startFrame(), batchFrame(70, setup, eventRecord(evSelect, uint16(3)), queryRecord(1), eventRecord(evKill),
		eventRecord(evNew, uint64(9), uint32(0), uint32(len(setup))), queryRecord(2)))
	if err != nil || len(routers) != 2 || len(routers[0].received) != 0 || len(routers[1].received) != 1 {
		t.Fatalf("%v, %d brokers", err, len(routers))
	}
}

func TestInvalidInputErrors(t *testing.T) {
	sel := eventRecord(evSelect, uint16(3))
	noSheet := eventRecord(evEndpoints, uint64(1), uint16(0x503))
	badOutcome := eventRecord(evResolved, uint64(1), uint8(0), uint16(0), uint64(1), uint16(300))
	for want, input := range map[string][]byte{
		"header cut short": startFrame()[:7], "got 48 of 286 bytes": startFrame()[:60],
		"out of range":       {0, 0, 0, 0, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff},
		"do not fit":         {0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff},
		"unknown event code": batchFrame(1, "", sel, eventRecord(99)), "before any Select": batchFrame(1, "", queryRecord(1)),
		"not running":      batchFrame(1, "", sel, queryRecord(1)),
		"outside the tail": batchFrame(1, "x", sel, eventRecord(evNew, uint64(1), uint32(1), uint32(9))),
		"settings: line \"x\" is not of the form path=value": batchFrame(1, "x", sel, eventRecord(evNew, uint64(1), uint32(0), uint32(1))),
		"missing":                          batchFrame(1, "a=b", sel, eventRecord(evNew, uint64(1), uint32(0), uint32(3))),
		"no Manifest received for sheet 5": append(startFrame(), batchFrame(60, "", sel, noSheet)...),
		"unknown outcome 300":              append(startFrame(), batchFrame(60, "", sel, badOutcome)...),
		"ProbeDone":                        append(startFrame(), batchFrame(60, "", sel, eventRecord(evProbeDone, uint32(1), uint16(0), uint64(1), uint16(300)))...),
	} {
		if _, _, err := serveInput(input); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
	for _, bad := range []string{"classes.0.effect=often", "classes.count=-1", "classes.count=999",
		"domain.width=7", "classes.0.aimNs=soon", "registryMode=maybe", "permissions.cancel=si",
		"domain.classFloor=1,2"} {
		key, _, _ := strings.Cut(bad, "=")
		if _, err := terms.FromText(setup+bad, 1); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: got %v", bad, err)
		}
	}
}

func FuzzServe(f *testing.F) {
	f.Add(startFrame())
	f.Add(batchFrame(math.MaxUint64, setup, eventRecord(evSelect, uint16(1)), queryRecord(1)))
	f.Fuzz(func(t *testing.T, data []byte) {
		h := NewHost(func(decision.Settings) decision.Router { return &sheddingRouter{} })
		h.Serve(io.MultiReader(bytes.NewReader(startFrame()), bytes.NewReader(data)), io.Discard)
	})
}
