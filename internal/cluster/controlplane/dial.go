package controlplane

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"time"
)

const (
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = time.Second
	stableAfter    = 2 * time.Second // after a connection that lasted this long, the backoff starts again from its minimum
	maxSources     = 64              // addresses that wait to be tried
)

// dial opens a connection to another broker of the site, handshake included.
func (p *Participant) dial(ctx context.Context, addr string) (*conn, error) {
	limited, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	netConn, err := p.options.Dial(limited, addr)
	if err != nil {
		return nil, err
	}
	config := p.options.Keys.Client(siteCheck(p.options.Keys))
	c, err := handshake(limited, tls.Client(netConn, config), p.ownHello(), dialling)
	if err != nil {
		netConn.Close()
	}
	return c, err
}

// maintainVoterConn keeps a connection to another voter until ctx ends: it dials again, with backoff, whenever the connection ends.
func (p *Participant) maintainVoterConn(ctx context.Context, voter Voter) {
	backoff := minDialBackoff
	for ctx.Err() == nil {
		begun := time.Now()
		if p.serveVoter(ctx, voter) && time.Since(begun) > stableAfter {
			backoff = minDialBackoff
		}
		if !waitBackoff(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, maxDialBackoff)
	}
}

// serveVoter dials a voter and serves the connection until it ends. It returns false if there was no connection to that voter.
func (p *Participant) serveVoter(ctx context.Context, voter Voter) bool {
	c, err := p.dial(ctx, voter.Addr)
	if err != nil {
		return false
	}
	if c.peer.Name != voter.Name {
		slog.Warn("another broker answers at a voter's address", "component", component, "address", voter.Addr,
			"voter", voter.Name, "broker", c.peer.Name)
		c.close()
		return false
	}
	c.toVoter = true
	p.serveConn(ctx, c)
	return true
}

// waitBackoff waits for a random time of 0.5 to 1.5 times backoff, so that brokers that lost the same peer do not dial it at the same
// moment. It returns false if ctx has ended.
func waitBackoff(ctx context.Context, backoff time.Duration) bool {
	select {
	case <-time.After(backoff/2 + rand.N(backoff)):
		return true
	case <-ctx.Done():
		return false
	}
}

// followSource follows one source after another until ctx ends: those of the options in random order, and those named by the redirect of
// a source that is full.
func (p *Participant) followSource(ctx context.Context) {
	backoff := minDialBackoff
	var next []string
	for ctx.Err() == nil {
		if len(next) == 0 {
			next = p.shuffledSources()
		}
		addr := next[0]
		next = next[1:]
		begun := time.Now()
		if c, err := p.dial(ctx, addr); err == nil {
			p.serveConn(ctx, c)
			if len(c.otherSources) > 0 { // written by the loop before the connection ended
				next = append(c.otherSources, next...)
				next = next[:min(len(next), maxSources)]
				continue
			}
		}
		if time.Since(begun) > stableAfter {
			backoff = minDialBackoff
			next = nil
		}
		if len(next) > 0 {
			continue
		}
		if !waitBackoff(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, maxDialBackoff)
	}
}

func (p *Participant) shuffledSources() []string {
	sources := append([]string(nil), p.options.Sources...)
	rand.Shuffle(len(sources), func(i, j int) { sources[i], sources[j] = sources[j], sources[i] })
	return sources
}
