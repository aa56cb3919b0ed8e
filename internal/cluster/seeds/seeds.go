// Package seeds stores the addresses of a tier's members on disk, so that a broker that starts again finds the others although the
// seeds of its configuration are gone.
//
// The file has one ADDRESS:PORT a line. It is written whole under another name in the same directory (.seeds-*), synced and renamed, so
// that a crash leaves the file before or the new one; the rename itself may be lost, which costs no more than older addresses.
//
// A broker reads the file once, at its start, with Load, and hands the members to a Writer whenever they change.
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

// Load reads the addresses of a file; there are none where there is no file. From a file that can't be read whole it takes none, and
// returns *FileError.
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
			err = fmt.Errorf("%w: %d at most", errTooMany, maxAddresses)
		}
		if err != nil {
			return nil, &FileError{File: path, Line: i + 1, Err: err}
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// readFile reads a file of bounded size.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%w: %d bytes, %d at most", errTooLarge, info.Size(), maxFileBytes)
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
