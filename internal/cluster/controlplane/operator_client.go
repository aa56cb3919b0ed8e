package controlplane

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"flaxfront/internal/transport/keys"
)

const (
	requestInterval = 200 * time.Millisecond
	maxRedirectHops = 3
)

// SendRequest sends an operator's request to the leader, and decodes the JSON response into a value unless that is nil. It tries the voters
// in turn until the leader responds or ctx ends. A request is carried out at most once: if its connection breaks after it was sent, it is
// not repeated, and the error is an *UncertainOutcomeError. Only VerbStatus, which changes nothing, is repeated.
func SendRequest(ctx context.Context, ring *keys.Keyring, voters []Voter, verb string, request *Request, into any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	client := &operatorClient{ring: ring, voters: voters, verb: verb, body: body}
	for i := 0; ; i++ {
		done, err := client.tryVoter(ctx, voters[i%len(voters)].Addr, into)
		if done {
			return err
		}
		select {
		case <-time.After(requestInterval):
		case <-ctx.Done():
			return errors.Join(&NotLeaderError{}, err)
		}
	}
}

type operatorClient struct {
	ring   *keys.Keyring
	voters []Voter
	verb   string
	body   []byte
}

// tryVoter sends the request to a voter, or to the leader that the voter names. done reports that the request was answered or may have been
// carried out, so that it must not be sent again.
func (o *operatorClient) tryVoter(ctx context.Context, addr string, into any) (done bool, err error) {
	for range maxRedirectHops {
		if addr == "" {
			return false, err
		}
		response, sent, sendErr := o.sendTo(ctx, addr)
		if sendErr != nil {
			if sent && o.verb != VerbStatus {
				return true, &UncertainOutcomeError{Cause: sendErr}
			}
			return false, fmt.Errorf("%s: %w", addr, sendErr)
		}
		if response.Error == "" {
			return true, response.decodeInto(into)
		}
		err = &RejectedError{Message: response.Error, Advice: response.Remedy}
		if !response.NotLeader {
			return true, err
		}
		addr = o.addrOf(response.Leader)
	}
	return false, err
}

// addrOf returns a voter's address from the client's own list, or an empty string if the voter is not listed.
func (o *operatorClient) addrOf(name string) string {
	i := slices.IndexFunc(o.voters, func(v Voter) bool { return v.Name == name })
	if i < 0 {
		return ""
	}
	return o.voters[i].Addr
}

func (r *responseFrame) decodeInto(value any) error {
	if value == nil {
		return nil
	}
	return json.Unmarshal(r.Body, value)
}

// sendTo sends the request over a new connection and waits for the response. sent is false if the request certainly did not arrive.
func (o *operatorClient) sendTo(ctx context.Context, addr string) (response *responseFrame, sent bool, err error) {
	netConn, err := (&net.Dialer{Timeout: handshakeTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, false, err
	}
	defer netConn.Close()
	stop := context.AfterFunc(ctx, func() { netConn.Close() })
	defer stop()
	hello := helloFrame{Protocol: wireProtocol, Role: roleOperator, Name: o.ring.ID().Broker}
	c, err := handshake(ctx, tls.Client(netConn, o.ring.Client(siteCheck(o.ring))), hello, dialling)
	if err != nil {
		return nil, false, err
	}
	if _, err := c.netConn.Write(encodeFrame(frameRequest, requestFrame{ID: 1, Verb: o.verb, Body: o.body})); err != nil {
		return nil, true, err
	}
	for {
		kind, body, err := readFrame(c.reader, maxFrameBytes)
		if err != nil {
			return nil, true, err
		}
		if kind == frameResponse {
			decoded, err := decode[responseFrame](body)
			return &decoded, true, err
		}
	}
}
