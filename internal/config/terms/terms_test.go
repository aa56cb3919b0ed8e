package terms

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/decision"
)

const settings = `{"azs":["north","south side"],"balancers":2,"me":1,
 "classes":[{"aimNs":2000000000,"deadlineNs":4000000000,"credit":2.5,"effect":"read_like","name":"find","windowNs":5}],
 "domain":{"cells":3,"classFloor":[0.5],"partsACall":8,"slices":9,"width":1},
 "permissions":{"cancel":true,"connIdleNs":30000000000,"connectTimeoutNs":250000000,"maxAttempts":4,"maxOpen":146,
  "maxRetryAfterNs":2000000000,"multiplex":32,"peers":true,"retryAfter":true},
 "realms":[{"name":"a, b","portion":0.5,"quotaPerS":14.0}],"registryMode":"ask","report":{"how":"silent","names":[]},
 "safety":{"askWithinNs":10000000000,"coldFrom":0.29,"warmAfterNs":16000000000},"stepNs":5000000}`

const text = `balancers=2
me=1
azs=north,south_side
classes.count=1
classes.0.aimNs=2000000000
classes.0.deadlineNs=4000000000
classes.0.credit=2.5
classes.0.effect=read_like
classes.0.name=find
classes.0.windowNs=5
domain.cells=3
domain.classFloor=0.5
domain.partsACall=8
domain.slices=9
domain.width=1
permissions.cancel=true
permissions.connIdleNs=30000000000
permissions.maxAttempts=4
permissions.maxOpen=146
permissions.maxRetryAfterNs=2000000000
permissions.peers=true
permissions.retryAfter=true
realms.count=1
realms.0.name=a__b
realms.0.portion=0.5
realms.0.quotaPerS=14.0
registryMode=ask
safety.coldFrom=0.29
safety.warmAfterNs=16000000000
stepNs=5000000
unknown.key=1
`

// JSON and path=value lines with the same content give the module the same settings.
func TestFromJSONAndFromTextAgree(t *testing.T) {
	a, err := FromJSON([]byte(settings), 7)
	if err != nil {
		t.Fatal(err)
	}
	b, err := FromText(text, 7)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(a.Module, b.Module) {
		t.Errorf("FromJSON gives %+v\nFromText gives %+v", a.Module, b.Module)
	}
	if a.Module.QueryTypes[0].LatencyObjective != 2*time.Second || a.Module.QueryTypes[0].Idempotency != decision.Idempotent {
		t.Errorf("query type decoded as %+v", a.Module.QueryTypes[0])
	}
	if a.Zones[1] != "south side" || a.Tenants[0] != "a, b" || a.Types[0] != "find" || a.Shards != 9 ||
		a.Streams != 32 || a.Idle != 30*time.Second || a.Dial != 250*time.Millisecond || a.PeerNumber != 1 {
		t.Errorf("settings decoded as %+v", a)
	}
}

// The error about an invalid setting names it, on one line.
func TestErrorNamesInvalidSetting(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"cells":3,`, ``, "domain.cells"},
		{`"cells":3`, `"cells":-3`, "domain.cells"},
		{`"cells":3`, `"cells":[1,2]`, "domain.cells"},
		{`"cells":3`, `"cells":[]`, "domain.cells"},
		{`"cells":3,`, `"x.y":1,`, "domain.cells"},
		{`"domain":{"cells":3,`, `"domain.cells":3,"domain":{`, "domain.cells"},
		{`"width":1`, `"width":4`, "domain.width"},
		{`"classFloor":[0.5]`, `"classFloor":[0.5,1]`, "domain.classFloor"},
		{`"aimNs":2000000000`, `"aimNs":"soon"`, "classes.0.aimNs"},
		{`"aimNs":2000000000`, `"aimNs":5000000000`, "classes.0.aimNs"},
		{`"read_like"`, `"often"`, "classes.0.effect"},
		{`"name":"find",`, ``, "classes.0.name"},
		{`"multiplex":32`, `"multiplex":0`, "permissions.multiplex"},
		{`"connIdleNs":30000000000,`, ``, "permissions.connIdleNs"},
		{`"cancel":true`, `"cancel":"si"`, "permissions.cancel"},
		{`"slices":9,`, ``, "domain.slices"},
		{`"azs"`, `"countedBy":"often","azs"`, "countedBy"},
		{`"cancel":true`, `"cancel":true,"probes":"now and then"`, "permissions.probes"},
		{`"coldFrom":0.29`, `"coldFrom":0.29,"extraFloor":5,"furtherRatio":0.05`, "safety.lookBackNs"},
		{`"read_like","name":"find","windowNs":5`, `"idempotency_key","name":"find"`, "classes.0.windowNs"},
		{`"classFloor":[0.5]`, `"classFloor":[0.9],"wholeAt":[0.8]`, "domain.classFloor"},
		{`"slices":9`, `"slices":0`, "settings: domain.slices"},
		{`"azs":["north","south side"],`, ``, "settings: azs"},
		{`"registryMode":"ask"`, `"registryMode":"maybe"`, "registryMode"},
		{`"stepNs":5000000`, `"stepNs":1e300`, "stepNs"},
		{`"stepNs":5000000`, `"stepNs":`, "settings"},
		{`"stepNs":5000000}`, `"stepNs":5000000}{`, "settings"},
	} {
		if !strings.Contains(settings, c.old) {
			t.Fatalf("the test settings do not contain %q", c.old)
		}
		if _, err := FromJSON([]byte(strings.Replace(settings, c.old, c.new, 1)), 1); err == nil ||
			!strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("want one line that names %s, got error %v", c.want, err)
		}
	}
}

func TestDecodeConfig(t *testing.T) {
	file := `{"name":"n0","listen":"127.0.0.1:80","discovery":"127.0.0.1:85","seed":"92094eb940cf389a",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.1:79","peers":["127.0.0.2:79"],
 "peers_all":"127.0.0.3:79","settings":` + settings + `}`
	s, err := DecodeConfig([]byte(file))
	if err != nil || s.Terms.Module.Seed != 0x92094eb940cf389a || s.Peers[0].Port() != 79 || s.Limits.Sockets != 1024 {
		t.Fatalf("error %v, decoded as %+v", err, s)
	}
	for field, bad := range map[string][2]string{
		"seed": {"92094eb940cf389a", "x"}, "listen": {"127.0.0.1:80", "here"}, "discovery": {"127.0.0.1:85", ""},
		"peers.0": {"127.0.0.2:79", "b"}, "peers_all": {"127.0.0.3:79", "c"}, "limits": {`"sockets":1024`, `"sockets":0`},
		"settings": {`"settings"`, `"other"`}, "configuration": {`{"name"`, `{"name`},
	} {
		if _, err := DecodeConfig([]byte(strings.Replace(file, bad[0], bad[1], 1))); err == nil ||
			!strings.Contains(err.Error(), field) {
			t.Errorf("want an error that names %s, got %v", field, err)
		}
	}
	if _, err := ReadConfig(t.TempDir() + "/none"); err == nil {
		t.Error("no error for a missing file")
	}
}

func FuzzFromJSON(f *testing.F) {
	f.Add([]byte(settings))
	f.Add([]byte(`{"classes":[[{}],{"a":[null]}],"azs":{}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if terms, err := FromJSON(raw, 1); err == nil && (len(terms.Types) != len(terms.Module.QueryTypes) ||
			terms.Module.Cells < 1 || terms.Shards < 1) {
			t.Errorf("inconsistent settings accepted: %+v", terms)
		}
	})
}
