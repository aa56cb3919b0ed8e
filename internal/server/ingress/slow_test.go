package ingress

// Tests of clients that send slowly, nothing or invalid requests: they get an error or a close in time.

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"flaxfront/internal/transport/clientconn"
	"flaxfront/internal/transport/httpwire"
)

// A client gets an error answer or a close within 3 s of connecting, whatever it sends or leaves out, and however slowly.
func TestAnswerOrCloseWithinThreeSeconds(t *testing.T) {
	settings := testSettings(t)
	for _, c := range []struct {
		sends string
		every time.Duration // between two bytes; 0: all at once
	}{
		{"", 0},
		{"POST /find HTTP/1.1\r\n", 0},
		{strings.Repeat("x", 9000), 0},
		{post("x", body), 100 * time.Millisecond},
		{"POST /find HTTP/1.1\r\n" + strings.Repeat("X-A: "+strings.Repeat("a", 1000)+"\r\n", 60), 0},
		{strings.Replace(post("x", body), "Content-Length: ", "Content-Length: 9", 1), 0},
		{strings.Replace(post("x", body), "Content-Length: ", "Content-Length: 60000", 1), 0},
		{strings.Replace(post("x", body), "Content-Length: ", "Content-Length: -", 1), 0},
		{fmt.Sprintf(requestHead+"Transfer-Encoding: chunked\r\n\r\nffff\r\nx", "x"), 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			in := New(nil, newFakeBroker(settings), Options{Limits: clientconn.Limits{Connections: 4, ReadGrace: 250 * time.Millisecond}})
			client, server := net.Pipe()
			begun := time.Now()
			go in.ServeConnection(t.Context(), server)
			go func() {
				for i := range c.sends {
					if c.every == 0 {
						io.WriteString(client, c.sends)
						return
					}
					if _, err := client.Write([]byte{c.sends[i]}); err != nil {
						return
					}
					time.Sleep(c.every)
				}
			}()
			m, err := httpwire.ReadResponse(httpwire.NewReader(client))
			if elapsed := time.Since(begun); elapsed >= 3*time.Second || err == nil && (m.Status < 400 || !m.Close) {
				t.Errorf("%.40q: answer %v, error %v after %v", c.sends, m, err, elapsed)
			}
			client.Close()
			time.Sleep(time.Second)
			left := len(in.Connections())
			if left != 0 {
				t.Errorf("%.40q: the connection is still in the set", c.sends)
			}
		})
	}
}
