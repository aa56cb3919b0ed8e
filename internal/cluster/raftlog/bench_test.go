package raftlog

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The benchmarks compare two ways to store a voter's log, each with one fsync per save: this package's frames, and bbolt with one key per
// entry.

func entryOfSize(index uint64, bytes int) *pb.Entry {
	return &pb.Entry{Term: new(uint64(1)), Index: &index, Data: make([]byte, bytes)}
}

func openLog(b *testing.B, dir string) *Log {
	l, err := Open(Options{Directory: dir, Cluster: "c", VoterID: 1, Voters: []uint64{1, 2, 3}, Create: true})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(l.Close)
	return l
}

func openBolt(b *testing.B, dir string) *bbolt.DB {
	db, err := bbolt.Open(filepath.Join(dir, "db"), 0o600, nil)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { db.Close() })
	return db
}

func saveToBolt(db *bbolt.DB, hard *pb.HardState, entries []*pb.Entry) error {
	return db.Update(func(tx *bbolt.Tx) error {
		log, err := tx.CreateBucketIfNotExists([]byte("log"))
		if err != nil {
			return err
		}
		h, _ := proto.Marshal(hard)
		if err := log.Put([]byte("hard"), h); err != nil {
			return err
		}
		log.FillPercent = 0.9 // keys only grow
		for _, e := range entries {
			v, _ := proto.Marshal(e)
			if err := log.Put(binary.BigEndian.AppendUint64(nil, e.GetIndex()), v); err != nil {
				return err
			}
		}
		return nil
	})
}

func BenchmarkSave(b *testing.B) {
	for _, n := range []int{1, 64} {
		batch := func(i int) (all []*pb.Entry) {
			for k := range n {
				all = append(all, entryOfSize(uint64(i*n+k+1), 200))
			}
			return all
		}
		b.Run(fmt.Sprintf("plain/%d", n), func(b *testing.B) {
			l := openLog(b, b.TempDir())
			for i := 0; b.Loop(); i++ {
				if err := l.Save(hard(1, 1, 0), batch(i), nil); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("bbolt/%d", n), func(b *testing.B) {
			db := openBolt(b, b.TempDir())
			for i := 0; b.Loop(); i++ {
				if err := saveToBolt(db, hard(1, 1, 0), batch(i)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkLoad(b *testing.B) {
	const n = 4096
	var all []*pb.Entry
	for i := range n {
		all = append(all, entryOfSize(uint64(i+1), 200))
	}
	b.Run("plain", func(b *testing.B) {
		dir := b.TempDir()
		l := openLog(b, dir)
		l.Save(hard(1, 1, 0), all, nil)
		l.Close()
		for b.Loop() {
			l := openLog(b, dir) // also writes the generation that each Open begins
			if _, es, _, _ := l.Load(); len(es) != n {
				b.Fatal(len(es))
			}
			l.Close()
		}
	})
	b.Run("bbolt", func(b *testing.B) {
		dir := b.TempDir()
		db := openBolt(b, dir)
		saveToBolt(db, hard(1, 1, 0), all)
		db.Close()
		for b.Loop() {
			db := openBolt(b, dir)
			got := 0
			db.View(func(tx *bbolt.Tx) error {
				return tx.Bucket([]byte("log")).ForEach(func(_, v []byte) error {
					got++
					return proto.Unmarshal(v, &pb.Entry{})
				})
			})
			if got != n+1 && got != n {
				b.Fatal(got)
			}
			db.Close()
		}
	})
}
