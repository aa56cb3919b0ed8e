package nodelist

import (
	"fmt"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"

	"flaxfront/internal/decision/cachedlist"
)

// The cost of saving one change of a list in three ways: replacing a file with the whole list, this package's journal, and the embedded
// key-value store bbolt.
func BenchmarkKeepOneChange(b *testing.B) {
	methods := []struct {
		name string
		open func(b *testing.B, dir string, first cachedlist.Changes) (save func(cachedlist.Entry) error)
	}{
		{"replaced", func(b *testing.B, dir string, first cachedlist.Changes) func(cachedlist.Entry) error {
			s, _ := Open(Options{Directory: dir, Deployment: "x"})
			s.Enqueue(first)
			return func(e cachedlist.Entry) error {
				s.closeJournal() // a snapshot each time
				s.Enqueue(cachedlist.Changes{Put: []cachedlist.Entry{e}})
				return s.Flush()
			}
		}},
		{"journal", func(b *testing.B, dir string, first cachedlist.Changes) func(cachedlist.Entry) error {
			s, _ := Open(Options{Directory: dir, Deployment: "x"})
			s.Enqueue(first)
			return func(e cachedlist.Entry) error {
				s.Enqueue(cachedlist.Changes{Put: []cachedlist.Entry{e}})
				return s.Flush()
			}
		}},
		{"bbolt", func(b *testing.B, dir string, first cachedlist.Changes) func(cachedlist.Entry) error {
			db, err := bbolt.Open(filepath.Join(dir, "db"), 0o600, nil)
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { db.Close() })
			put := func(all ...cachedlist.Entry) error {
				return db.Update(func(tx *bbolt.Tx) error {
					k, err := tx.CreateBucketIfNotExists([]byte("entries"))
					for i := 0; err == nil && i < len(all); i++ {
						var v []byte
						if v, err = encoding.Marshal(storeEntry(&all[i])); err == nil {
							err = k.Put([]byte(all[i].Name), v)
						}
					}
					return err
				})
			}
			if err := put(first.Put...); err != nil {
				b.Fatal(err)
			}
			return func(e cachedlist.Entry) error { return put(e) }
		}},
	}
	for _, n := range []int{16, 1000, 100_000} {
		for _, method := range methods {
			b.Run(fmt.Sprintf("%s/%d", method.name, n), func(b *testing.B) {
				first := manyEntries(n)
				save := method.open(b, b.TempDir(), first)
				if err := save(first.Put[0]); err != nil {
					b.Fatal(err)
				}
				for i := 0; b.Loop(); i++ {
					e := first.Put[i%n]
					e.StateSince = cachedlist.Timestamp(i)
					if err := save(e); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func BenchmarkLoadBbolt(b *testing.B) {
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer db.Close()
	all := manyEntries(100_000).Put
	err = db.Update(func(tx *bbolt.Tx) error {
		k, err := tx.CreateBucket([]byte("entries"))
		for i := 0; err == nil && i < len(all); i++ {
			v, _ := encoding.Marshal(storeEntry(&all[i]))
			err = k.Put([]byte(all[i].Name), v)
		}
		return err
	})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		got := map[string]cachedlist.Entry{}
		db.View(func(tx *bbolt.Tx) error {
			return tx.Bucket([]byte("entries")).ForEach(func(k, v []byte) error {
				var e storedEntry
				if err := decoding.Unmarshal(v, &e); err != nil {
					return err
				}
				got[e.Name] = e.decode()
				return nil
			})
		})
		if len(got) != len(all) {
			b.Fatal(len(got))
		}
	}
}
