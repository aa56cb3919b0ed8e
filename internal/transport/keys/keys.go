// Package keys owns what brokers of two sites know one another by: a private authority, certificates that name a site and a
// broker, and a list of those revoked. Links use TLS 1.3 (RFC 8446) with certificates on both sides. It must never let a
// stranger past the handshake, write a private key that others can read, or end what is in hand when certificates change.
//
// An identity is the URI flaxfront://SITE/BROKER in the certificate's subject alternative names (RFC 5280, 4.2.1.6).
//
// Depends on no package of this module. Concurrency: it starts no goroutine; what several goroutines may
// use is behind a lock or an atomic value.
package keys

import (
	"crypto/x509"
	"errors"
	"net/url"
	"regexp"
	"strings"
)

// The files of a directory of keys.
const (
	AuthorityCert  = "authority.crt" // may hold several, while one follows another
	AuthorityKey   = "authority.key" // only where certificates are issued
	BrokerCert     = "broker.crt"
	BrokerKey      = "broker.key"
	RevocationFile = "revoked.crl" // may be absent

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
		return &NameError{id}
	}
	return nil
}

// Identity reads a certificate's name.
func Identity(c *x509.Certificate) (id ID, err error) {
	if len(c.URIs) != 1 || c.URIs[0].Scheme != scheme {
		return id, &CertificateError{Serial(c), errors.New("names no broker")}
	}
	id = ID{c.URIs[0].Host, strings.TrimPrefix(c.URIs[0].Path, "/")}
	return id, id.Check()
}

// Serial is a certificate's number as it is told and revoked by.
func Serial(c *x509.Certificate) string { return c.SerialNumber.Text(16) }
