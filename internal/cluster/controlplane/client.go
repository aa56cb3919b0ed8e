package controlplane

// This file owns an operator's side: a request, answered by whoever leads.

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"flaxfront/internal/transport/keys"
)

const requestInterval = 200 * time.Millisecond

// SendRequest has the leader do what a verb says. It goes on asking the voters until one answers or ctx ends. What was asked for is sent on
// once only: where the connection broke after that, whether it took effect is not known.
func SendRequest(ctx context.Context, ring *keys.Keyring, voters []Voter, verb string, r *Request, into any) error {
	body, err := json.Marshal(r)
	if err != nil {
		return err
	}
	var last error
	for i := 0; ; i++ {
		addr := voters[i%len(voters)].Addr
		for hop := 0; addr != "" && hop < 3; hop++ {
			var sent bool
			var s *responseFrame
			if s, sent, err = sendOneRequest(ctx, ring, addr, verb, body); err != nil {
				if sent && verb != VerbStatus {
					return &UncertainOutcomeError{Cause: err}
				}
				last = fmt.Errorf("%s: %w", addr, err)
				break
			}
			switch {
			case s.Error == "":
				if into == nil {
					return nil
				}
				return json.Unmarshal(s.Body, into)
			case !s.NotLeader:
				return &RejectedError{s.Error, s.Remedy}
			}
			last, addr = &RejectedError{s.Error, s.Remedy}, ""
			for _, v := range voters { // by this side's own addresses
				if v.Name == s.Leader {
					addr = v.Addr
				}
			}
		}
		select {
		case <-time.After(requestInterval):
		case <-ctx.Done():
			return errors.Join(&NotLeaderError{}, last)
		}
	}
}

func sendOneRequest(ctx context.Context, ring *keys.Keyring, addr, verb string, body []byte) (s *responseFrame, sent bool, err error) {
	nc, err := (&net.Dialer{Timeout: handshakeTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, false, err
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	own := ring.ID()
	c, err := handshake(ctx, tls.Client(nc, ring.Client(func(id keys.ID) error {
		if id.Site != own.Site {
			return fmt.Errorf("%s is not of %s", id, own.Site)
		}
		return nil
	})), helloFrame{Protocol: wireProtocol, Role: roleOperator, Name: own.Broker}, true)
	if err != nil {
		return nil, false, err
	}
	if _, err := c.netConn.Write(frame(frameRequest, requestFrame{ID: 1, Verb: verb, Body: body})); err != nil {
		return nil, true, err
	}
	for {
		letter, body, err := readFrame(c.reader, maxFrameBytes)
		if err != nil {
			return nil, true, err
		}
		if letter == frameResponse {
			m, err := decode[responseFrame](body)
			return &m, true, err
		}
	}
}
