package keys

// This file reads and writes keys, certificates and revocation lists.

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"
)

func writeKey(path string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return writeNew(path, "PRIVATE KEY", der, 0o600)
}

// writeNew writes a file that must not exist yet, with this mode whatever the umask is.
func writeNew(path, kind string, der []byte, mode fs.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	err = errors.Join(f.Chmod(mode), pem.Encode(f, &pem.Block{Type: kind, Bytes: der}), f.Sync())
	return errors.Join(err, f.Close())
}

// checkPrivate returns an error if others may read a key file.
func checkPrivate(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return &ExposedKeyError{path, info.Mode().Perm()}
	}
	return nil
}

func readPEM(path, kind string) (blocks [][]byte, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFile {
		return nil, &FileError{path, fmt.Errorf("file has %d bytes, more than the maximum %d", info.Size(), maxFile)}
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
		return nil, &FileError{path, fmt.Errorf("contains no %s", strings.ToLower(kind))}
	}
	return blocks, nil
}

// ReadCertificates returns all certificates in a file.
func ReadCertificates(path string) (all []*x509.Certificate, err error) {
	blocks, err := readPEM(path, "CERTIFICATE")
	if err != nil {
		return nil, err
	}
	for _, b := range blocks {
		c, err := x509.ParseCertificate(b)
		if err != nil {
			return nil, &FileError{path, err}
		}
		all = append(all, c)
	}
	return all, nil
}

// readRevoked reads a revocation list, which one of the authorities must have signed. It returns nil if the file does not exist.
func readRevoked(path string, authorities []*x509.Certificate) (*x509.RevocationList, error) {
	blocks, err := readPEM(path, "X509 CRL")
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	list, err := x509.ParseRevocationList(blocks[0])
	if err != nil {
		return nil, &FileError{path, err}
	}
	if !slices.ContainsFunc(authorities, func(c *x509.Certificate) bool { return list.CheckSignatureFrom(c) == nil }) {
		return nil, &FileError{path, errors.New("revocation list is not signed by any of the authorities")}
	}
	return list, nil
}
