// Package discovery keeps up with the node list. It owns the one connection to discovery, the version held and the
// reading of the list. It must never decide when to ask: the module does, through Ask, and learns of each failure.
// A list that can't be read whole changes nothing.
package discovery

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"flaxfront/broker"
	"flaxfront/decide/trust"
	"flaxfront/httpwire"
)

// A call that discovery does not answer counts as told so long after it, or after its wait.
const (
	toldAfter     = 6 * time.Second
	toldAfterWait = 2 * time.Second
	longestWait   = time.Minute // that discovery grants
	path          = "/discovery/hosts"
)

// Node is one line of the list.
type Node struct {
	Name    string
	Addr    netip.AddrPort
	Entry   broker.Entry
	Zone    string // as discovery names it
	Started int64  // its last start in Unix time in milliseconds; 0: long ago
}

// List is a whole list or the lines that changed.
type List struct {
	Version uint64
	Whole   bool
	Nodes   []Node
	Service string // the address that told it
	Cells   int    // in which its nodes lie, as it was read
}

// Reader reads lists in discovery's form.
type Reader struct {
	Zones []string
	Cells int
	Start time.Time // entries count from here
}

// Decode reads one list; any line that makes no sense spoils it.
func (rd *Reader) Decode(raw []byte) (*List, error) {
	var doc struct {
		Generation *uint64 `json:"generation"`
		Reset      bool    `json:"reset"`
		Instances  []struct {
			InstanceID string `json:"instanceId"`
			HostPort   string `json:"hostPort"`
			Zone       string `json:"zone"`
			Cell       int    `json:"cell"`
			Lifecycle  string `json:"lifecycle"`
			StartedAt  int64  `json:"startedAtMs"`
		} `json:"instances"`
	}
	if err := json.Unmarshal(raw, &doc); err != nil {
		return nil, fmt.Errorf("node list: %w", err)
	}
	if doc.Generation == nil {
		return nil, errors.New("node list: generation: missing")
	}
	list := &List{Version: *doc.Generation, Whole: doc.Reset, Cells: rd.Cells}
	for i, in := range doc.Instances {
		n := Node{Name: in.InstanceID, Zone: in.Zone, Started: in.StartedAt}
		e := &n.Entry
		e.Node, e.Cell, e.Zone, e.Boot = ID(in.InstanceID), in.Cell, rd.Zone(in.Zone), broker.NoBoot
		if in.InstanceID == "" || in.Cell < 0 || in.Cell >= rd.Cells {
			return nil, fmt.Errorf("node list: instances.%d: %q in cell %d of %d", i, in.InstanceID, in.Cell, rd.Cells)
		}
		switch in.Lifecycle {
		case "in_service":
			e.State = broker.Ready
		case "terminating":
			e.State = broker.Draining
		case "terminated":
			e.State = broker.Gone
		default:
			return nil, fmt.Errorf("node list: instances.%d: lifecycle %.40q", i, in.Lifecycle)
		}
		var err error
		if n.Addr, err = netip.ParseAddrPort(in.HostPort); err != nil && e.State != broker.Gone {
			return nil, fmt.Errorf("node list: instances.%d: hostPort %.60q", i, in.HostPort)
		}
		if in.StartedAt < 0 {
			return nil, fmt.Errorf("node list: instances.%d: startedAtMs %d", i, in.StartedAt)
		} else if in.StartedAt > 0 {
			e.Boot = time.UnixMilli(in.StartedAt).Sub(rd.Start)
		}
		list.Nodes = append(list.Nodes, n)
	}
	return list, nil
}

// Zone numbers a zone by the settings; one that they do not name comes after those.
func (rd *Reader) Zone(name string) int {
	at := slices.Index(rd.Zones, name)
	if at < 0 {
		at = len(rd.Zones)
	}
	return at
}

// ID makes a node's id of its name. Addresses differ from one broker to the next, names do not, and what brokers
// tell one another of nodes must mean the same to all. Hexadecimal digits that end a name show in the id.
func ID(name string) (id broker.NodeID) {
	h := fnv.New64a()
	h.Write([]byte(name))
	sum := h.Sum64()
	binary.BigEndian.PutUint32(id.Addr[:], uint32(sum>>32))
	id.Port = uint16(sum)
	if n := len(name) - 2*len(id.Addr); n >= 0 {
		if tail, err := hex.DecodeString(name[n:]); err == nil {
			id.Addr = [4]byte(tail)
		}
	}
	return id
}

// Client asks discovery.
type Client struct {
	mu        sync.Mutex
	pending   string             // the address to move to; "" for none
	next      *Terms             // by which it is asked from there on; nil: as it is
	interrupt context.CancelFunc // ends the call in hand

	addr   string
	reader Reader
	wait   time.Duration // how long discovery may hold a watch
	held   uint64        // the version held
	known  bool
	tell   func(*List, error) // delivers to the loop
	ask    chan struct{}
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	conn   net.Conn
	in     *bufio.Reader
	calls  int // on this connection
	buf    []byte
	pacer  *trust.Pacer // nil: it is asked again only when Ask says so
	hurry  bool         // discovery has not answered since it failed, or at all: the next call does not wait for news
	failed bool         // the last call did, and that was told
}

// Terms are what other settings change in how discovery is asked.
type Terms struct {
	Reader Reader
	Wait   time.Duration // the longest that it may hold a watch
}

// NewClient makes a client that holds a version already, or nothing (known false).
func NewClient(addr string, reader Reader, wait time.Duration, held uint64, known bool,
	tell func(*List, error)) *Client {
	return &Client{addr: addr, reader: reader, wait: min(wait, longestWait), held: held, known: known, tell: tell,
		ask: make(chan struct{}, 1), dial: new(net.Dialer).DialContext}
}

// Pace has the client ask again by itself, as a pacer says, whenever discovery could not be asked; the first failure of
// each outage is told, the others are not. It comes before Run. held is the version to ask for changes from, if known.
func (c *Client) Pace(p *trust.Pacer, held uint64, known bool) {
	c.pacer, c.hurry, c.held, c.known = p, true, held, known
}

// Move has discovery asked at another address from now on, even where a watch is held; that counts as an ask. The list
// held stands until the new one has spoken. The new one may count its versions from anywhere, so that it is asked for
// the whole list first. It is asked by other terms from there on, if they are given.
func (c *Client) Move(addr string, t *Terms) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending = addr; t != nil {
		c.next = t
	}
	if c.interrupt != nil {
		c.interrupt()
	}
	c.Ask()
}

// moving tells whether a move waits to be made.
func (c *Client) moving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending != ""
}

// begin makes a move that waits and lets Move end the call that begins.
func (c *Client) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != "" {
		c.hangUp("moved")
		c.addr, c.pending, c.held, c.known = c.pending, "", 0, false
		if c.next != nil {
			c.reader, c.wait, c.next = c.next.Reader, min(c.next.Wait, longestWait), nil
		}
	}
	ctx, c.interrupt = context.WithCancel(ctx)
	return ctx, c.interrupt
}

// Ask starts a watch unless one is held; each ask is answered by a list or an error.
func (c *Client) Ask() {
	select {
	case c.ask <- struct{}{}:
	default: // one is waiting already
	}
}

// Run carries out what is asked until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	defer c.hangUp("shutdown")
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.ask:
		}
		for {
			list, err := c.call(ctx)
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				select {
				case <-c.ask: // made while this call was out, and answered by it
				default:
				}
				if c.moving() { // looked at last, as a move asks: one made from here on wakes the next round
					continue // the call was ended by the move, or asked the wrong one
				}
				c.hangUp("call_failed")
			}
			if err == nil || !c.failed || c.pacer == nil {
				c.tell(list, err)
			}
			c.failed, c.hurry = err != nil, err != nil
			if err != nil && c.pacer == nil {
				break
			}
			if err != nil && !c.comeBack(ctx, errors.Is(err, errDial)) {
				return nil
			}
			if err == nil && c.pacer != nil {
				c.pacer.Answered()
			}
		}
	}
}

// call makes one call: a watch on from the version held, or the whole list.
func (c *Client) call(ctx context.Context) (*List, error) {
	ctx, end := c.begin(ctx)
	defer end()
	target, limit := path, toldAfter
	wait := c.wait
	if c.hurry && c.pacer != nil {
		wait = 0
	}
	if c.known {
		target = fmt.Sprintf("%s?index=%d&wait=%d", path, c.held, wait.Milliseconds())
		limit = wait + toldAfterWait
	}
	if c.hurry && c.pacer != nil {
		limit = c.pacer.Limit()
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	m, err := c.exchange(ctx, target)
	if err != nil {
		return nil, err
	}
	if m.Status != 200 {
		return nil, fmt.Errorf("discovery: status %d", m.Status)
	}
	if m.Close {
		c.hangUp("last_answer")
	}
	list, err := c.reader.Decode(m.Body)
	if err != nil {
		c.known = false // next time the whole list
		return nil, err
	}
	if c.known && list.Version < c.held { // a whole list asked for counts from wherever its service does
		c.known = false
		return nil, fmt.Errorf("discovery: version %d after %d", list.Version, c.held)
	}
	c.held, c.known = list.Version, true
	list.Service = c.addr
	return list, nil
}

func (c *Client) exchange(ctx context.Context, target string) (*httpwire.Message, error) {
	if err := c.connect(ctx); err != nil {
		return nil, err
	}
	conn := c.conn
	c.calls++
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	c.buf = httpwire.AppendRequest(c.buf[:0], "GET", target, c.addr)
	if _, err := conn.Write(c.buf); err != nil {
		return nil, err
	}
	return httpwire.ReadResponse(c.in)
}

var errDial = errors.New("no connection")

func (c *Client) connect(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	conn, err := c.dial(ctx, "tcp", c.addr)
	if err != nil {
		return fmt.Errorf("%w: %w", errDial, err)
	}
	c.conn, c.in = conn, httpwire.NewReader(conn)
	return nil
}

// comeBack waits until discovery is to be called again; where it takes no connection, until it does. A move ends it, and
// so does ctx: false.
func (c *Client) comeBack(ctx context.Context, refused bool) bool {
	outer := ctx
	ctx, end := c.begin(ctx)
	defer end()
	if !refused {
		sleep(ctx, c.pacer.Jammed())
		return outer.Err() == nil
	}
	for ctx.Err() == nil {
		sleep(ctx, c.pacer.Knock())
		knock, cancel := context.WithTimeout(ctx, c.pacer.Limit())
		err := c.connect(knock)
		cancel()
		if err == nil {
			sleep(ctx, c.pacer.Door())
			break
		}
	}
	return outer.Err() == nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (c *Client) hangUp(reason string) {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
		slog.Info("discovery connection ended", "reason", reason, "calls", c.calls)
		c.calls = 0
	}
}
