// Package keys owns what brokers of two sites know one another by: a private authority, certificates that name a site and a
// broker, and a list of those revoked. Links use TLS 1.3 (RFC 8446) with certificates on both sides. It must never let a
// stranger past the handshake, write a private key that others can read, or end what is in hand when certificates change.
//
// An identity is the URI flaxfront://SITE/BROKER in the certificate's subject alternative names (RFC 5280, 4.2.1.6).
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// The files of a directory of keys.
const (
	AuthorityCert = "authority.crt" // may hold several, while one follows another
	AuthorityKey  = "authority.key" // only where certificates are issued
	BrokerCert    = "broker.crt"
	BrokerKey     = "broker.key"
	Revoked       = "revoked.crl" // may be absent

	scheme  = "flaxfront"
	maxFile = 1 << 20
)

var plainName = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// ID names a broker of a site.
type ID struct{ Site, Broker string }

func (id ID) String() string { return id.Site + "/" + id.Broker }

func (id ID) url() *url.URL { return &url.URL{Scheme: scheme, Host: id.Site, Path: "/" + id.Broker} }

// Check refuses names that could be read in two ways.
func (id ID) Check() error {
	if !plainName.MatchString(id.Site) || !plainName.MatchString(id.Broker) {
		return fmt.Errorf("site %q, broker %q: each is 1 to 63 of a-z, 0-9, dots and hyphens", id.Site, id.Broker)
	}
	return nil
}

// Identity reads a certificate's name.
func Identity(c *x509.Certificate) (id ID, err error) {
	if len(c.URIs) != 1 || c.URIs[0].Scheme != scheme {
		return id, fmt.Errorf("certificate %s names no broker", Serial(c))
	}
	id = ID{c.URIs[0].Host, strings.TrimPrefix(c.URIs[0].Path, "/")}
	return id, id.Check()
}

// Serial is a certificate's number as it is told and revoked by.
func Serial(c *x509.Certificate) string { return c.SerialNumber.Text(16) }

func serial() (*big.Int, error) { return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127)) }

// NewAuthority makes an authority in a directory. It refuses to replace one.
func NewAuthority(dir, name string, last time.Duration, now time.Time) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	number, err := serial()
	if err != nil {
		return err
	}
	t := &x509.Certificate{SerialNumber: number, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-time.Minute),
		NotAfter: now.Add(last), IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err == nil {
		err = writeKey(filepath.Join(dir, AuthorityKey), key)
	}
	if err == nil {
		err = writeNew(filepath.Join(dir, AuthorityCert), "CERTIFICATE", der, 0o644)
	}
	return err
}

// Issue makes a certificate with its key for a broker, in a directory of its own, by an authority. What stands there is
// replaced: a broker that runs takes it over at SIGHUP.
func Issue(authority, dir string, id ID, last time.Duration, now time.Time) (*x509.Certificate, error) {
	if err := id.Check(); err != nil {
		return nil, err
	}
	ca, key, err := signer(authority, now)
	if err != nil {
		return nil, err
	}
	number, err := serial()
	if err != nil {
		return nil, err
	}
	own, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	end := now.Add(last)
	if end.After(ca.NotAfter) {
		end = ca.NotAfter
	}
	t := &x509.Certificate{SerialNumber: number, Subject: pkix.Name{CommonName: id.String()}, URIs: []*url.URL{id.url()},
		NotBefore: now.Add(-time.Minute), NotAfter: end, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	der, err := x509.CreateCertificate(rand.Reader, t, ca, own.Public(), key)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	bundle, err := os.ReadFile(filepath.Join(authority, AuthorityCert))
	if err != nil {
		return nil, err
	}
	// The key first: a broker that reads between the two finds a pair that does not fit, and keeps the one it has.
	for _, name := range []string{BrokerKey, BrokerCert} {
		if err := os.Remove(filepath.Join(dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, err
		}
	}
	if err = writeKey(filepath.Join(dir, BrokerKey), own); err == nil {
		err = writeNew(filepath.Join(dir, BrokerCert), "CERTIFICATE", der, 0o644)
	}
	if err == nil && filepath.Clean(dir) != filepath.Clean(authority) {
		err = os.WriteFile(filepath.Join(dir, AuthorityCert), bundle, 0o644)
	}
	if err != nil {
		return nil, err
	}
	return x509.ParseCertificate(der)
}

// Revoke adds certificates, by number, to an authority's list of those revoked.
func Revoke(authority string, serials []string, now time.Time) error {
	ca, key, err := signer(authority, now)
	if err != nil {
		return err
	}
	path := filepath.Join(authority, Revoked)
	list, err := readRevoked(path, []*x509.Certificate{ca})
	if err != nil {
		return err
	}
	t := &x509.RevocationList{Number: big.NewInt(now.UnixNano()), ThisUpdate: now, NextUpdate: ca.NotAfter}
	if list != nil {
		t.RevokedCertificateEntries = list.RevokedCertificateEntries
	}
	for _, s := range serials {
		number, ok := new(big.Int).SetString(s, 16)
		if !ok {
			return fmt.Errorf("%q is no number of a certificate, which `keys show` tells", s)
		}
		t.RevokedCertificateEntries = append(t.RevokedCertificateEntries,
			x509.RevocationListEntry{SerialNumber: number, RevocationTime: now})
	}
	der, err := x509.CreateRevocationList(rand.Reader, t, ca, key)
	if err != nil {
		return err
	}
	temp := path + ".new"
	os.Remove(temp)
	if err := writeNew(temp, "X509 CRL", der, 0o644); err != nil {
		return err
	}
	return os.Rename(temp, path)
}

// signer reads an authority's certificate and key.
func signer(dir string, now time.Time) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	all, err := ReadCertificates(filepath.Join(dir, AuthorityCert))
	if err != nil {
		return nil, nil, err
	}
	path := filepath.Join(dir, AuthorityKey)
	if err := private(path); err != nil {
		return nil, nil, err
	}
	block, err := readPEM(path, "PRIVATE KEY")
	if err != nil {
		return nil, nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block[0])
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, fmt.Errorf("%s: not an ECDSA key", path)
	}
	for _, c := range all {
		if pub, ok := c.PublicKey.(*ecdsa.PublicKey); ok && pub.Equal(key.Public()) {
			if now.After(c.NotAfter) {
				return nil, nil, fmt.Errorf("%s expired on %s", path, c.NotAfter.Format(time.DateOnly))
			}
			return c, key, nil
		}
	}
	return nil, nil, fmt.Errorf("%s belongs to no certificate in %s", path, AuthorityCert)
}

func writeKey(path string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return writeNew(path, "PRIVATE KEY", der, 0o600)
}

// writeNew writes a file that must not be there yet, whatever the umask says.
func writeNew(path, kind string, der []byte, mode fs.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	err = errors.Join(f.Chmod(mode), pem.Encode(f, &pem.Block{Type: kind, Bytes: der}), f.Sync())
	return errors.Join(err, f.Close())
}

// private refuses a key that others may read.
func private(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return fmt.Errorf("%s may be read by others (mode %o); 600 is wanted", path, info.Mode().Perm())
	}
	return nil
}

func readPEM(path, kind string) (blocks [][]byte, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFile {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", path, info.Size(), maxFile)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for {
		var b *pem.Block
		if b, raw = pem.Decode(raw); b == nil {
			break
		}
		if b.Type == kind {
			blocks = append(blocks, b.Bytes)
		}
	}
	if len(blocks) == 0 {
		return nil, fmt.Errorf("%s: holds no %s", path, strings.ToLower(kind))
	}
	return blocks, nil
}

// ReadCertificates reads all certificates of a file.
func ReadCertificates(path string) (all []*x509.Certificate, err error) {
	blocks, err := readPEM(path, "CERTIFICATE")
	if err != nil {
		return nil, err
	}
	for _, b := range blocks {
		c, err := x509.ParseCertificate(b)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, c)
	}
	return all, nil
}

// readRevoked reads a list of revoked certificates, which one of the authorities must have signed; none is nil.
func readRevoked(path string, by []*x509.Certificate) (*x509.RevocationList, error) {
	blocks, err := readPEM(path, "X509 CRL")
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	list, err := x509.ParseRevocationList(blocks[0])
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if !slices.ContainsFunc(by, func(c *x509.Certificate) bool { return list.CheckSignatureFrom(c) == nil }) {
		return nil, fmt.Errorf("%s: signed by none of the authorities", path)
	}
	return list, nil
}

// ring is one reading of a directory.
type ring struct {
	own     tls.Certificate
	id      ID
	roots   *x509.CertPool
	revoked map[string]bool
	ends    time.Time
}

// Keyring is what a broker shows and whom it trusts. It may be used from any goroutine.
type Keyring struct {
	dir string
	now func() time.Time
	at  atomic.Pointer[ring]
}

// Open reads a directory.
func Open(dir string) (*Keyring, error) {
	k := &Keyring{dir: dir, now: time.Now}
	return k, k.Reload()
}

// Reload reads the directory anew. What is wrong with it changes nothing; what is right counts for handshakes from here on.
func (k *Keyring) Reload() error {
	cert, key := filepath.Join(k.dir, BrokerCert), filepath.Join(k.dir, BrokerKey)
	if err := private(key); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	own, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return fmt.Errorf("keys: %s: %w", cert, err)
	}
	leaf, err := x509.ParseCertificate(own.Certificate[0])
	if err != nil {
		return fmt.Errorf("keys: %s: %w", cert, err)
	}
	own.Leaf = leaf
	r := &ring{own: own, roots: x509.NewCertPool(), revoked: map[string]bool{}, ends: leaf.NotAfter}
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
	list, err := readRevoked(filepath.Join(k.dir, Revoked), authorities)
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
	k.at.Store(r)
	return nil
}

// ID is who this broker is.
func (k *Keyring) ID() ID { return k.at.Load().id }

// Ends is when the broker's own certificate does.
func (k *Keyring) Ends() time.Time { return k.at.Load().ends }

// verify refuses a certificate that no authority vouches for now, or that is revoked.
func (r *ring) verify(c *x509.Certificate, chain []*x509.Certificate, now time.Time) error {
	between := x509.NewCertPool()
	for _, c := range chain {
		between.AddCert(c)
	}
	if r.revoked[Serial(c)] {
		return fmt.Errorf("certificate %s is revoked", Serial(c))
	}
	_, err := c.Verify(x509.VerifyOptions{Roots: r.roots, Intermediates: between, CurrentTime: now,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	return err
}

// peer checks who is at the other end of a handshake.
func (k *Keyring) peer(s tls.ConnectionState, allowed func(ID) error) error {
	r := k.at.Load()
	if len(s.PeerCertificates) == 0 {
		return errors.New("no certificate")
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
		return ID{}, errors.New("no certificate")
	}
	return Identity(s.PeerCertificates[0])
}

// Server is the configuration of the side that is dialled. allowed tells who may come. No session is resumed, as that would
// pass by what was revoked since.
func (k *Keyring) Server(allowed func(ID) error) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, SessionTicketsDisabled: true, ClientAuth: tls.RequireAnyClientCert,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &k.at.Load().own, nil },
		VerifyConnection: func(s tls.ConnectionState) error { return k.peer(s, allowed) }}
}

// Client is the configuration of the side that dials. The name of a host means nothing here; the identity does, which
// VerifyConnection checks together with the chain.
func (k *Keyring) Client(allowed func(ID) error) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true, ServerName: scheme,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &k.at.Load().own, nil },
		VerifyConnection:     func(s tls.ConnectionState) error { return k.peer(s, allowed) }}
}
