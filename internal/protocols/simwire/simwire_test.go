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

// echo answers every search at once and keeps what it was told.
type echo struct{ seen []decision.Event }

func (e *echo) Step(now time.Duration, events []decision.Event, out []decision.Action) []decision.Action {
	e.seen = append(e.seen, events...)
	for _, ev := range events {
		if ev.Kind == decision.QueryReceived {
			out = append(out, decision.Action{Kind: decision.ShedQuery, ID: ev.ID, RetryAfter: time.Second},
				decision.Action{Kind: decision.LogMessage, Text: "shed"}, decision.Action{Kind: decision.SetTimer, TimerAt: now + time.Second})
		}
	}
	return out
}

func record(code byte, fields ...any) []byte {
	var b bytes.Buffer
	b.WriteByte(code)
	for _, f := range fields {
		binary.Write(&b, be, f)
	}
	return append(b.Bytes(), make([]byte, eventSize-b.Len())...)
}

func frame(clock uint64, tail string, records ...[]byte) []byte {
	all := bytes.Join(records, nil)
	b := be.AppendUint64(nil, clock)
	b = be.AppendUint32(b, uint32(4+len(all)+len(tail)))
	b = be.AppendUint32(b, uint32(len(records)))
	return append(append(b, all...), tail...)
}

func start() []byte {
	return frame(50, setup, record(evSelect, uint16(3)), record(evNew, uint64(9), uint32(0), uint32(len(setup))))
}

func search(id uint64) []byte {
	return record(evWorkItem, id, uint64(5e8), float32(2), uint8(0), uint64(0), uint16(0), float32(-1),
		uint8(2), uint64(0), float32(1))
}

func serve(input ...[]byte) ([]byte, []*echo, error) {
	var made []*echo
	var out bytes.Buffer
	err := NewHost(func(decision.Settings) decision.Router {
		made = append(made, &echo{})
		return made[len(made)-1]
	}).Serve(bytes.NewReader(bytes.Join(input, nil)), &out)
	return out.Bytes(), made, err
}

func TestServe(t *testing.T) {
	zero := strings.Repeat("\x00", 7)
	entry := "\x0a\x12\x4a\x07\x2b\xc3\x00\x00\x00\x00\x01\x02\x3f\x80\x00\x00" + zero + "\x28"
	out, made, err := serve(start(), frame(60, entry, record(evSelect, uint16(3)), record(evManifest,
		uint8(2), uint32(0), uint32(1)), record(evEndpoints, uint64(1), uint8(2), uint8(4)), search(77)))
	if err != nil || len(made) != 1 || len(made[0].seen) != 2 {
		t.Fatalf("%v, %d brokers", err, len(made))
	}
	e := made[0].seen[0].Endpoints[0]
	if e.Node.Port != 0x2bc3 || e.Cell != 1 || e.State != decision.Ready || e.StartedAt != -10 {
		t.Errorf("entry read as %+v", e)
	}
	if s := made[0].seen[1]; s.ID != 77 || s.RemainingTime != 500*time.Millisecond || !s.Retry {
		t.Errorf("search read as %+v", s)
	}
	reply := out[8:] // the first batch brings no action
	sizes := be.Uint32(reply) == 4 && int(be.Uint32(reply[4:])) == len(reply)-8
	if !sizes || !bytes.HasSuffix(reply, []byte("shed")) {
		t.Errorf("reply %x", reply)
	}
	if timer := reply[8+3*actionSize:]; timer[0] != acTimer || be.Uint64(timer[1:]) != 60+uint64(time.Second) {
		t.Errorf("timer %x", timer)
	}
}

// A broker killed and started in one batch knows nothing of what came before.
func TestKillAndStartInOneBatch(t *testing.T) {
	_, made, err := serve(start(), frame(70, setup, record(evSelect, uint16(3)), search(1), record(evKill),
		record(evNew, uint64(9), uint32(0), uint32(len(setup))), search(2)))
	if err != nil || len(made) != 2 || len(made[0].seen) != 0 || len(made[1].seen) != 1 {
		t.Fatalf("%v, %d brokers", err, len(made))
	}
}

func TestBadInputIsNamed(t *testing.T) {
	sel := record(evSelect, uint16(3))
	noSheet := record(evEndpoints, uint64(1), uint16(0x503))
	badOutcome := record(evResolved, uint64(1), uint8(0), uint16(0), uint64(1), uint16(300))
	for want, input := range map[string][]byte{
		"header cut short": start()[:7], "bytes came": start()[:60],
		"out of range":       {0, 0, 0, 0, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff},
		"do not fit":         {0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff},
		"unknown event code": frame(1, "", sel, record(99)), "before any Select": frame(1, "", search(1)),
		"not running":         frame(1, "", sel, search(1)),
		"outside the tail":    frame(1, "x", sel, record(evNew, uint64(1), uint32(1), uint32(9))),
		"has no '='":          frame(1, "x", sel, record(evNew, uint64(1), uint32(0), uint32(1))),
		"missing":             frame(1, "a=b", sel, record(evNew, uint64(1), uint32(0), uint32(3))),
		"sheet 5 was never":   append(start(), frame(60, "", sel, noSheet)...),
		"unknown outcome 300": append(start(), frame(60, "", sel, badOutcome)...),
		"ProbeDone":           append(start(), frame(60, "", sel, record(evProbeDone, uint32(1), uint16(0), uint64(1), uint16(300)))...),
	} {
		if _, _, err := serve(input); err == nil || !strings.Contains(err.Error(), want) {
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
	f.Add(start())
	f.Add(frame(math.MaxUint64, setup, record(evSelect, uint16(1)), search(1)))
	f.Fuzz(func(t *testing.T, data []byte) {
		h := NewHost(func(decision.Settings) decision.Router { return &echo{} })
		h.Serve(io.MultiReader(bytes.NewReader(start()), bytes.NewReader(data)), io.Discard)
	})
}
