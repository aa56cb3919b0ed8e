package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/transport/httpwire"
)

var brokerStart = time.UnixMilli(1_000_000)

func testReader() Reader {
	return Reader{Zones: []string{"a", "b"}, CellCount: 3, StartedAt: brokerStart}
}

func listJSON(version int, full bool, instances ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, version, full, strings.Join(instances, ","))
}

func instanceJSON(name, addr, state string, started int) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"b","machineType":"m","cell":2,"lifecycle":%q,`+
		`"weight":1.0,"startedAtMs":%d}`, name, addr, state, started)
}

func TestDecode(t *testing.T) {
	rd := testReader()
	got, err := rd.Decode([]byte(listJSON(41, true, instanceJSON("s-1", "10.0.0.1:80", "in_service", 0),
		instanceJSON("s-2", "10.0.0.2:80", "terminating", 1_002_500), instanceJSON("s-3", "", "terminated", 0))))
	if err != nil || got.Version != 41 || !got.Full || len(got.Nodes) != 3 {
		t.Fatalf("%v, %+v", err, got)
	}
	n := got.Nodes[0]
	want := decision.Endpoint{Node: IDOfName("s-1"), Cell: 2, Zone: 1, State: decision.Ready, StartedAt: decision.StartedLongAgo}
	if n.Endpoint != want || n.Address != netip.MustParseAddrPort("10.0.0.1:80") {
		t.Errorf("decoded as %+v", n)
	}
	if e := got.Nodes[1].Endpoint; e.State != decision.Draining || e.StartedAt != 2500*time.Millisecond {
		t.Errorf("decoded as %+v", e)
	}
	// One invalid entry invalidates the list, as an incomplete list may hide a drain.
	for _, bad := range []string{"", "[]", `{"instances":[]}`, listJSON(1, true, instanceJSON("s-1", "here", "in_service", 0)),
		listJSON(1, true, instanceJSON("", "10.0.0.1:80", "in_service", 0)), listJSON(1, true, instanceJSON("s-1", "10.0.0.1:80", "asleep", 0)),
		listJSON(1, true, instanceJSON("s-1", "10.0.0.1:80", "in_service", -1)), listJSON(1, true, strings.Replace(
			instanceJSON("s-1", "10.0.0.1:80", "in_service", 0), `"cell":2`, `"cell":3`, 1))} {
		got, err := rd.Decode([]byte(bad))
		if !errors.As(err, new(*ListError)) {
			t.Errorf("%.60q decoded as %+v, %v", bad, got, err)
		}
	}
}

// Ids derive from names: brokers may see a node at different addresses, but must refer to it by the same id.
func TestIDOfName(t *testing.T) {
	seen := map[decision.NodeID]string{}
	for _, name := range []string{"s-5be2a07c", "s-5be2a07d", "t-5be2a07c", "s", "node one", "node two"} {
		if other, twice := seen[IDOfName(name)]; twice {
			t.Errorf("%s and %s share an id", name, other)
		}
		seen[IDOfName(name)] = name
	}
	if text := IDOfName("s-5be2a07c").String(); !strings.HasPrefix(text, "5be2a07c/") {
		t.Errorf("id of s-5be2a07c logged as %s", text)
	}
}

// An indented list decodes like a compact one, and may be as long.
func TestIndentedList(t *testing.T) {
	var lines []string
	for i := range 200 {
		lines = append(lines, instanceJSON(fmt.Sprintf("s-%08x", i), "10.0.0.1:80", "terminating", 1_002_500))
	}
	plain := listJSON(41, true, lines...)
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(plain), "", "  "); err != nil {
		t.Fatal(err)
	}
	rd := testReader()
	want, err := rd.Decode([]byte(plain))
	if err != nil {
		t.Fatal(err)
	}
	for _, raw := range []string{indented.String(), "\n\t" + strings.ReplaceAll(indented.String(), "\n", "\r\n\t") + "\n"} {
		m, err := httpwire.ReadResponse(httpwire.NewReader(bytes.NewReader(httpwire.AppendResponse(nil, 200, false, []byte(raw)))))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := rd.Decode(m.Body); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("indented list: %v", err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(listJSON(41, true, instanceJSON("s-1", "10.0.0.1:80", "in_service", 5))))
	f.Fuzz(func(t *testing.T, raw []byte) {
		rd := testReader()
		if l, err := rd.Decode(raw); err == nil {
			for _, n := range l.Nodes {
				if n.Name == "" || n.Endpoint.Cell >= 3 || !n.Address.IsValid() && n.Endpoint.State != decision.Removed {
					t.Errorf("accepted %+v", n)
				}
			}
		}
	})
}
