package keys

// This file owns what a broker shows in a handshake and whom it trusts.

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"time"
)

// keySet is one reading of a directory.
type keySet struct {
	ownCert tls.Certificate
	id      ID
	roots   *x509.CertPool
	revoked map[string]bool
	expiry  time.Time
}

// Keyring is what a broker shows and whom it trusts. It may be used from any goroutine.
type Keyring struct {
	dir     string
	now     func() time.Time
	current atomic.Pointer[keySet]
}

// Open reads a directory.
func Open(dir string) (*Keyring, error) {
	k := &Keyring{dir: dir, now: time.Now}
	return k, k.Reload()
}

// Reload reads the directory anew. What is wrong with it changes nothing; what is right counts for handshakes from here on.
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

// ID is who this broker is.
func (k *Keyring) ID() ID { return k.current.Load().id }

// Expiry is when the broker's own certificate does.
func (k *Keyring) Expiry() time.Time { return k.current.Load().expiry }

// verify refuses a certificate that no authority vouches for now, or that is revoked.
func (r *keySet) verify(c *x509.Certificate, chain []*x509.Certificate, now time.Time) error {
	intermediates := x509.NewCertPool()
	for _, c := range chain {
		intermediates.AddCert(c)
	}
	if r.revoked[Serial(c)] {
		return &CertificateError{Serial(c), errors.New("is revoked")}
	}
	if _, err := c.Verify(x509.VerifyOptions{Roots: r.roots, Intermediates: intermediates, CurrentTime: now,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}); err != nil {
		return &CertificateError{Serial(c), err}
	}
	return nil
}

// verifyPeer checks who is at the other end of a handshake.
func (k *Keyring) verifyPeer(s tls.ConnectionState, allowed func(ID) error) error {
	r := k.current.Load()
	if len(s.PeerCertificates) == 0 {
		return &CertificateError{"", errors.New("none was shown")}
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

// PeerID is who is at the other end of a connection whose handshake is over.
func PeerID(s tls.ConnectionState) (ID, error) {
	if len(s.PeerCertificates) == 0 {
		return ID{}, &CertificateError{"", errors.New("none was shown")}
	}
	return Identity(s.PeerCertificates[0])
}

// Server is the configuration of the side that is dialled. allowed tells who may come. No session is resumed, as that would
// pass by what was revoked since.
func (k *Keyring) Server(allowed func(ID) error) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, SessionTicketsDisabled: true, ClientAuth: tls.RequireAnyClientCert,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &k.current.Load().ownCert, nil },
		VerifyConnection: func(s tls.ConnectionState) error { return k.verifyPeer(s, allowed) }}
}

// Client is the configuration of the side that dials. The name of a host means nothing here; the identity does, which
// VerifyConnection checks together with the chain.
func (k *Keyring) Client(allowed func(ID) error) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true, ServerName: scheme,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &k.current.Load().ownCert, nil },
		VerifyConnection:     func(s tls.ConnectionState) error { return k.verifyPeer(s, allowed) }}
}
