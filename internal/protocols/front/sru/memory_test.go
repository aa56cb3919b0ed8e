package sru

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/lab/archive"
	"flaxfront/internal/server"
	"flaxfront/internal/transport/membudget"
)

const (
	testBudget     = 16 << 10
	testGuaranteed = 4 << 10
)

// limitedBroker is a broker whose fronts have little memory.
type limitedBroker struct {
	*archive.Broker
	memory server.FrontMemory
}

func (b *limitedBroker) FrontMemory() server.FrontMemory { return b.memory }

func newLimitedBroker() *limitedBroker {
	return &limitedBroker{archive.New(archive.DublinCoreRecord), server.FrontMemory{
		Requests:   membudget.New("requests", testBudget),
		Guaranteed: testGuaranteed,
		Answers:    membudget.New("answers", testBudget),
	}}
}

// waitGivenBack fails the test if a front does not give its memory back within seconds.
func (b *limitedBroker) waitGivenBack(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		requests, answers := b.memory.Requests.Counters(), b.memory.Answers.Counters()
		if requests.Used == 0 && answers.Used == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("still reserved: %+v, %+v", requests, answers)
		}
	}
}

func TestRequestsThatTakeTooMuchAreRefused(t *testing.T) {
	manyFields := "GET /?query=cat HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 512) + "\r\n"
	long := "GET /?query=" + strings.Repeat("x", testBudget) + " HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, c := range []struct {
		sent   string
		status int
	}{{manyFields, 431}, {long, 503}, {long[:len(long)-10], 503}} {
		b := newLimitedBroker()
		f := startFront(t, b)
		client := dialRaw(t, f)
		fmt.Fprint(client, c.sent)
		if status, last := client.receive(); status != c.status || !last {
			t.Errorf("%.20q... of %d bytes: status %d, want %d", c.sent, len(c.sent), status, c.status)
		}
		client.Close()
		b.waitGivenBack(t)
		other := dialRaw(t, f)
		other.send()
		if status, _ := other.receive(); status != 200 {
			t.Errorf("another client's query after that: status %d", status)
		}
	}
}

func TestManyRequestsOfOneConnectionTakeTheMemoryOfOne(t *testing.T) {
	b := newLimitedBroker()
	client := dialRaw(t, startFront(t, b))
	for range 2 * testBudget / 100 {
		client.send()
		if status, last := client.receive(); status != 200 || last {
			t.Fatalf("status %d, last %v", status, last)
		}
	}
	client.Close()
	b.waitGivenBack(t)
}

// Guards against result sets of new clients, each with one of its own, being kept beyond the limit on their bytes.
func TestSetsOfNewClientsAreBounded(t *testing.T) {
	const limit, clients = 1 << 20, 60
	o := operator.Default().SRU
	o.Listen, o.Bytes = "127.0.0.1:0", limit
	f := serveFront(t, archive.New(func(int, int) string { return "<dc>" + strings.Repeat("d", 6000) + "</dc>" }), o)
	for i := range clients {
		c := dialRaw(t, f)
		fmt.Fprintf(c, "GET /?query=cat HTTP/1.1\r\nHost: x\r\nCookie: user=client%d\r\n\r\n", i)
		if status, _ := c.receive(); status != 200 {
			t.Fatalf("client %d: status %d", i, status)
		}
		c.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sets.Counts.Bytes > limit || f.sets.Counts.Kept == 0 || f.sets.Counts.Created != clients {
		t.Errorf("with %d clients, of a limit of %d bytes: %+v", clients, limit, f.sets.Counts)
	}
}

// Guards against memory that stays reserved for requests which a client has sent ahead and left behind.
func TestRequestsSentAheadGiveTheirMemoryBack(t *testing.T) {
	b := newLimitedBroker()
	f := startFront(t, b)
	hold := make(chan struct{})
	b.Update(func(b *archive.Broker) { b.Gate = hold })
	client := dialRaw(t, f)
	fmt.Fprint(client, strings.Repeat("GET /?query=cat HTTP/1.1\r\nHost: x\r\n\r\n", 80))
	for b.Queries() == 0 {
		time.Sleep(time.Millisecond)
	}
	client.Close()
	b.waitGivenBack(t)
	close(hold)
}
