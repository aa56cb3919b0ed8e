package keys

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var now = time.Now()

// newAuthorityAndBrokers creates an authority, and directories of keys for some brokers.
func newAuthorityAndBrokers(t *testing.T, ids ...ID) (dir string, dirs map[ID]string) {
	t.Helper()
	dir, dirs = t.TempDir(), map[ID]string{}
	if err := NewAuthority(filepath.Join(dir, "ca"), "test", 48*time.Hour, now); err != nil {
		t.Fatal(err)
	}
	for _, id := range ids {
		dirs[id] = filepath.Join(dir, id.Site+"-"+id.Broker)
		if _, err := Issue(filepath.Join(dir, "ca"), dirs[id], id, time.Hour, now); err != nil {
			t.Fatal(err)
		}
	}
	return dir, dirs
}

// handshake performs a handshake and returns the error of each side.
func handshake(server, client *Keyring, atServer, atClient func(ID) error) (serverErr, clientErr error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err, err
	}
	defer ln.Close()
	done := make(chan error, 1)
	go func() {
		a, err := ln.Accept()
		if err != nil {
			done <- err
			return
		}
		s := tls.Server(a, server.Server(atServer))
		if err = s.Handshake(); err == nil {
			_, err = s.Write([]byte("x"))
		}
		a.Close()
		done <- err
	}()
	b, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		return err, err
	}
	c := tls.Client(b, client.Client(atClient))
	_, clientErr = c.Read(make([]byte, 1)) // in TLS 1.3 the server's rejection arrives after the client's handshake
	b.Close()
	return <-done, clientErr
}

func any(ID) error { return nil }

func mustOpen(t *testing.T, dir string) *Keyring {
	t.Helper()
	k, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// Two brokers of one authority complete a handshake. It fails with a certificate of another authority, of a site that is not allowed, or that
// is expired or revoked.
func TestHandshakeChecksCertificates(t *testing.T) {
	a, b := ID{"site-a", "n0"}, ID{"site-b", "n1"}
	dir, dirs := newAuthorityAndBrokers(t, a, b)
	_, otherAuthority := newAuthorityAndBrokers(t, b)
	ka, kb := mustOpen(t, dirs[a]), mustOpen(t, dirs[b])
	if s, c := handshake(ka, kb, any, any); s != nil || c != nil || ka.ID() != a {
		t.Fatal(s, c)
	}
	if s, c := handshake(ka, mustOpen(t, otherAuthority[b]), any, any); s == nil || c == nil {
		t.Errorf("certificate of another authority: %v, %v", s, c)
	}
	onlyC := func(id ID) error {
		if id.Site != "site-c" {
			return fmt.Errorf("%s came", id)
		}
		return nil
	}
	if s, c := handshake(ka, kb, onlyC, any); s == nil || c == nil || !strings.Contains(s.Error(), "site-b/n1 came") {
		t.Errorf("site that the server does not allow: %v, %v", s, c)
	}
	if s, c := handshake(ka, kb, any, onlyC); s == nil || c == nil {
		t.Errorf("site that the client does not allow: %v, %v", s, c)
	}
	later := &Keyring{dir: ka.dir, now: func() time.Time { return now.Add(2 * time.Hour) }}
	later.current.Store(ka.current.Load())
	if s, _ := handshake(later, kb, any, any); s == nil || !strings.Contains(s.Error(), "expired") {
		t.Errorf("expired certificate: %v", s)
	}
	if err := later.Reload(); err == nil || !strings.Contains(err.Error(), "expired") {
		t.Errorf("own certificate expired: %v", err)
	}
	ca := filepath.Join(dir, "ca")
	if err := Revoke(ca, []string{Serial(kb.current.Load().ownCert.Leaf)}, now); err != nil {
		t.Fatal(err)
	}
	list, _ := os.ReadFile(filepath.Join(ca, RevocationFile))
	os.WriteFile(filepath.Join(dirs[a], RevocationFile), list, 0o644)
	if err := ka.Reload(); err != nil {
		t.Fatal(err)
	}
	if s, c := handshake(ka, kb, any, any); s == nil || c == nil || !strings.Contains(s.Error(), "revoked") {
		t.Errorf("revoked certificate: %v, %v", s, c)
	}
	if err := Revoke(ca, []string{"zz"}, now); err == nil {
		t.Error("Revoke accepted an invalid serial number")
	}
}

// Certificates of a running broker are replaced: a new one is used from the next handshake on, an invalid one changes nothing,
// and while one authority replaces another both are trusted.
func TestRotation(t *testing.T) {
	a, b := ID{"site-a", "n0"}, ID{"site-b", "n1"}
	dir, dirs := newAuthorityAndBrokers(t, a, b)
	ka, kb := mustOpen(t, dirs[a]), mustOpen(t, dirs[b])
	before := ka.Expiry()
	if _, err := Issue(filepath.Join(dir, "ca"), dirs[a], a, 3*time.Hour, now); err != nil {
		t.Fatal(err)
	}
	if err := ka.Reload(); err != nil || !ka.Expiry().After(before) {
		t.Fatal(err, ka.Expiry())
	}
	if s, c := handshake(ka, kb, any, any); s != nil || c != nil {
		t.Fatal(s, c)
	}
	os.WriteFile(filepath.Join(dirs[a], BrokerCert), []byte("-----BEGIN"), 0o644)
	if err := ka.Reload(); err == nil {
		t.Error("Reload accepted a truncated certificate")
	}
	if s, c := handshake(ka, kb, any, any); s != nil || c != nil {
		t.Errorf("handshake after an invalid certificate: %v, %v", s, c)
	}
	// b moves to a second authority; a trusts both meanwhile.
	next := filepath.Join(dir, "next")
	if err := NewAuthority(next, "next", 48*time.Hour, now); err != nil {
		t.Fatal(err)
	}
	if _, err := Issue(next, dirs[b], b, time.Hour, now); err != nil {
		t.Fatal(err)
	}
	one, _ := os.ReadFile(filepath.Join(dir, "ca", AuthorityCert))
	two, _ := os.ReadFile(filepath.Join(next, AuthorityCert))
	for _, d := range []string{dirs[a], dirs[b]} {
		os.WriteFile(filepath.Join(d, AuthorityCert), append(one, two...), 0o644)
	}
	if _, err := Issue(filepath.Join(dir, "ca"), dirs[a], a, time.Hour, now); err != nil {
		t.Fatal(err)
	}
	os.WriteFile(filepath.Join(dirs[a], AuthorityCert), append(one, two...), 0o644)
	if err := errors.Join(ka.Reload(), kb.Reload()); err != nil {
		t.Fatal(err)
	}
	if s, c := handshake(ka, kb, any, any); s != nil || c != nil {
		t.Errorf("handshake between brokers of two authorities: %v, %v", s, c)
	}
}

// Keys that others may read, ambiguous names, and a directory that already has an authority are rejected.
func TestInvalidInput(t *testing.T) {
	a := ID{"site-a", "n0"}
	dir, dirs := newAuthorityAndBrokers(t, a)
	ca := filepath.Join(dir, "ca")
	os.Chmod(filepath.Join(dirs[a], BrokerKey), 0o644)
	if _, err := Open(dirs[a]); err == nil || !strings.Contains(err.Error(), "read by others") {
		t.Error(err)
	}
	for _, path := range []string{filepath.Join(ca, AuthorityKey)} {
		if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("%s: %v, %v", path, info.Mode(), err)
		}
	}
	if err := NewAuthority(ca, "again", time.Hour, now); err == nil {
		t.Error("NewAuthority replaced an authority")
	}
	for _, id := range []ID{{"", "n"}, {"a", ""}, {"A", "n"}, {"a/b", "n"}, {"a", "n/x"}, {"-a", "n"}, {"a", strings.Repeat("n", 64)}} {
		if _, err := Issue(ca, filepath.Join(dir, "x"), id, time.Hour, now); err == nil {
			t.Errorf("issued a certificate to the invalid name %q", id)
		}
	}
	if _, err := Issue(ca, filepath.Join(dir, "x"), a, time.Hour, now.Add(72*time.Hour)); err == nil || !strings.Contains(err.Error(), "expired") {
		t.Errorf("certificate issued by an expired authority: %v", err)
	}
	if c, err := Issue(ca, filepath.Join(dir, "x"), a, 1000*time.Hour, now); err != nil || c.NotAfter.After(now.Add(49*time.Hour)) {
		t.Errorf("certificate expires at %v, after its authority, or error %v", c.NotAfter, err)
	}
}

func FuzzIdentity(f *testing.F) {
	f.Add("site-a", "n0")
	f.Add("a%2fb", "../n")
	f.Fuzz(func(t *testing.T, site, name string) {
		id := ID{site, name}
		if id.Check() != nil {
			return
		}
		if u := id.url(); u.Host != site || u.Path != "/"+name || u.String() != scheme+"://"+site+"/"+name {
			t.Errorf("%q has the URI %q", id, u)
		}
	})
}
