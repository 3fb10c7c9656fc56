package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The buckets of a voter's file: metadataBucket holds single records by key, logBucket holds log entries by index.
var (
	metadataBucket = []byte("voter")
	logBucket      = []byte("log")
)

// The keys of metadataBucket.
var (
	keyIdentity  = []byte("identity") // Identity, as CBOR
	keyHardState = []byte("hard")     // raftpb.HardState, as protobuf
	keySnapshot  = []byte("snapshot") // raftpb.Snapshot, as protobuf
	keyStarts    = []byte("starts")   // map[protocol.VoterID]Start, as CBOR
)

// checksumSize is the length in bytes of the xxHash64 in front of each value. Without it a damaged value would go
// unnoticed, since bbolt does not checksum its data pages.
const checksumSize = 8

var errChecksum = errors.New("checksum mismatch")

// Write makes a Ready durable in one transaction: all of it or, on an error, nothing.
func (s *Store) Write(ready Ready) error {
	if ready.Empty() {
		return nil
	}
	return s.db.Update(func(tx *bbolt.Tx) error { return s.write(tx, ready) })
}

func (s *Store) write(tx *bbolt.Tx, ready Ready) error {
	metadata := tx.Bucket(metadataBucket)
	log := tx.Bucket(logBucket)
	if err := writeSnapshot(metadata, log, ready); err != nil {
		return err
	}
	if err := writeEntries(log, ready.Entries); err != nil {
		return err
	}
	if ready.HardState != nil {
		if err := putMessage(metadata, keyHardState, ready.HardState); err != nil {
			return err
		}
	}
	if ready.Starts != nil {
		if err := putCBOR(metadata, keyStarts, ready.Starts); err != nil {
			return err
		}
	}
	if ready.HardState != nil && !s.identity.Bootstrapped {
		s.identity.Bootstrapped = true
		return s.putIdentity(metadata)
	}
	return nil
}

// writeSnapshot writes a snapshot and removes the entries that it replaces. A leader's snapshot replaces all
// entries; this voter's own compaction replaces the entries up to its index.
func writeSnapshot(metadata, log *bbolt.Bucket, ready Ready) error {
	snapshot := ready.Compaction
	last := ready.Compaction.GetMetadata().GetIndex()
	if ready.Snapshot != nil {
		snapshot = ready.Snapshot
		last = math.MaxUint64
	}
	if snapshot == nil {
		return nil
	}
	if err := deleteEntries(log, 0, last); err != nil {
		return err
	}
	return putMessage(metadata, keySnapshot, snapshot)
}

// writeEntries replaces all stored entries from the first new entry's index on.
func writeEntries(log *bbolt.Bucket, entries []*raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteEntries(log, entries[0].GetIndex(), math.MaxUint64); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := putMessage(log, indexKey(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntries removes the entries from index first to index last, both included.
func deleteEntries(log *bbolt.Bucket, first, last uint64) error {
	cursor := log.Cursor()
	for key, _ := cursor.Seek(indexKey(first)); key != nil; key, _ = cursor.Next() {
		if binary.BigEndian.Uint64(key) > last {
			break
		}
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// read returns the stored state. It verifies the checksum of every record, and that the log has no gaps.
func (s *Store) read(tx *bbolt.Tx) (PersistentState, error) {
	var state PersistentState
	metadata := tx.Bucket(metadataBucket)
	hardState := &raftpb.HardState{}
	found, err := s.getMessage(metadata, keyHardState, hardState)
	if err != nil {
		return state, err
	}
	if found {
		state.HardState = hardState
	}
	snapshot := &raftpb.Snapshot{}
	found, err = s.getMessage(metadata, keySnapshot, snapshot)
	if err != nil {
		return state, err
	}
	if found {
		state.Snapshot = snapshot
	}
	starts, err := s.get(metadata, keyStarts)
	if err != nil {
		return state, err
	}
	if starts != nil {
		if err := cbor.Unmarshal(starts, &state.Starts); err != nil {
			return state, err
		}
	}
	state.Entries, err = s.readEntries(tx.Bucket(logBucket), snapshot.GetMetadata().GetIndex()+1)
	return state, err
}

// readEntries returns the log. It fails if the log does not start at index first or has gaps.
func (s *Store) readEntries(log *bbolt.Bucket, first uint64) ([]*raftpb.Entry, error) {
	var entries []*raftpb.Entry
	next := first
	err := log.ForEach(func(key, _ []byte) error {
		entry := &raftpb.Entry{}
		if _, err := s.getMessage(log, key, entry); err != nil {
			return err
		}
		if entry.GetIndex() != next {
			return s.corrupt(fmt.Sprintf("entry %d", entry.GetIndex()), fmt.Errorf("entry %d was expected", next))
		}
		next++
		entries = append(entries, entry)
		return nil
	})
	return entries, err
}

// indexKey returns the key of a log entry. The encoding is big-endian: bbolt sorts keys by their bytes, so entries
// are stored in the order of their indexes.
func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// get returns the value of a key after verifying its checksum, or nil if the key does not exist.
func (s *Store) get(bucket *bbolt.Bucket, key []byte) ([]byte, error) {
	record := bucket.Get(key)
	if record == nil {
		return nil, nil
	}
	if len(record) < checksumSize || binary.LittleEndian.Uint64(record) != xxhash.Sum64(record[checksumSize:]) {
		return nil, s.corrupt(fmt.Sprintf("%x", key), errChecksum)
	}
	return record[checksumSize:], nil
}

// getMessage decodes the protobuf value of a key into message, and reports whether the key exists.
func (s *Store) getMessage(bucket *bbolt.Bucket, key []byte, message proto.Message) (bool, error) {
	value, err := s.get(bucket, key)
	if err != nil || value == nil {
		return false, err
	}
	if err := proto.Unmarshal(value, message); err != nil {
		return false, s.corrupt(fmt.Sprintf("%x", key), err)
	}
	return true, nil
}

func put(bucket *bbolt.Bucket, key, value []byte) error {
	record := binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(value))
	return bucket.Put(key, append(record, value...))
}

func putMessage(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return put(bucket, key, data)
}

func putCBOR(bucket *bbolt.Bucket, key []byte, value any) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	return put(bucket, key, data)
}

func (s *Store) putIdentity(metadata *bbolt.Bucket) error {
	return putCBOR(metadata, keyIdentity, s.identity)
}
