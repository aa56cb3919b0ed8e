package nodelist

import (
	"bufio"
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"flaxfront/internal/config/remedy"
	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/filesystem"
)

const (
	requestsDirectory  = "asks"
	requestSuffix      = ".ask"
	newRequestSuffix   = ".new" // while the request is being written
	maxPendingRequests = 64
)

// OperatorRequest is a request of an operator to the broker that uses the directory. It may be carried out more than once.
type OperatorRequest struct {
	Import []cachedlist.Entry
	Forget []string // names of nodes
}

// SubmitRequest stores a request for the broker that writes to a directory, which carries it out within a second. It returns a
// *RequestsPendingError if too many requests wait.
func SubmitRequest(fs filesystem.FS, directory, deployment string, r OperatorRequest, now time.Time) error {
	content, err := encodeRequest(deployment, r)
	if err != nil {
		return err
	}
	directory = filepath.Join(directory, requestsDirectory)
	if err := fs.MkdirAll(directory); err != nil {
		return &StorageError{Operation: "create the directory", Directory: directory, Err: err}
	}
	if names, _ := fs.ReadDir(directory); len(names) >= maxPendingRequests {
		return &RequestsPendingError{Directory: directory, Pending: len(names)}
	}
	path := filepath.Join(directory, fmt.Sprintf("%d", now.UnixNano()))
	f, err := filesystem.CreateSynced(fs, path+newRequestSuffix, content)
	if err == nil {
		f.Close()
		err = fs.Rename(path+newRequestSuffix, path+requestSuffix)
	}
	if err != nil {
		return &StorageError{Operation: "write a request", Directory: directory, Err: err}
	}
	return nil
}

func encodeRequest(deployment string, r OperatorRequest) ([]byte, error) {
	stored := storedRequest{Forget: r.Forget}
	for i := range r.Import {
		stored.Import = append(stored.Import, storeEntry(&r.Import[i]))
	}
	content, err := appendFrame([]byte(fileMagic), fileHeader{Version: formatVersion, Deployment: deployment})
	if err != nil {
		return nil, err
	}
	return appendFrame(content, stored)
}

// deliverRequests calls deliver with each request that waits, oldest first, and removes their files.
func (s *Store) deliverRequests(deliver func(OperatorRequest)) {
	directory := s.path(requestsDirectory)
	names, err := s.fs.ReadDir(directory)
	if err != nil {
		return // the directory does not exist before the first request
	}
	slices.Sort(names)
	for _, name := range names {
		if !strings.HasSuffix(name, requestSuffix) {
			continue
		}
		path := filepath.Join(directory, name)
		r, err := readRequest(s.fs, path, s.options.Deployment)
		if err != nil {
			err = &FileError{File: name, Err: err}
			slog.Warn("operator request rejected", "component", component, "file", path, "error", err, "remedy", remedy.Of(err))
		} else {
			deliver(r)
		}
		if err := s.fs.Remove(path); err != nil {
			slog.Warn("operator request file not removed", "component", component, "file", path, "error", err)
		}
	}
}

func readRequest(fs filesystem.FS, path, deployment string) (r OperatorRequest, err error) {
	f, err := fs.Open(path)
	if err != nil {
		return r, err
	}
	defer f.Close()
	in := &reader{in: bufio.NewReader(f)}
	if _, err := in.header(deployment); err != nil {
		return r, err
	}
	var stored storedRequest
	if err := in.readRequiredFrame(&stored); err != nil {
		return r, err
	}
	r.Forget = stored.Forget
	for i := range stored.Import {
		if err := stored.Import[i].validate(); err != nil {
			return r, err
		}
		r.Import = append(r.Import, stored.Import[i].decode())
	}
	return r, nil
}
