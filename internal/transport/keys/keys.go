// Package keys authenticates brokers of different sites to one another: by a private authority, certificates that name a site and a broker,
// and a list of revoked certificates. Links use TLS 1.3 (RFC 8446) with certificates on both sides. The package must never let an
// unauthenticated peer past the handshake, write a private key that others can read, or end connections when certificates change.
//
// An identity is the URI flaxfront://SITE/BROKER in the certificate's subject alternative names (RFC 5280, 4.2.1.6).
//
// Depends on no package of this module. Concurrency: it starts no goroutine; what several goroutines may
// use is protected by a lock or an atomic value.
package keys

import (
	"crypto/x509"
	"errors"
	"net/url"
	"regexp"
	"strings"
)

// The files in a directory of keys.
const (
	AuthorityCert  = "authority.crt" // may contain several certificates, while one authority replaces another
	AuthorityKey   = "authority.key" // only in an authority's directory
	BrokerCert     = "broker.crt"
	BrokerKey      = "broker.key"
	RevocationFile = "revoked.crl" // optional

	scheme  = "flaxfront"
	maxFile = 1 << 20
)

var plainName = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// ID identifies a broker of a site.
type ID struct{ Site, Broker string }

func (id ID) String() string { return id.Site + "/" + id.Broker }

func (id ID) url() *url.URL { return &url.URL{Scheme: scheme, Host: id.Site, Path: "/" + id.Broker} }

// Check returns an error if a name is invalid, and so possibly ambiguous in the URI.
func (id ID) Check() error {
	if !plainName.MatchString(id.Site) || !plainName.MatchString(id.Broker) {
		return &NameError{id}
	}
	return nil
}

// Identity returns the broker that a certificate names.
func Identity(c *x509.Certificate) (id ID, err error) {
	if len(c.URIs) != 1 || c.URIs[0].Scheme != scheme {
		return id, &CertificateError{Serial(c), errors.New("does not name a broker")}
	}
	id = ID{c.URIs[0].Host, strings.TrimPrefix(c.URIs[0].Path, "/")}
	return id, id.Check()
}

// Serial returns a certificate's serial number in hexadecimal, as it is printed and as Revoke takes it.
func Serial(c *x509.Certificate) string { return c.SerialNumber.Text(16) }
