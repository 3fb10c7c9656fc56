package consensus

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// diskVersion is the form of a voter's file. Another one is refused, and never half-read.
const diskVersion = 1

// Identity is what a voter's file says of itself.
type Identity struct {
	Version      int    `cbor:"1,keyasint"`
	Group        string `cbor:"2,keyasint"`
	Name         string `cbor:"3,keyasint"`
	ID           uint64 `cbor:"4,keyasint"`
	StartCount   uint64 `cbor:"5,keyasint"`
	Bootstrapped bool   `cbor:"6,keyasint"` // it has been part of a group
}

// ErrCorrupt is a file that holds something else than was written.
var ErrCorrupt = errors.New("spoilt")

var (
	boltHead = []byte("voter")
	boltLog  = []byte("log")

	keyIdentity = []byte("identity")
	keyHard     = []byte("hard")
	keySnapshot = []byte("snapshot")
	keyStarts   = []byte("starts")
)

// Store is a voter's file. Every write is synced before it returns.
type Store struct {
	db   *bbolt.DB
	path string
	who  Identity
}

// OpenStore opens a voter's file, makes it if there is none, and counts the start. An error of ErrSpoilt
// names the file and what of it cannot be read; the caller may SetAside and open again.
func OpenStore(path, group, name string) (d *Store, l PersistentState, err error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, PersistentState{}, err
	}
	// The file is mapped: where it was cut short, reading it is a fault.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	db, err := open(path)
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, PersistentState{}, fmt.Errorf("%s: another process uses it", path)
	case err != nil && !errors.Is(err, os.ErrPermission):
		return nil, PersistentState{}, fmt.Errorf("%s: %w: %w", path, ErrCorrupt, err)
	case err != nil:
		return nil, PersistentState{}, err
	}
	d = &Store{db: db, path: path}
	defer func() {
		if p := recover(); p != nil { // bbolt's word for pages that make no sense
			err = fmt.Errorf("%s: %w: %v", path, ErrCorrupt, p)
		}
		if err != nil {
			_ = db.Close()
			d = nil
		}
	}()
	err = db.Update(func(tx *bbolt.Tx) error {
		head, err := tx.CreateBucketIfNotExists(boltHead)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(boltLog); err != nil {
			return err
		}
		if err := d.identify(head, group, name); err != nil {
			return err
		}
		l, err = d.read(tx)
		return err
	})
	return d, l, err
}

func open(path string) (db *bbolt.DB, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v", p)
		}
	}()
	return bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
}

func (d *Store) identify(head *bbolt.Bucket, group, name string) error {
	data, err := d.get(head, keyIdentity)
	if err != nil {
		return err
	}
	if data == nil {
		var id [8]byte
		if _, err := rand.Read(id[:]); err != nil {
			return err
		}
		d.who = Identity{Version: diskVersion, Group: group, Name: name, ID: binary.LittleEndian.Uint64(id[:]) | 1}
	} else if err := cbor.Unmarshal(data, &d.who); err != nil {
		return fmt.Errorf("%s: identity: %w: %w", d.path, ErrCorrupt, err)
	}
	switch w := d.who; {
	case w.Version != diskVersion:
		return fmt.Errorf("%s: form %d, this program reads %d", d.path, w.Version, diskVersion)
	case w.Group != group || w.Name != name:
		return fmt.Errorf("%s: belongs to %q of group %q, not to %q of %q", d.path, w.Name, w.Group, name, group)
	}
	d.who.StartCount++
	return d.putIdentity(head)
}

func (d *Store) putIdentity(head *bbolt.Bucket) error {
	data, err := cbor.Marshal(d.who)
	if err != nil {
		return err
	}
	return put(head, keyIdentity, data)
}

// Identity is what the file says of itself.
func (d *Store) Identity() Identity { return d.who }

// put keeps a value with its checksum: bbolt has none for its pages.
func put(b *bbolt.Bucket, key, value []byte) error {
	return b.Put(key, append(binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(value)), value...))
}

func (d *Store) get(b *bbolt.Bucket, key []byte) ([]byte, error) {
	v := b.Get(key)
	if v == nil {
		return nil, nil
	}
	if len(v) < 8 || binary.LittleEndian.Uint64(v) != xxhash.Sum64(v[8:]) {
		return nil, fmt.Errorf("%s: %x: %w: its checksum is another", d.path, key, ErrCorrupt)
	}
	return v[8:], nil
}

// message reads a protobuf value into m, and tells whether there is one.
func (d *Store) message(b *bbolt.Bucket, key []byte, m proto.Message) (bool, error) {
	v, err := d.get(b, key)
	if err != nil || v == nil {
		return false, err
	}
	if err := proto.Unmarshal(v, m); err != nil {
		return false, fmt.Errorf("%s: %x: %w: %w", d.path, key, ErrCorrupt, err)
	}
	return true, nil
}

func (d *Store) read(tx *bbolt.Tx) (PersistentState, error) {
	var l PersistentState
	head := tx.Bucket(boltHead)
	hard, snapshot := &raftpb.HardState{}, &raftpb.Snapshot{}
	if is, err := d.message(head, keyHard, hard); err != nil {
		return l, err
	} else if is {
		l.HardState = hard
	}
	if is, err := d.message(head, keySnapshot, snapshot); err != nil {
		return l, err
	} else if is {
		l.Snapshot = snapshot
	}
	starts, err := d.get(head, keyStarts)
	if err == nil && starts != nil {
		err = cbor.Unmarshal(starts, &l.Incarnations)
	}
	if err != nil {
		return l, err
	}
	log := tx.Bucket(boltLog)
	next := snapshot.GetMetadata().GetIndex() + 1
	err = log.ForEach(func(k, _ []byte) error {
		e := &raftpb.Entry{}
		if _, err := d.message(log, k, e); err != nil {
			return err
		}
		if e.GetIndex() != next {
			return fmt.Errorf("%s: entry %d: %w: entry %d was expected", d.path, e.GetIndex(), ErrCorrupt, next)
		}
		next++
		l.Entries = append(l.Entries, e)
		return nil
	})
	return l, err
}

func index(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// Write makes work durable, whole or not at all.
func (d *Store) Write(w Ready) error {
	if w.Empty() {
		return nil
	}
	return d.db.Update(func(tx *bbolt.Tx) error { return d.write(tx, w) })
}

func (d *Store) write(tx *bbolt.Tx, w Ready) error {
	head, log := tx.Bucket(boltHead), tx.Bucket(boltLog)
	snapshot, from, to := w.Compaction, uint64(0), w.Compaction.GetMetadata().GetIndex()
	if w.Snapshot != nil { // and nothing of the log is left
		snapshot, to = w.Snapshot, ^uint64(0)
	}
	if snapshot != nil {
		if err := cut(log, from, to); err != nil {
			return err
		}
		if err := putMessage(head, keySnapshot, snapshot); err != nil {
			return err
		}
	}
	if len(w.Entries) > 0 { // they take the place of all from the first of them on
		if err := cut(log, w.Entries[0].GetIndex(), ^uint64(0)); err != nil {
			return err
		}
	}
	for _, e := range w.Entries {
		if err := putMessage(log, index(e.GetIndex()), e); err != nil {
			return err
		}
	}
	if w.HardState != nil {
		if err := putMessage(head, keyHard, w.HardState); err != nil {
			return err
		}
	}
	if w.Incarnations != nil {
		data, err := cbor.Marshal(w.Incarnations)
		if err != nil {
			return err
		}
		if err := put(head, keyStarts, data); err != nil {
			return err
		}
	}
	if !d.who.Bootstrapped && w.HardState != nil {
		d.who.Bootstrapped = true
		return d.putIdentity(head)
	}
	return nil
}

func putMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return put(b, key, data)
}

// cut removes the entries from one index to another.
func cut(log *bbolt.Bucket, from, to uint64) error {
	c := log.Cursor()
	for k, _ := c.Seek(index(from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Bootstrap makes the file that of a voter of a new group.
func (d *Store) Bootstrap(l PersistentState) error {
	return d.Write(Ready{HardState: l.HardState, Snapshot: l.Snapshot})
}

// Close closes the file.
func (d *Store) Close() error { return d.db.Close() }

// Quarantine renames a file that must not be used again, and returns its new name.
func Quarantine(path string) (string, error) {
	for i := 1; ; i++ {
		to := fmt.Sprintf("%s.aside-%d", path, i)
		if _, err := os.Lstat(to); errors.Is(err, os.ErrNotExist) {
			return to, os.Rename(path, to)
		}
	}
}
