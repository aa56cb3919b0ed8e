package crashfs

import (
	"bytes"
	"syscall"
)

// sectorBytes is the unit that a disk writes completely or not at all.
const sectorBytes = 512

// handle is a file opened for writing.
type handle struct {
	disk *FS
	file *file
}

// Write appends b. On a full disk half of the bytes are written, at a crash a random number of them.
func (h *handle) Write(b []byte) (written int, err error) {
	if h.disk.Full {
		return h.append(b[:len(b)/2]), syscall.ENOSPC
	}
	if err := h.disk.step(); err != nil {
		return h.append(b[:h.disk.random.IntN(len(b)+1)]), err
	}
	return h.append(b), nil
}

func (h *handle) append(b []byte) (written int) {
	h.file.data = append(h.file.data, b...)
	return len(b)
}

// Sync makes durable the bytes written so far.
func (h *handle) Sync() error {
	if err := h.disk.step(); err != nil {
		return err
	}
	if h.disk.FailSync {
		return syscall.EIO
	}
	h.file.syncedBytes = len(h.file.data)
	return nil
}

// Close does nothing; in particular, it makes nothing durable.
func (h *handle) Close() error { return nil }

// afterCrash returns what a crash leaves of a file's content.
func (d *FS) afterCrash(f *file) []byte {
	data := bytes.Clone(f.data[:f.syncedBytes])
	unsynced := f.data[f.syncedBytes:]
	if len(unsynced) == 0 {
		return data
	}
	keptBytes := d.random.IntN(len(unsynced) + 1)
	data = append(data, unsynced[:keptBytes]...)
	switch d.Damage {
	case UnwrittenSector:
		if d.random.IntN(2) == 0 && keptBytes > 0 {
			d.clearSector(data, f.syncedBytes)
		}
	case FlippedBit:
		if keptBytes > 0 && d.random.IntN(2) == 0 {
			data[len(data)-1] ^= 1 << d.random.IntN(8)
		}
	}
	return data
}

// clearSector zeroes the unsynced bytes of a random sector among those that hold unsynced bytes.
func (d *FS) clearSector(data []byte, syncedBytes int) {
	at := syncedBytes + d.random.IntN(len(data)-syncedBytes)
	start := at - at%sectorBytes
	end := min(start+sectorBytes, len(data))
	clear(data[max(start, syncedBytes):end])
}
