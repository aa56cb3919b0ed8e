package controlplane

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"time"

	"flaxfront/internal/transport/keys"
)

const (
	handshakeTimeout = 2 * time.Second
	readBufferBytes  = 32 << 10
)

// side is the role of this process in opening a connection. The dialling side sends its hello first.
type side uint8

const (
	dialling side = iota
	accepting
)

// handshake performs the TLS handshake, exchanges hellos and checks the peer's against its certificate.
func handshake(ctx context.Context, netConn *tls.Conn, own helloFrame, s side) (*conn, error) {
	netConn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := netConn.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	id, err := keys.PeerID(netConn.ConnectionState())
	if err != nil {
		return nil, err
	}
	c := &conn{
		netConn:      netConn,
		reader:       bufio.NewReaderSize(netConn, readBufferBytes),
		dialled:      s == dialling,
		writerSignal: make(chan struct{}, 1),
	}
	if err := c.exchangeHellos(own); err != nil {
		return nil, err
	}
	if err := c.checkPeer(id); err != nil {
		return nil, err
	}
	netConn.SetDeadline(time.Time{})
	return c, nil
}

func (c *conn) exchangeHellos(own helloFrame) error {
	if c.dialled {
		if err := c.sendHello(own); err != nil {
			return err
		}
	}
	kind, body, err := readFrame(c.reader, maxHelloBytes)
	if err != nil {
		return err
	}
	if !c.dialled {
		if err := c.sendHello(own); err != nil {
			return err
		}
	}
	if kind != frameHello {
		return &FrameError{Reason: fmt.Sprintf("first frame is of kind %q, not a hello", kind)}
	}
	c.peer, err = decode[helloFrame](body)
	return err
}

func (c *conn) sendHello(own helloFrame) error {
	_, err := c.netConn.Write(encodeFrame(frameHello, own))
	return err
}

// checkPeer checks the peer's hello: its name must be that of the peer's certificate.
func (c *conn) checkPeer(id keys.ID) error {
	if c.peer.Protocol < 1 || c.peer.Name != id.Broker || len(c.peer.Listen) > maxNameBytes {
		return &FrameError{Reason: fmt.Sprintf("hello by %q, protocol %d, with the certificate of %s", c.peer.Name, c.peer.Protocol, id)}
	}
	return nil
}

// siteCheck returns a check of peers' certificates that admits only peers of the keyring's own site.
func siteCheck(ring *keys.Keyring) func(keys.ID) error {
	return func(id keys.ID) error {
		own := ring.ID()
		if id.Site != own.Site {
			return &OtherSiteError{Peer: id, Own: own}
		}
		return nil
	}
}
