package keys

// This file creates authorities, and issues and revokes certificates.

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"
)

func newSerial() (*big.Int, error) {
	return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
}

// NewAuthority creates an authority in a directory. It does not replace an existing one.
func NewAuthority(dir, name string, lifetime time.Duration, now time.Time) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	number, err := newSerial()
	if err != nil {
		return err
	}
	t := &x509.Certificate{SerialNumber: number, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-time.Minute),
		NotAfter: now.Add(lifetime), IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
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

// Issue issues a certificate for a broker by an authority, and writes it with its key to the broker's directory. Existing files there are
// replaced; a running broker uses the new ones after SIGHUP. The certificate expires no later than the authority's.
func Issue(authority, dir string, id ID, lifetime time.Duration, now time.Time) (*x509.Certificate, error) {
	if err := id.Check(); err != nil {
		return nil, err
	}
	ca, key, err := loadAuthority(authority, now)
	if err != nil {
		return nil, err
	}
	number, err := newSerial()
	if err != nil {
		return nil, err
	}
	brokerKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	end := now.Add(lifetime)
	if end.After(ca.NotAfter) {
		end = ca.NotAfter
	}
	t := &x509.Certificate{SerialNumber: number, Subject: pkix.Name{CommonName: id.String()}, URIs: []*url.URL{id.url()},
		NotBefore: now.Add(-time.Minute), NotAfter: end, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	der, err := x509.CreateCertificate(rand.Reader, t, ca, brokerKey.Public(), key)
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
	// The key is written first: a broker that reloads in between finds a key and certificate that do not match, and keeps its present ones.
	for _, name := range []string{BrokerKey, BrokerCert} {
		if err := os.Remove(filepath.Join(dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, err
		}
	}
	if err = writeKey(filepath.Join(dir, BrokerKey), brokerKey); err == nil {
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

// Revoke adds certificates, by serial number, to an authority's revocation list.
func Revoke(authority string, serials []string, now time.Time) error {
	ca, key, err := loadAuthority(authority, now)
	if err != nil {
		return err
	}
	path := filepath.Join(authority, RevocationFile)
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
			return fmt.Errorf("%q is not a certificate's serial number, which `keys show` prints", s)
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

// loadAuthority returns an authority's certificate and key.
func loadAuthority(dir string, now time.Time) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	all, err := ReadCertificates(filepath.Join(dir, AuthorityCert))
	if err != nil {
		return nil, nil, err
	}
	path := filepath.Join(dir, AuthorityKey)
	if err := checkPrivate(path); err != nil {
		return nil, nil, err
	}
	block, err := readPEM(path, "PRIVATE KEY")
	if err != nil {
		return nil, nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block[0])
	if err != nil {
		return nil, nil, &FileError{path, err}
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, &FileError{path, errors.New("not an ECDSA key")}
	}
	for _, c := range all {
		if pub, ok := c.PublicKey.(*ecdsa.PublicKey); ok && pub.Equal(key.Public()) {
			if now.After(c.NotAfter) {
				return nil, nil, &CertificateError{Serial(c), fmt.Errorf("the authority in %s expired on %s", dir, c.NotAfter.Format(time.DateOnly))}
			}
			return c, key, nil
		}
	}
	return nil, nil, &FileError{path, errors.New("belongs to no certificate in " + AuthorityCert)}
}
