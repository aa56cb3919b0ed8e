package server

// Helpers of this package's tests: stub nodes, a client, and a broker started on loopback.

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/routing"
	"flaxfront/internal/transport/httpwire"
)

// stubNode starts a store node on loopback. It answers each shard request at once, except those with the text "hang".
func stubNode(t *testing.T) string {
	return answeringNode(t, func(id string, shard int, text string) string {
		if text == "hang" {
			return ""
		}
		return fmt.Sprintf("a%s served 7 -\n<%d>", id, shard)
	})
}

// answeringNode starts a store node on loopback that sends what answer returns for each shard request; "" sends nothing.
func answeringNode(t *testing.T, answer func(id string, shard int, text string) string) string {
	ln := listen(t)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for {
					var head [4]byte
					if _, err := io.ReadFull(in, head[:]); err != nil {
						return
					}
					rest := make([]byte, binary.LittleEndian.Uint32(head[:]))
					if _, err := io.ReadFull(in, rest); err != nil || rest[0] != 'q' {
						continue
					}
					for text := string(rest[1:]); text != ""; {
						var id string
						var shard, wait, size int
						fmt.Sscanf(text, "%s %d d=%d %d\n", &id, &shard, &wait, &size)
						_, text, _ = strings.Cut(text, "\n")
						if a := answer(id, shard, text[:size]); a != "" {
							conn.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(a))), a...))
						}
						text = text[size:]
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func startConfiguration(t *testing.T, listen string, sockets int) *terms.Config {
	none := netip.MustParseAddrPort("127.0.0.1:1") // where nobody listens
	known := `{"generation":1,"reset":true,"instances":[`
	for cell := range 2 {
		known += fmt.Sprintf(`{"instanceId":"s-%d","hostPort":%q,"zone":"a","cell":%d,"lifecycle":"in_service"},`,
			cell, stubNode(t), cell)
	}
	return &terms.Config{Name: "n0", Listen: netip.MustParseAddrPort(listen), Discovery: none, Terms: testTerms(t),
		Limits: terms.Limits{Cores: 1, MemoryMB: 192, Sockets: sockets}, Known: []byte(known[:len(known)-1] + "]}")}
}

func newRouter(t decision.Settings) decision.Router { return routing.New(t) }

// runServer runs a broker; end stops it as SIGTERM does and returns Run's error.
func runServer(t *testing.T, sockets int) (s *Server, end func() error) {
	t.Helper()
	return runConfigured(t, startConfiguration(t, "127.0.0.1:0", sockets), operator.Default())
}

// runConfigured runs a broker with a configuration and an operators' file until end is called or the test ends.
func runConfigured(t *testing.T, start *terms.Config, file *operator.File) (s *Server, end func() error) {
	t.Helper()
	s = openServer(t, start, file)
	return s, serveUntilEnd(t, s)
}

// openServer returns a broker that listens and does not serve yet.
func openServer(t *testing.T, start *terms.Config, file *operator.File) *Server {
	t.Helper()
	s, err := New(start, file, newRouter)
	if err == nil {
		err = s.Open()
	}
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// serveUntilEnd runs a broker until end is called or the test ends.
func serveUntilEnd(t *testing.T, s *Server) (end func() error) {
	t.Helper()
	stop, done, ended := make(chan struct{}), make(chan error, 1), false
	go func() { done <- s.Run(stop) }()
	end = func() error {
		if ended {
			return nil
		}
		ended = true
		close(stop)
		err := <-done
		if err != nil {
			t.Error(err)
		}
		return err
	}
	t.Cleanup(func() { end() })
	return end
}

// readLabConfiguration reads the configuration that package lab wrote for a broker, and decodes the text of an operators' file.
func readLabConfiguration(t *testing.T, path string, err error, operators string) (*terms.Config, *operator.File) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	start, err := terms.ReadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	file, err := operator.Decode("f", []byte(operators))
	if err != nil {
		t.Fatal(err)
	}
	return start, file
}

type testClient struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

func dial(t *testing.T, s *Server) *testClient {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &testClient{conn, t, httpwire.NewReader(conn)}
}

// roundTrip writes a request and reads one response.
func (c *testClient) roundTrip(text string) *httpwire.Message {
	c.t.Helper()
	io.WriteString(c, text)
	return c.readResponse()
}

func (c *testClient) readResponse() *httpwire.Message {
	c.t.Helper()
	m, err := httpwire.ReadResponse(c.in)
	if err != nil {
		c.t.Fatal(err)
	}
	return m
}

func post(id, body string) string {
	return fmt.Sprintf(requestHead+"Content-Length: %d\r\n\r\n%s", id, len(body), body)
}

// postUnanswered returns the request of a query that no node answers, with a timeout in ms.
func postUnanswered(id, ms string) string {
	return strings.Replace(post(id, strings.Replace(body, "c41e", "hang", 1)), "1900", ms, 1)
}

// waitUntil waits without limit until the counters show a state.
func waitUntil(s *Server, reached func(Counters) bool) {
	for !reached(s.Counters()) {
	}
}
