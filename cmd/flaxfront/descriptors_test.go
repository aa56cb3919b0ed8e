package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// testConfigEnv names the environment variable with which the test binary serves a configuration under a limit of file descriptors.
const testConfigEnv = "FLAXFRONT_TEST_CONFIG"

// maxDescriptors is the limit of open file descriptors of that process.
const maxDescriptors = 64

func TestMain(m *testing.M) {
	file := os.Getenv(testConfigEnv)
	if file == "" {
		os.Exit(m.Run())
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}); err != nil {
		panic(err)
	}
	if err := serve(file, ""); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Idle client connections exhaust their share of file descriptors while discovery is down. When it returns, the broker still has descriptors
// for discovery and for the nodes of its list, and no call fails with "too many open files".
func TestIdleClientsLeaveRoomForDiscovery(t *testing.T) {
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		return ln
	}
	node, discoveryListener, clientListener := listen(), listen(), listen()
	clientAddr := clientListener.Addr().String()
	clientListener.Close()
	var discoveryUp atomic.Bool
	list := fmt.Sprintf(`{"generation":3,"reset":true,"instances":[{"instanceId":"s-1","hostPort":%q,"zone":"a","cell":0,`+
		`"lifecycle":"in_service"}]}`, node.Addr())
	discovery := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case !discoveryUp.Load():
			time.Sleep(time.Second) // discovery is overloaded: it holds the request, then fails
			w.WriteHeader(http.StatusServiceUnavailable)
		case r.URL.RawQuery == "":
			io.WriteString(w, list)
		default:
			<-r.Context().Done()
		}
	})}
	go discovery.Serve(discoveryListener)
	t.Cleanup(func() { discovery.Close() })
	config := filepath.Join(t.TempDir(), "config.json")
	text := strings.NewReplacer("127.0.0.1:%d", clientAddr, "127.0.0.1:1\"", discoveryListener.Addr().String()+"\"").Replace(configText)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var log logBuffer
	broker := exec.Command(os.Args[0])
	broker.Env, broker.Stderr = append(os.Environ(), testConfigEnv+"="+config), &log
	if err := broker.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- broker.Wait() }()
	defer func() {
		broker.Process.Signal(syscall.SIGTERM)
		if err := <-exited; err != nil {
			t.Error(err)
		}
		if text := log.String(); strings.Contains(text, "too many open files") {
			t.Errorf("file descriptors were exhausted:\n%s", text)
		}
	}()
	for n, deadline := 0, time.Now().Add(10*time.Second); n < 4*maxDescriptors; {
		conn, err := net.Dial("tcp", clientAddr)
		if err != nil && time.Now().After(deadline) {
			t.Fatal(err)
		} else if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		defer conn.Close()
		n++
	}
	discoveryUp.Store(true)
	for deadline := time.Now().Add(10 * time.Second); !strings.Contains(log.String(), "node listed"); {
		if time.Now().After(deadline) {
			t.Fatal("the broker did not get the endpoint list within 10 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
	conn, err := net.Dial("tcp", clientAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	query := `{"tablets":[{"tablet":0,"fraction":1}],"statement":"x"}`
	fmt.Fprintf(conn, "POST /find HTTP/1.1\r\nHost: b\r\nX-Request-ID: a\r\nX-Timeout-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", len(query), query)
	node.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
	nodeConn, err := node.Accept()
	if err != nil {
		t.Fatalf("the broker did not connect to the node: %v", err)
	}
	defer nodeConn.Close()
	if _, err := bufio.NewReader(nodeConn).ReadString('x'); err != nil {
		t.Errorf("the node got no shard request: %v", err)
	}
}

// logBuffer collects the log of a process.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
