// Case 3: clients of the SRU front ask once and hold their connections; then one more client asks.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"flaxfront/review/standin"
)

func main() { standin.Main("3", play) }

const (
	holders  = 64                     // clients that ask once and hold their connection; the front's default of clients
	work     = 100 * time.Millisecond // of a part at a node
	deadline = 4 * time.Second        // the client timeout of the front's query type
	slack    = 500 * time.Millisecond // an answer that comes later than this after its time is lost
)

func play(r *standin.Run) (int, error) {
	address, err := start(r)
	if err != nil {
		return 0, err
	}
	for i := range holders {
		status, took, err := ask(r, address, fmt.Sprintf("holder%d", i), !r.Trouble)
		if status != http.StatusOK {
			return 0, fmt.Errorf("client %d got status %d after %v: %v", i, status, took, err)
		}
	}
	status, took, err := ask(r, address, "last", true)
	return r.Verdict(status == 0, "a search that came after %d others (whose clients held their connections: %v) got status %d after %v, %v; its time is %v",
		holders, r.Trouble, status, took.Round(time.Millisecond), err, deadline), nil
}

// ask sends one search on a new connection, and closes that or holds it. A status of 0 means that no answer came within the search's time and
// the slack.
func ask(r *standin.Run, address, user string, closing bool) (status int, took time.Duration, err error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/catalogue?operation=searchRetrieve&version=1.2&query=lease&maximumRecords=1", nil)
	if err != nil {
		return 0, 0, err
	}
	request.AddCookie(&http.Cookie{Name: "user", Value: user})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: closing}, Timeout: deadline + slack}
	r.Write("sru client %s: search sent", user)
	began := time.Now()
	response, err := client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		status = response.StatusCode
	}
	took = time.Since(began)
	r.Write("sru client %s: status %d after %d ms, error %v; connection held: %v", user, status, took.Milliseconds(), err, !closing)
	return status, took, err
}

func start(r *standin.Run) (string, error) {
	var list []standin.Instance
	for i := range 12 {
		n, err := r.NewNode(standin.Instance{ID: fmt.Sprintf("s-%08x", 0x5be2a000+i), Zone: []string{"westlands", "mombasa-rd"}[i%2], Kind: "small-2c",
			Cell: i % 3, Lifecycle: standin.Ready, Weight: 1}, answer)
		if err != nil {
			return "", err
		}
		list = append(list, n.Instance)
	}
	discovery, err := r.NewDiscovery(list)
	if err != nil {
		return "", err
	}
	listen, err1 := standin.FreeTCP()
	address, err2 := standin.FreeTCP()
	peer, err3 := standin.FreeUDP()
	if err1 != nil || err2 != nil || err3 != nil {
		return "", fmt.Errorf("no free ports: %v %v %v", err1, err2, err3)
	}
	config := standin.Config("n0", listen, discovery.Address, []string{peer}, 0, discovery.List(), standin.Nairobi(1, 0))
	broker, err := r.NewBroker("n0", config, fmt.Sprintf(`{"sru": {"listen": %q, "type": "doc-find"}}`, address))
	if err != nil {
		return "", err
	}
	return address, broker.Start()
}

// answer serves each part: the catalogue has no such record.
func answer(_ *standin.Node, p *standin.Part) standin.Reply {
	if !strings.HasPrefix(p.Text, "z1 ") {
		return standin.Reply{End: "broke"}
	}
	return standin.Reply{End: "served", Value: "z1 0 0\n", After: work}
}
