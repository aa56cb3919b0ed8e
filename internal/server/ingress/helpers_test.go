package ingress

// Helpers of this package's tests: a fake broker, settings and a request.

import (
	"fmt"
	"log/slog"
	"os"
	"testing"
	"time"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/server/query"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

const (
	requestHead = "POST /find HTTP/1.1\r\nHost: b\r\nX-Request-ID: %s\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 1900\r\n"
	body        = `{"tablets":[{"tablet":0,"fraction":0.5,"guess":9000},{"tablet":1,"fraction":0.5}],"statement":"c41e"}`
)

func post(id, body string) string {
	return fmt.Sprintf(requestHead+"Content-Length: %d\r\n\r\n%s", id, len(body), body)
}

const settingsJSON = `{"azs":["a","b"],"balancers":2,
 "classes":[{"aimNs":1000000000,"deadlineNs":2000000000,"effect":"read_like","name":"find"},
  {"aimNs":1000000000,"deadlineNs":2000000000,"effect":"non_idempotent","name":"sign"}],
 "clients":{"marksRetry":true},"domain":{"cells":2,"classFloor":[0.5,1],"partsACall":4,"slices":6,"width":1},
 "permissions":{"cancel":true,"connIdleNs":30000000000,"connectTimeoutNs":250000000,"maxAttempts":4,"maxOpen":40,
  "maxRetryAfterNs":2000000000,"multiplex":8,"retryAfter":true,"secondCopies":true},
 "realms":[{"name":"acme","portion":1}],"registryMode":"ask",
 "safety":{"askWithinNs":10000000000,"coldFrom":0.3,"drainGraceNs":500000000,"tipMultiple":2,"warmAfterNs":5000000000},
 "stepNs":5000000}`

func testSettings(t *testing.T) *terms.Terms {
	t.Helper()
	settings, err := terms.FromJSON([]byte(settingsJSON), 11)
	if err != nil {
		t.Fatal(err)
	}
	return &settings
}

// fakeBroker is a broker that has ended: Submit accepts no query.
type fakeBroker struct {
	settings *terms.Terms
	start    time.Time
}

func newFakeBroker(settings *terms.Terms) *fakeBroker {
	return &fakeBroker{settings: settings, start: time.Now()}
}

func (b *fakeBroker) Submit(query.Submission) (query.Pending, bool) { return nil, false }
func (b *fakeBroker) Settings() *terms.Terms                        { return b.settings }
func (b *fakeBroker) Uptime() time.Duration                         { return time.Since(b.start) }
func (b *fakeBroker) Draining() bool                                { return false }
func (b *fakeBroker) CountersJSON() string                          { return "{}" }
