package keys

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// testdata/recorded contains an authority and the directories of two brokers as commit 1a4b6be wrote them at recordedAt; the
// certificate of n1 is revoked. The keys are used by this test only.
var recordedAt = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// copyRecorded copies a recorded directory, and gives private keys the mode that they must have.
func copyRecorded(t *testing.T, name string) (dir string) {
	t.Helper()
	dir = filepath.Join(t.TempDir(), name)
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "recorded", name))); err != nil {
		t.Fatal(err)
	}
	private, _ := filepath.Glob(filepath.Join(dir, "*.key"))
	for _, path := range private {
		if err := os.Chmod(path, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestRecordedBrokerKeysAreRead(t *testing.T) {
	revoked := filepath.Join("testdata", "recorded", "authority", RevocationFile)
	list, err := os.ReadFile(revoked)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		id      ID
		serial  string
		revoked bool
	}{
		{ID{"site-a", "n0"}, "4c2709324904c08cf3d98bf0dd289464", false},
		{ID{"site-a", "n1"}, "295c47c3aa67ec094ce667a9982f5946", true},
	} {
		t.Run(c.id.Broker, func(t *testing.T) {
			dir := copyRecorded(t, c.id.Broker)
			k := &Keyring{dir: dir, now: func() time.Time { return recordedAt }}
			if err := k.Reload(); err != nil {
				t.Fatal(err)
			}
			leaf := k.current.Load().ownCert.Leaf
			if k.ID() != c.id || Serial(leaf) != c.serial || !k.Expiry().Equal(recordedAt.Add(24*time.Hour)) ||
				!leaf.NotBefore.Equal(recordedAt.Add(-time.Minute)) {
				t.Errorf("%v, serial %s, from %v to %v", k.ID(), Serial(leaf), leaf.NotBefore, k.Expiry())
			}
			if err := os.WriteFile(filepath.Join(dir, RevocationFile), list, 0o644); err != nil {
				t.Fatal(err)
			}
			err := k.Reload()
			var refused *CertificateError
			if errors.As(err, &refused) != c.revoked || c.revoked && (refused.Serial != c.serial || !strings.Contains(err.Error(), "revoked")) {
				t.Errorf("with the list of revoked certificates: %v", err)
			}
		})
	}
}

func TestRecordedAuthorityIsRead(t *testing.T) {
	dir := copyRecorded(t, "authority")
	ca, _, err := loadAuthority(dir, recordedAt)
	if err != nil {
		t.Fatal(err)
	}
	if ca.Subject.CommonName != "recorded authority" || !ca.IsCA || !ca.NotAfter.Equal(recordedAt.Add(48*time.Hour)) {
		t.Errorf("%v, authority %v, until %v", ca.Subject, ca.IsCA, ca.NotAfter)
	}
	c, err := Issue(dir, filepath.Join(t.TempDir(), "n2"), ID{"site-a", "n2"}, time.Hour, recordedAt)
	if err != nil || c.CheckSignatureFrom(ca) != nil {
		t.Errorf("issued by the recorded authority: %v, %v", c, err)
	}
	if err := Revoke(dir, []string{Serial(c)}, recordedAt.Add(2*time.Hour)); err != nil {
		t.Fatal(err)
	}
	all, err := ReadCertificates(filepath.Join(dir, AuthorityCert))
	if err != nil {
		t.Fatal(err)
	}
	list, err := readRevoked(filepath.Join(dir, RevocationFile), all)
	if err != nil || len(list.RevokedCertificateEntries) != 2 ||
		list.RevokedCertificateEntries[0].SerialNumber.Text(16) != "295c47c3aa67ec094ce667a9982f5946" ||
		!list.RevokedCertificateEntries[0].RevocationTime.Equal(recordedAt.Add(time.Hour)) {
		t.Errorf("revoked: %v, %v", list, err)
	}
}

// The same content is written as the same bytes. As signatures are random, only the encoding of the recorded content is compared.
func TestRecordedFilesAreWritten(t *testing.T) {
	dir := copyRecorded(t, "authority")
	_, key, err := loadAuthority(dir, recordedAt)
	if err != nil {
		t.Fatal(err)
	}
	written := filepath.Join(t.TempDir(), "written")
	write := func(name, kind string) func() error {
		return func() error {
			blocks, err := readPEM(filepath.Join(dir, name), kind)
			if err != nil {
				return err
			}
			return writeNew(written, kind, blocks[0], 0o644)
		}
	}
	for _, c := range []struct {
		name  string
		write func() error
	}{
		{AuthorityKey, func() error { return writeKey(written, key) }},
		{AuthorityCert, write(AuthorityCert, "CERTIFICATE")},
		{RevocationFile, write(RevocationFile, "X509 CRL")},
	} {
		if err := c.write(); err != nil {
			t.Fatal(err)
		}
		want, err := os.ReadFile(filepath.Join(dir, c.name))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(written); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: %q, %v, want %q", c.name, got, err, want)
		}
		if err := os.Remove(written); err != nil {
			t.Fatal(err)
		}
	}
}
