package raftlog

import (
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"

	"flaxfront/internal/filesystem"
)

const (
	nameFormat = "raft-%08d.log" // name of a generation's file
	tempName   = "raft.new"

	initialFrameBytes  = 1 << 20 // approximate limit of the entries in one frame of a new generation
	entryOverheadBytes = 32      // approximate size of an entry without its data
)

func generationName(generation uint64) string { return fmt.Sprintf(nameFormat, generation) }

// generationsOf returns the numbers of the generations among a directory's file names, oldest first.
func generationsOf(names []string) (generations []uint64) {
	for _, name := range names {
		var generation uint64
		if n, _ := fmt.Sscanf(name, nameFormat, &generation); n == 1 && name == generationName(generation) {
			generations = append(generations, generation)
		}
	}
	slices.Sort(generations)
	return generations
}

// beginGeneration writes the contents to a new file, to which later frames are appended, and removes the older files once the new one is
// durable.
func (l *Log) beginGeneration() error {
	l.closeFile()
	content, checksum, err := l.encodeGeneration()
	if err != nil {
		return &RecordError{Err: err}
	}
	next := l.generation + 1
	file, err := l.writeGeneration(next, content)
	if err != nil {
		return err
	}
	l.generation = next
	l.checksum = checksum
	l.file = file
	l.removeOldGenerations()
	return nil
}

// encodeGeneration returns the initial content of a new file and the checksum of its last frame.
func (l *Log) encodeGeneration() (content []byte, checksum uint32, err error) {
	records := []record{{hardState: l.contents.hardState, snapshot: l.contents.snapshot}}
	for _, entries := range chunkEntries(l.contents.entries) {
		records = append(records, record{entries: entries})
	}
	content, checksum, err = appendHeader(nil, fileHeader{Version: formatVersion, Cluster: l.options.Cluster,
		VoterID: l.options.VoterID, Voters: l.options.Voters, InitialFrames: len(records)})
	for i := 0; err == nil && i < len(records); i++ {
		content, checksum, err = appendRecord(content, checksum, records[i])
	}
	return content, checksum, err
}

// chunkEntries divides entries into one chunk per frame.
func chunkEntries(entries []*pb.Entry) (chunks [][]*pb.Entry) {
	chunkBytes := 0 // size of the last chunk; 0: the next entry begins a new one
	for _, e := range entries {
		if chunkBytes == 0 {
			chunks = append(chunks, nil)
		}
		last := len(chunks) - 1
		chunks[last] = append(chunks[last], e)
		chunkBytes += len(e.GetData()) + entryOverheadBytes
		if chunkBytes > initialFrameBytes {
			chunkBytes = 0
		}
	}
	return chunks
}

// writeGeneration writes a generation's file, makes file and name durable, and returns it open for appending.
func (l *Log) writeGeneration(generation uint64, content []byte) (filesystem.File, error) {
	temp := l.path(tempName)
	file, err := filesystem.CreateSynced(l.fs, temp, content)
	if err != nil {
		return nil, l.ioError("begin a generation", err)
	}
	err = l.fs.Rename(temp, l.path(generationName(generation)))
	if err == nil {
		err = l.fs.SyncDir(l.options.Directory)
	}
	if err != nil {
		file.Close()
		return nil, l.ioError("begin a generation", err)
	}
	return file, nil
}

// removeOldGenerations removes the files of older generations. It ignores errors, since a file that is left only takes space.
func (l *Log) removeOldGenerations() {
	names, _ := l.fs.ReadDir(l.options.Directory)
	for _, old := range generationsOf(names) {
		if old < l.generation {
			l.fs.Remove(l.path(generationName(old)))
		}
	}
}
