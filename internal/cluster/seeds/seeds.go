// Package seeds stores the addresses of a tier's members on disk, so that a restarted broker finds the others even if the seed
// addresses in its configuration no longer exist.
//
// The file has one ADDRESS:PORT per line. It is written to a temporary file in the same directory (.seeds-*), synced and renamed, so that
// a crash leaves either the old or the new file. The directory is not synced: a crash may undo the rename, which leaves the older addresses.
//
// A broker calls Load once, when it starts, and passes the members' addresses to a Writer whenever they change.
package seeds

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
)

const (
	maxAddresses = 1000
	maxFileBytes = 64 << 10
)

// Load returns the addresses in a file, or none if the file does not exist. If any part of the file can't be read or parsed, it returns
// no addresses and a *FileError.
func Load(path string) ([]netip.AddrPort, error) {
	content, err := readFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &FileError{File: path, Err: err}
	}
	empty := len(content) == 0 || string(content) == "\n"
	if empty {
		return nil, nil
	}
	var addresses []netip.AddrPort
	lines := bytes.Split(bytes.TrimSuffix(content, []byte{'\n'}), []byte{'\n'})
	for i, line := range lines {
		address, err := parseLine(line)
		if err == nil && len(addresses) == maxAddresses {
			err = fmt.Errorf("%w: at most %d are accepted", errTooMany, maxAddresses)
		}
		if err != nil {
			return nil, &FileError{File: path, Line: i + 1, Err: err}
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// readFile reads a file of at most maxFileBytes.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%w: it has %d bytes, at most %d are accepted", errTooLarge, info.Size(), maxFileBytes)
	}
	return os.ReadFile(path)
}

func parseLine(line []byte) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(string(line))
	if err != nil || address.Port() == 0 {
		return netip.AddrPort{}, fmt.Errorf("%.60q %w", line, errNotAddress)
	}
	return address, nil
}
