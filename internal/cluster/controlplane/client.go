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

const askEvery = 200 * time.Millisecond

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
			var s *said
			if s, sent, err = askOne(ctx, ring, addr, verb, body); err != nil {
				if sent && verb != VerbStatus {
					return &UncertainOutcomeError{Cause: err}
				}
				last = fmt.Errorf("%s: %w", addr, err)
				break
			}
			switch {
			case s.Fault == "":
				if into == nil {
					return nil
				}
				return json.Unmarshal(s.Body, into)
			case !s.Elsewhere:
				return &RejectedError{s.Fault, s.Remedy}
			}
			last, addr = &RejectedError{s.Fault, s.Remedy}, ""
			for _, v := range voters { // by this side's own addresses
				if v.Name == s.Leader {
					addr = v.Addr
				}
			}
		}
		select {
		case <-time.After(askEvery):
		case <-ctx.Done():
			return errors.Join(&NotLeaderError{}, last)
		}
	}
}

func askOne(ctx context.Context, ring *keys.Keyring, addr, verb string, body []byte) (s *said, sent bool, err error) {
	nc, err := (&net.Dialer{Timeout: handshake}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, false, err
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	own := ring.ID()
	c, err := shake(ctx, tls.Client(nc, ring.Client(func(id keys.ID) error {
		if id.Site != own.Site {
			return fmt.Errorf("%s is not of %s", id, own.Site)
		}
		return nil
	})), hello{Protocol: protocol, Role: roleOperator, Name: own.Broker}, true)
	if err != nil {
		return nil, false, err
	}
	if _, err := c.nc.Write(frame(letterAsk, ask{ID: 1, Verb: verb, Body: body})); err != nil {
		return nil, true, err
	}
	for {
		letter, body, err := readFrame(c.r, maxFrame)
		if err != nil {
			return nil, true, err
		}
		if letter == letterSaid {
			m, err := decode[said](body)
			return &m, true, err
		}
	}
}
