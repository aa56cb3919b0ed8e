package raftlog

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
)

// readGeneration reads a file into l.contents. tornBytes is the length of an incomplete frame at its end, left by a crash during a Save.
func (l *Log) readGeneration(path string) (tornBytes int, err error) {
	data, err := l.readFile(path)
	if err != nil {
		return 0, err
	}
	r := &frameReader{data: data}
	headerFrames := 1
	initialFrames := headerFrames
	for !r.atEnd() {
		offset := r.offset
		body, err := r.next()
		if err != nil {
			if r.frames < initialFrames || !r.atTornTail() {
				return 0, &DamagedError{File: path, Offset: offset, Err: err}
			}
			return len(data) - offset, nil
		}
		if r.frames == headerFrames {
			initialFrames, err = l.checkHeader(path, body)
			initialFrames += headerFrames
		} else {
			err = l.applyBody(path, offset, body)
		}
		if err != nil {
			return 0, err
		}
	}
	if r.frames < initialFrames {
		return 0, &DamagedError{File: path, Offset: r.offset, Err: errFramesMissing}
	}
	return 0, nil
}

func (l *Log) readFile(path string) ([]byte, error) {
	f, err := l.fs.Open(path)
	if err != nil {
		return nil, l.ioError("read a generation", err)
	}
	defer f.Close()
	data, err := io.ReadAll(f)
	if err != nil {
		return nil, l.ioError("read a generation", err)
	}
	return data, nil
}

// checkHeader returns an error for a file that is not of this voter, and otherwise the number of frames written with the header.
func (l *Log) checkHeader(path string, body []byte) (initialFrames int, err error) {
	var h fileHeader
	err = decodeMode.Unmarshal(body, &h)
	if err == nil && (h.Version < 1 || h.InitialFrames < 1) {
		err = errFileHeader
	}
	if err != nil {
		return 0, &DamagedError{File: path, Offset: 0, Err: err}
	}
	if h.Version > formatVersion {
		return 0, &NewerVersionError{File: path, Version: h.Version}
	}
	if h.Cluster != l.options.Cluster || h.VoterID != l.options.VoterID || !slices.Equal(h.Voters, l.options.Voters) {
		stored := Options{Cluster: h.Cluster, VoterID: h.VoterID, Voters: h.Voters}
		return 0, &MismatchError{File: filepath.Base(path), Configured: l.options.describe(), Stored: stored.describe()}
	}
	return h.InitialFrames, nil
}

// applyBody applies the record in a frame's body to l.contents.
func (l *Log) applyBody(path string, offset int, body []byte) error {
	r, err := decodeRecord(body)
	if err == nil {
		err = l.contents.apply(r)
	}
	if err != nil {
		return &DamagedError{File: path, Offset: offset, Err: fmt.Errorf("%w: %w", errRecord, err)}
	}
	return nil
}
