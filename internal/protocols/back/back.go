// Package back connects the pool to store nodes that are catalogue servers speaking SRU or Z39.50 instead of the frame protocol. It
// translates each attempt of a shard request into a search of the node's protocol, and the response into the answer that a frame
// would carry. The router still selects the node and the pool the connection. An attempt is sent once, and a response that cannot
// be decoded completely is never an answer.
//
// Depends on protocols/catalogue, protocols/sru, protocols/z3950, transport/httpwire, transport/membudget, transport/store.
// Concurrency: each connection has goroutines, which end with the caller's context; state shared with the pool is
// guarded by a mutex or passed over channels.
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
	"time"

	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/z3950"
	"flaxfront/internal/transport/membudget"
	"flaxfront/internal/transport/store"
)

// Options configure the connections to nodes.
type Options struct {
	Protocol string        // sru or z3950
	Database string        // name of a shard's database; %d is replaced by the shard's number
	Dial     time.Duration // timeout of connecting and of opening a session
	Now      func() time.Duration
	Post     func(store.Event)
	Memory   *membudget.Budget // for nodes' responses and the values in them; nil: unlimited
}

var (
	errSessionRejected = errors.New("node rejected the session")
	errProtocol        = errors.New("protocol error by the node")
)

// Carrier returns the function with which the pool opens connections of the node's protocol. They close when ctx ends.
func Carrier(ctx context.Context, options Options) store.Carrier {
	return func(_ string, addr netip.AddrPort, handle store.Handle) func() {
		ctx, cancel := context.WithCancel(ctx)
		c := &conn{options: options, addr: addr, handle: handle, ctx: ctx, attempts: newAttemptQueue()}
		c.memory.Open(options.Memory, freeResponseBytes)
		go func() {
			defer cancel()
			err := c.run()
			c.memory.Close()
			options.Post(handle.Down(options.Now(), err))
		}()
		return cancel
	}
}

// attempt is one attempt of a shard request, decoded from a frame.
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

	attempts      *attemptQueue
	netConn       net.Conn
	reader        *bufio.Reader
	lastReference int
	memory        membudget.Account // of the response that is being read
}

// TryWrite accepts a frame from the pool: a call of attempts, which it queues, or a cancellation. It never blocks, and returns 0 if
// the queue is full.
func (c *conn) TryWrite(b []byte) (int, error) {
	if len(b) < 5 || int(binary.LittleEndian.Uint32(b)) != len(b)-4 {
		return 0, errProtocol
	}
	rest := b[5:]
	if b[4] == 'c' {
		c.attempts.cancel(string(rest))
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
	if !c.attempts.add(parsed) {
		return 0, nil // the queue is full: the pool closes the connection, as it does when a socket's buffer is full
	}
	return len(b), nil
}

// Withdraw takes back the attempts that wait for their turn, and returns their ids. None of them is sent.
func (c *conn) Withdraw() (ids []string) { return c.attempts.withdraw() }

// Read always returns io.EOF. The pool does not read from the connection; answers are posted as events of the handle.
func (c *conn) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing. The pool closes the connection with the function that the carrier returned.
func (c *conn) Close() error { return nil }

func (c *conn) SetReadDeadline(time.Time) error { return nil }

// run opens the connection and executes one attempt after the other, each within its timeout plus the dial timeout, until the
// connection ends.
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
		// Without an attempt in flight the node may close the connection, which a pending read notices.
		netConn.SetReadDeadline(time.Time{})
		go func() {
			_, err := c.reader.Peek(1)
			readDone <- err
		}()
		select {
		case <-c.attempts.added:
			netConn.SetReadDeadline(time.Unix(1, 0))
			if err := <-readDone; err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return err
			} else if err == nil {
				return fmt.Errorf("%w: data without a request", errProtocol)
			}
		case err := <-readDone:
			if err == nil {
				err = fmt.Errorf("%w: data without a request", errProtocol)
			}
			return err
		}
		p, ok := c.attempts.next()
		if !ok { // cancelled or withdrawn meanwhile
			continue
		}
		netConn.SetDeadline(time.Now().Add(p.timeout + c.options.Dial))
		result, value, err := c.execute(&p)
		if err != nil {
			return err
		}
		c.memory.Close()
		c.options.Post(c.handle.Answered(c.options.Now(), c.answer(p.id, result, value)))
	}
}

// freeResponseBytes is the size of a response for which no memory need be reserved.
const freeResponseBytes = 4 << 10

// answer returns the answer to an attempt, with the memory of its value. If there is none, the value is dropped.
func (c *conn) answer(id string, result store.Result, value string) store.Answer {
	a := store.Answer{ID: id, Result: result, Value: value}
	if len(value) <= store.SmallValue {
		return a
	}
	a.Memory = &membudget.Account{}
	a.Memory.Open(c.options.Memory, 0)
	if !a.Memory.TryGrow(len(value)) {
		return store.Answer{ID: id, Result: store.Dropped}
	}
	return a
}

// execute runs an attempt's search on the node and returns the result and value of its answer. After an error the connection must
// be closed, as it is not known where the next response begins.
func (c *conn) execute(p *attempt) (result store.Result, value string, err error) {
	search, err := catalogue.ParseStatement(p.statement)
	if err != nil {
		return store.Broke, "", nil // not a catalogue search; these nodes support no other
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

// initSession opens a Z39.50 session.
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
	answer, err := z3950.ReadWithin(c.reader, c.memory.TryGrow)
	if _, closes := answer.(*z3950.Close); closes && err == nil {
		err = io.EOF
	}
	return answer, err
}
