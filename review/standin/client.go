package standin

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Search is a client's search.
type Search struct {
	ID      string
	Type    string
	Tenant  string
	Timeout time.Duration
	Shards  []int
	Text    string
}

// Answer is what a client got for its search.
type Answer struct {
	Status int // 0: the connection ended without an answer
	Body   string
	Err    error
	Took   time.Duration
}

// NewID returns a new request id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends a search to a broker on a new connection and waits for the answer.
func (r *Run) Send(b *Broker, s Search) Answer {
	var tablets []string
	for _, shard := range s.Shards {
		tablets = append(tablets, fmt.Sprintf(`{"tablet":%d,"fraction":%.6f}`, shard, 1/float64(len(s.Shards))))
	}
	body := fmt.Sprintf(`{"tablets":[%s],"statement":%q}`, strings.Join(tablets, ","), s.Text)
	request, err := http.NewRequest(http.MethodPost, "http://"+b.Listen+"/"+s.Type, bytes.NewBufferString(body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Header.Set("X-Request-ID", s.ID)
	request.Header.Set("X-Tenant-Id", s.Tenant)
	request.Header.Set("X-Timeout-Ms", fmt.Sprint(s.Timeout.Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Transport: transport, Timeout: s.Timeout + 2*time.Second}
	defer transport.CloseIdleConnections()
	r.Write("client: search %s of type %s for shards %v sent to broker %s", s.ID, s.Type, s.Shards, b.Name)
	began := time.Now()
	response, err := client.Do(request)
	a := Answer{Err: err}
	if err == nil {
		text, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		a.Status, a.Body, a.Err = response.StatusCode, string(text), readErr
		if readErr != nil {
			a.Status = 0
		}
	}
	a.Took = time.Since(began)
	r.Write("client: search %s ended after %d ms: status %d, %.80q, %v", s.ID, a.Took.Milliseconds(), a.Status, a.Body, a.Err)
	return a
}
