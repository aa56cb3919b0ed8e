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

// queued bounds what one connection holds before its turn; the pool sends one part at a time over each as a rule.
const queued = 64

var (
	errRefused  = errors.New("the node turned the session away")
	errProtocol = errors.New("the node broke its protocol")
)

// Carrier opens connections of the node's protocol.
func Carrier(ctx context.Context, o Options) store.Carrier {
	return func(_ string, addr netip.AddrPort, h store.Handle) func() {
		ctx, cancel := context.WithCancel(ctx)
		c := &conn{o: o, addr: addr, h: h, ctx: ctx, parts: make(chan part, queued), off: map[string]bool{}}
		go func() {
			defer cancel()
			err := c.run()
			o.Post(h.Down(o.Now(), err))
		}()
		return cancel
	}
}

// part is one sub-request as a frame states it.
type part struct {
	id    string
	shard int
	wait  time.Duration
	text  string
}

// conn is one connection to a node.
type conn struct {
	o    Options
	addr netip.AddrPort
	h    store.Handle
	ctx  context.Context

	parts chan part
	mu    sync.Mutex
	off   map[string]bool // given up before their turn
	nc    net.Conn
	in    *bufio.Reader
	n     int
}

// TryWrite takes a frame of the pool and never waits.
func (c *conn) TryWrite(b []byte) (int, error) {
	if len(b) < 5 || int(binary.LittleEndian.Uint32(b)) != len(b)-4 {
		return 0, errProtocol
	}
	rest := b[5:]
	if b[4] == 'c' {
		c.mu.Lock()
		if len(c.off) < queued {
			c.off[string(rest)] = true
		}
		c.mu.Unlock()
		return len(b), nil
	}
	var all []part
	for len(rest) > 0 {
		line, after, _ := bytes.Cut(rest, []byte{'\n'})
		f := strings.Fields(string(line))
		if len(f) != 4 {
			return 0, errProtocol
		}
		shard, err1 := strconv.Atoi(f[1])
		ms, err2 := strconv.Atoi(strings.TrimPrefix(f[2], "d="))
		length, err3 := strconv.Atoi(f[3])
		if errors.Join(err1, err2, err3) != nil || length < 0 || length > len(after) {
			return 0, errProtocol
		}
		all = append(all, part{f[0], shard, time.Duration(ms) * time.Millisecond, string(after[:length])})
		rest = after[length:]
	}
	if len(c.parts)+len(all) > cap(c.parts) {
		return 0, nil // it takes no more: the pool ends the connection, as it would a full socket
	}
	for _, p := range all {
		c.parts <- p
	}
	return len(b), nil
}

// The pool never reads here: answers come by handle.
func (c *conn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *conn) Close() error { return nil }

func (c *conn) SetReadDeadline(time.Time) error { return nil }

// run is a connection's life: it comes up, then does one part after the other, each within the time that is waited for it.
func (c *conn) run() error {
	d := net.Dialer{Timeout: c.o.Dial, KeepAlive: -1}
	nc, err := d.DialContext(c.ctx, "tcp", c.addr.String())
	if err != nil {
		return err
	}
	defer nc.Close()
	stop := context.AfterFunc(c.ctx, func() { nc.Close() })
	defer stop()
	c.nc, c.in = nc, bufio.NewReaderSize(nc, 8<<10)
	if c.o.Protocol == "z3950" {
		if err := c.open(); err != nil {
			return err
		}
	}
	c.o.Post(c.h.Up(c.o.Now(), c))
	gone := make(chan error, 1)
	for {
		// While nothing is asked the node may end the connection.
		nc.SetReadDeadline(time.Time{})
		go func() {
			_, err := c.in.Peek(1)
			gone <- err
		}()
		var p part
		select {
		case p = <-c.parts:
			nc.SetReadDeadline(time.Unix(1, 0))
			if err := <-gone; err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return err
			} else if err == nil {
				return fmt.Errorf("%w: it speaks unasked", errProtocol)
			}
		case err := <-gone:
			if err == nil {
				err = fmt.Errorf("%w: it speaks unasked", errProtocol)
			}
			return err
		}
		c.mu.Lock()
		off := c.off[p.id]
		delete(c.off, p.id)
		c.mu.Unlock()
		if off {
			continue
		}
		nc.SetDeadline(time.Now().Add(p.wait + c.o.Dial))
		end, value, err := c.do(&p)
		if err != nil {
			return err
		}
		c.o.Post(c.h.Answered(c.o.Now(), store.Answer{ID: p.id, Result: end, Value: value}))
	}
}

// do has the node search, and tells how the part ended. An error ends the connection: what it meant can't be told.
func (c *conn) do(p *part) (end store.Result, value string, err error) {
	w, err := catalogue.ParseStatement(p.text)
	if err != nil {
		return store.Broke, "", nil // no catalogue search: these nodes know no other
	}
	database := strings.ReplaceAll(c.o.Database, "%d", strconv.Itoa(p.shard))
	if c.o.Protocol == "z3950" {
		return c.z3950(p, &w, database)
	}
	return c.sru(&w, database)
}

const (
	mostMessage = 1 << 20
	resultSet   = "f"
)

// open begins a session.
func (c *conn) open() error {
	c.nc.SetDeadline(time.Now().Add(c.o.Dial))
	m, err := c.say(&z3950.InitRequest{Version3: true, Search: true, Present: true, NamedResultSets: true, Preferred: mostMessage, Most: mostMessage,
		ID: "flaxfront", Name: "flaxfront"})
	if err != nil {
		return err
	}
	if r, is := m.(*z3950.InitResponse); !is || !r.Accepted || !r.Search || !r.Present {
		return errRefused
	}
	return nil
}

func (c *conn) say(m z3950.Message) (z3950.Message, error) {
	if _, err := c.nc.Write(z3950.Encode(m)); err != nil {
		return nil, err
	}
	answer, err := z3950.Read(c.in)
	if _, closes := answer.(*z3950.Close); closes && err == nil {
		err = io.EOF
	}
	return answer, err
}
