package keys

// This file holds the certificate that a broker presents in handshakes, and decides which peers it trusts.

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"time"
)

// keySet is the content of a directory of keys, as read at one time.
type keySet struct {
	ownCert tls.Certificate
	id      ID
	roots   *x509.CertPool
	revoked map[string]bool
	expiry  time.Time
}

// Keyring holds the present keySet of a directory. It may be used from any goroutine.
type Keyring struct {
	dir     string
	now     func() time.Time
	current atomic.Pointer[keySet]
}

// Open reads a directory of keys.
func Open(dir string) (*Keyring, error) {
	k := &Keyring{dir: dir, now: time.Now}
	return k, k.Reload()
}

// Reload reads the directory again. If all of it is valid, later handshakes use it; else nothing changes.
func (k *Keyring) Reload() error {
	cert, key := filepath.Join(k.dir, BrokerCert), filepath.Join(k.dir, BrokerKey)
	if err := checkPrivate(key); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	ownCert, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return fmt.Errorf("keys: %s: %w", cert, err)
	}
	leaf, err := x509.ParseCertificate(ownCert.Certificate[0])
	if err != nil {
		return fmt.Errorf("keys: %s: %w", cert, err)
	}
	ownCert.Leaf = leaf
	r := &keySet{ownCert: ownCert, roots: x509.NewCertPool(), revoked: map[string]bool{}, expiry: leaf.NotAfter}
	if r.id, err = Identity(leaf); err != nil {
		return fmt.Errorf("keys: %s: %w", cert, err)
	}
	authorities, err := ReadCertificates(filepath.Join(k.dir, AuthorityCert))
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	for _, c := range authorities {
		r.roots.AddCert(c)
	}
	list, err := readRevoked(filepath.Join(k.dir, RevocationFile), authorities)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if list != nil {
		for _, e := range list.RevokedCertificateEntries {
			r.revoked[e.SerialNumber.Text(16)] = true
		}
	}
	if err := r.verify(leaf, nil, k.now()); err != nil {
		return fmt.Errorf("keys: %s: %w", cert, err)
	}
	k.current.Store(r)
	return nil
}

// ID returns the identity of this broker.
func (k *Keyring) ID() ID { return k.current.Load().id }

// Expiry returns when the broker's own certificate expires.
func (k *Keyring) Expiry() time.Time { return k.current.Load().expiry }

// verify returns an error if a certificate is revoked, or not valid now under any of the authorities.
func (r *keySet) verify(c *x509.Certificate, chain []*x509.Certificate, now time.Time) error {
	intermediates := x509.NewCertPool()
	for _, c := range chain {
		intermediates.AddCert(c)
	}
	if r.revoked[Serial(c)] {
		return &CertificateError{Serial(c), errors.New("has been revoked")}
	}
	if _, err := c.Verify(x509.VerifyOptions{Roots: r.roots, Intermediates: intermediates, CurrentTime: now,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}); err != nil {
		return &CertificateError{Serial(c), err}
	}
	return nil
}

// verifyPeer checks the certificate of the other side of a handshake, and whether its identity is allowed.
func (k *Keyring) verifyPeer(s tls.ConnectionState, allowed func(ID) error) error {
	r := k.current.Load()
	if len(s.PeerCertificates) == 0 {
		return &CertificateError{"", errors.New("none was presented")}
	}
	if err := r.verify(s.PeerCertificates[0], s.PeerCertificates[1:], k.now()); err != nil {
		return err
	}
	id, err := Identity(s.PeerCertificates[0])
	if err == nil {
		err = allowed(id)
	}
	return err
}

// PeerID returns the identity of the other side of a connection after the handshake.
func PeerID(s tls.ConnectionState) (ID, error) {
	if len(s.PeerCertificates) == 0 {
		return ID{}, &CertificateError{"", errors.New("none was presented")}
	}
	return Identity(s.PeerCertificates[0])
}

// Server returns the TLS configuration of the side that accepts connections. allowed returns an error for an identity that may not connect.
// No session is resumed, as that would bypass later revocations.
func (k *Keyring) Server(allowed func(ID) error) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, SessionTicketsDisabled: true, ClientAuth: tls.RequireAnyClientCert,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &k.current.Load().ownCert, nil },
		VerifyConnection: func(s tls.ConnectionState) error { return k.verifyPeer(s, allowed) }}
}

// Client returns the TLS configuration of the side that dials. Host names are not verified; VerifyConnection verifies the identity and the
// certificate chain instead.
func (k *Keyring) Client(allowed func(ID) error) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true, ServerName: scheme,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &k.current.Load().ownCert, nil },
		VerifyConnection:     func(s tls.ConnectionState) error { return k.verifyPeer(s, allowed) }}
}
