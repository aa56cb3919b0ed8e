// Case 1: one search message over Z39.50 that lacks the second operand of its operator, while usual clients' searches are in hand.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"flaxfront/review/standin"
)

func main() { standin.Main("1", play) }

const (
	inHand  = 8                      // searches of usual clients that are in hand when the message comes
	work    = 700 * time.Millisecond // of a part at a node
	owedFor = 3 * time.Second        // within which a bad client gets an error or a close
)

func play(r *standin.Run) (int, error) {
	broker, zAddress, err := start(r)
	if err != nil {
		return 0, err
	}
	if a := r.Send(broker, search("doc-find", 0, 1, 2)); a.Status != 200 {
		return 0, fmt.Errorf("the first search got status %d, %v", a.Status, a.Err)
	}
	z, err := dial(r, zAddress)
	if err != nil {
		return 0, err
	}
	defer z.conn.Close()
	var sent sync.WaitGroup
	answers := make([]standin.Answer, inHand)
	for i := range answers {
		sent.Go(func() { answers[i] = r.Send(broker, search("doc-find", i%9, (i+1)%9, (i+2)%9)) })
	}
	time.Sleep(work / 3)
	z.ask(searchMessage(!r.Trouble))
	sent.Wait()
	time.Sleep(500 * time.Millisecond)
	lost := 0
	for _, a := range answers {
		if a.Status == 0 {
			lost++
		}
	}
	how, crashed := broker.Crashed()
	for _, line := range append(broker.LogLines("panic:"), broker.LogLines("goroutine ")...) {
		r.Write("broker's log: %s", line)
	}
	return r.Verdict(crashed || lost > 0, "the broker crashed: %v %s; %d of %d searches of usual clients that were in hand were never answered",
		crashed, how, lost, inHand), nil
}

func search(name string, shards ...int) standin.Search {
	return standin.Search{ID: standin.NewID(), Type: name, Tenant: "tuko-sacco", Timeout: 4 * time.Second, Shards: shards, Text: "c41e77d0"}
}

// start starts twelve nodes, discovery and a broker with the Z39.50 front on.
func start(r *standin.Run) (*standin.Broker, string, error) {
	var list []standin.Instance
	for i := range 12 {
		n, err := r.NewNode(standin.Instance{ID: fmt.Sprintf("s-%08x", 0x5be2a000+i), Zone: []string{"westlands", "mombasa-rd"}[i%2], Kind: "small-2c",
			Cell: i % 3, Lifecycle: standin.Ready, Weight: 1}, answer)
		if err != nil {
			return nil, "", err
		}
		list = append(list, n.Instance)
	}
	discovery, err := r.NewDiscovery(list)
	if err != nil {
		return nil, "", err
	}
	listen, err1 := standin.FreeTCP()
	zAddress, err2 := standin.FreeTCP()
	peer, err3 := standin.FreeUDP()
	if err1 != nil || err2 != nil || err3 != nil {
		return nil, "", fmt.Errorf("no free ports: %v %v %v", err1, err2, err3)
	}
	config := standin.Config("n0", listen, discovery.Address, []string{peer}, 0, discovery.List(), standin.Nairobi(1, 0))
	broker, err := r.NewBroker("n0", config, fmt.Sprintf(`{"z3950": {"listen": %q, "type": "doc-find"}}`, zAddress))
	if err != nil {
		return nil, "", err
	}
	return broker, zAddress, broker.Start()
}

// answer serves each part; a catalogue search finds nothing.
func answer(_ *standin.Node, p *standin.Part) standin.Reply {
	if strings.HasPrefix(p.Text, "z1 ") {
		return standin.Reply{End: "served", Value: "z1 0 0\n", After: work / 10}
	}
	return standin.Reply{End: "served", Value: "5be2a07c19f04d63", After: work}
}

// zClient is a client that speaks Z39.50.
type zClient struct {
	run  *standin.Run
	conn net.Conn
	in   *bufio.Reader
}

// dial opens a session.
func dial(r *standin.Run, address string) (*zClient, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	z := &zClient{r, conn, bufio.NewReader(conn)}
	hello := element(0xb4, element(0x83, []byte{5, 0xe0}), element(0x84, []byte{0, 0xe0}), element(0x85, []byte{0x10, 0, 0}), element(0x86, []byte{0x10, 0, 0}))
	conn.SetDeadline(time.Now().Add(owedFor))
	if _, err := conn.Write(hello); err != nil {
		return nil, err
	}
	tag, err := z.read()
	if err != nil || tag != 0xb5 {
		return nil, fmt.Errorf("answer to init: %#x, %v", tag, err)
	}
	r.Write("z39.50 client: session open")
	return z, nil
}

// ask sends a message and records what comes back.
func (z *zClient) ask(message []byte) {
	z.conn.SetDeadline(time.Now().Add(owedFor))
	_, err := z.conn.Write(message)
	z.run.Write("z39.50 client: sent %x: %v", message, err)
	tag, err := z.read()
	z.run.Write("z39.50 client: message %#x comes back, error %v", tag, err)
}

// read reads one message and returns its first byte.
func (z *zClient) read() (byte, error) {
	var head [2]byte
	if _, err := io.ReadFull(z.in, head[:]); err != nil {
		return 0, err
	}
	size := int(head[1])
	if size >= 0x80 {
		length := make([]byte, size&0x7f)
		if _, err := io.ReadFull(z.in, length); err != nil {
			return 0, err
		}
		size = 0
		for _, c := range length {
			size = size<<8 | int(c)
		}
	}
	_, err := io.CopyN(io.Discard, z.in, int64(size))
	return head[0], err
}

// searchMessage returns a search for two terms joined by "and". If it is not whole, its second operand is missing.
func searchMessage(whole bool) []byte {
	operands := [][]byte{operand("lease")}
	if whole {
		operands = append(operands, operand("tenancy"))
	}
	and := long(0xbf, 46, element(0x80, nil))
	bib1 := element(0x06, []byte{0x2a, 0x86, 0x48, 0xce, 0x13, 0x03, 0x01})
	rpn := element(0xa1, append(operands, and)...)
	query := element(0xb5, element(0xa1, bib1, rpn))
	databases := element(0xb2, long(0x9f, 105, []byte("catalogue")))
	return element(0xb6, element(0x8d, []byte{0}), element(0x8e, []byte{1}), element(0x8f, []byte{0}), element(0x90, []byte{0xff}),
		element(0x91, []byte("default")), databases, query)
}

// operand returns a term in the title.
func operand(term string) []byte {
	use := element(0x30, long(0x9f, 120, []byte{1}), long(0x9f, 121, []byte{4}))
	return element(0xa0, long(0xbf, 102, long(0xbf, 44, use), long(0x9f, 45, []byte(term))))
}

// element returns an element of the Basic Encoding Rules with a tag of one byte.
func element(tag byte, parts ...[]byte) []byte { return encode([]byte{tag}, parts) }

// long returns an element whose tag takes a second byte.
func long(first, tag byte, parts ...[]byte) []byte { return encode([]byte{first, tag}, parts) }

func encode(tag []byte, parts [][]byte) []byte {
	var body []byte
	for _, p := range parts {
		body = append(body, p...)
	}
	if len(body) >= 0x80 {
		return append(append(tag, 0x81, byte(len(body))), body...)
	}
	return append(append(tag, byte(len(body))), body...)
}
