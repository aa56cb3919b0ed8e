// Package back carries sub-requests to store nodes that are catalogue servers speaking SRU or Z39.50, in the place of frames. The pool
// goes on deciding which connection a call takes, and the module which node; here a call's parts become searches of the node's
// protocol, and what comes back becomes the answers that frames would have brought. It owns the node's protocol and its time limits.
// It must never choose a node, send a part twice, or make an answer of what it could not read whole.
//
// Depends on protocols/catalogue, protocols/sru, protocols/z3950, transport/httpwire, transport/store.
// Concurrency: goroutines of its own, which the caller's context ends; what they share with callers is
// behind a lock or an atomic value.
package back

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/z3950"
	"flaxfront/internal/transport/store"
)

// Options say what the nodes are.
type Options struct {
	Protocol string // sru or z3950
	Database string // of a shard; %d stands for its number
	Dial     time.Duration
	Now      func() time.Duration
	Post     func(store.Event)
}

// maxQueuedAttempts bounds what one connection holds before its turn; the pool sends one part at a time over each as a rule.
const maxQueuedAttempts = 64

var (
	errSessionRejected = errors.New("the node turned the session away")
	errProtocol        = errors.New("the node broke its protocol")
)

// Carrier opens connections of the node's protocol.
func Carrier(ctx context.Context, options Options) store.Carrier {
	return func(_ string, addr netip.AddrPort, handle store.Handle) func() {
		ctx, cancel := context.WithCancel(ctx)
		c := &conn{options: options, addr: addr, handle: handle, ctx: ctx, attempts: make(chan attempt, maxQueuedAttempts), cancelled: map[string]bool{}}
		go func() {
			defer cancel()
			err := c.run()
			options.Post(handle.Down(options.Now(), err))
		}()
		return cancel
	}
}

// attempt is one sub-request as a frame states it.
type attempt struct {
	id        string
	shard     int
	timeout   time.Duration
	statement string
}

// conn is one connection to a node.
type conn struct {
	options Options
	addr    netip.AddrPort
	handle  store.Handle
	ctx     context.Context

	attempts      chan attempt
	mu            sync.Mutex
	cancelled     map[string]bool // given up before their turn
	netConn       net.Conn
	reader        *bufio.Reader
	lastReference int
}

// TryWrite takes a frame of the pool and never waits.
func (c *conn) TryWrite(b []byte) (int, error) {
	if len(b) < 5 || int(binary.LittleEndian.Uint32(b)) != len(b)-4 {
		return 0, errProtocol
	}
	rest := b[5:]
	if b[4] == 'c' {
		c.mu.Lock()
		if len(c.cancelled) < maxQueuedAttempts {
			c.cancelled[string(rest)] = true
		}
		c.mu.Unlock()
		return len(b), nil
	}
	var parsed []attempt
	for len(rest) > 0 {
		line, body, _ := bytes.Cut(rest, []byte{'\n'})
		fields := strings.Fields(string(line))
		if len(fields) != 4 {
			return 0, errProtocol
		}
		shard, err1 := strconv.Atoi(fields[1])
		ms, err2 := strconv.Atoi(strings.TrimPrefix(fields[2], "d="))
		length, err3 := strconv.Atoi(fields[3])
		if errors.Join(err1, err2, err3) != nil || length < 0 || length > len(body) {
			return 0, errProtocol
		}
		parsed = append(parsed, attempt{fields[0], shard, time.Duration(ms) * time.Millisecond, string(body[:length])})
		rest = body[length:]
	}
	if len(c.attempts)+len(parsed) > cap(c.attempts) {
		return 0, nil // it takes no more: the pool ends the connection, as it would a full socket
	}
	for _, p := range parsed {
		c.attempts <- p
	}
	return len(b), nil
}

// The pool never reads here: answers come by handle.
func (c *conn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *conn) Close() error { return nil }

func (c *conn) SetReadDeadline(time.Time) error { return nil }

// run is a connection's life: it comes up, then does one part after the other, each within the time that is waited for it.
func (c *conn) run() error {
	d := net.Dialer{Timeout: c.options.Dial, KeepAlive: -1}
	netConn, err := d.DialContext(c.ctx, "tcp", c.addr.String())
	if err != nil {
		return err
	}
	defer netConn.Close()
	stop := context.AfterFunc(c.ctx, func() { netConn.Close() })
	defer stop()
	c.netConn, c.reader = netConn, bufio.NewReaderSize(netConn, 8<<10)
	if c.options.Protocol == "z3950" {
		if err := c.initSession(); err != nil {
			return err
		}
	}
	c.options.Post(c.handle.Up(c.options.Now(), c))
	readDone := make(chan error, 1)
	for {
		// While nothing is asked the node may end the connection.
		netConn.SetReadDeadline(time.Time{})
		go func() {
			_, err := c.reader.Peek(1)
			readDone <- err
		}()
		var p attempt
		select {
		case p = <-c.attempts:
			netConn.SetReadDeadline(time.Unix(1, 0))
			if err := <-readDone; err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return err
			} else if err == nil {
				return fmt.Errorf("%w: it speaks unasked", errProtocol)
			}
		case err := <-readDone:
			if err == nil {
				err = fmt.Errorf("%w: it speaks unasked", errProtocol)
			}
			return err
		}
		c.mu.Lock()
		cancelled := c.cancelled[p.id]
		delete(c.cancelled, p.id)
		c.mu.Unlock()
		if cancelled {
			continue
		}
		netConn.SetDeadline(time.Now().Add(p.timeout + c.options.Dial))
		end, value, err := c.execute(&p)
		if err != nil {
			return err
		}
		c.options.Post(c.handle.Answered(c.options.Now(), store.Answer{ID: p.id, Result: end, Value: value}))
	}
}

// execute has the node search, and tells how the part ended. An error ends the connection: what it meant can't be told.
func (c *conn) execute(p *attempt) (end store.Result, value string, err error) {
	search, err := catalogue.ParseStatement(p.statement)
	if err != nil {
		return store.Broke, "", nil // no catalogue search: these nodes know no other
	}
	database := strings.ReplaceAll(c.options.Database, "%d", strconv.Itoa(p.shard))
	if c.options.Protocol == "z3950" {
		return c.z3950(p, &search, database)
	}
	return c.sru(&search, database)
}

const (
	maxMessageBytes = 1 << 20
	resultSetName   = "f"
)

// initSession begins a session.
func (c *conn) initSession() error {
	c.netConn.SetDeadline(time.Now().Add(c.options.Dial))
	m, err := c.exchange(&z3950.InitRequest{Version3: true, Search: true, Present: true, NamedResultSets: true, PreferredMessageSize: maxMessageBytes, ExceptionalRecordSize: maxMessageBytes,
		ImplementationID: "flaxfront", ImplementationName: "flaxfront"})
	if err != nil {
		return err
	}
	if r, is := m.(*z3950.InitResponse); !is || !r.Accepted || !r.Search || !r.Present {
		return errSessionRejected
	}
	return nil
}

func (c *conn) exchange(m z3950.Message) (z3950.Message, error) {
	if _, err := c.netConn.Write(z3950.Encode(m)); err != nil {
		return nil, err
	}
	answer, err := z3950.Read(c.reader)
	if _, closes := answer.(*z3950.Close); closes && err == nil {
		err = io.EOF
	}
	return answer, err
}
