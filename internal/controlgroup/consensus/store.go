package consensus

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"piernotch/internal/controlgroup/protocol"
)

// storeVersion is the format version of voter files. A file of any other version is rejected.
const storeVersion = 1

// lockTimeout bounds how long OpenStore waits while another process has the file open.
const lockTimeout = time.Second

// Identity is the record in a voter's file that names the file's owner and format.
type Identity struct {
	Version      int              `cbor:"1,keyasint"`
	Group        string           `cbor:"2,keyasint"`
	Name         string           `cbor:"3,keyasint"` // the voter's name
	ID           protocol.VoterID `cbor:"4,keyasint"` // drawn at random when the file was created; never 0
	StartCount   uint64           `cbor:"5,keyasint"` // how often the file was opened
	Bootstrapped bool             `cbor:"6,keyasint"` // the voter has been part of a group
}

// Errors of OpenStore, wrapped in a *StoreError. After ErrCorrupt the caller may Quarantine the file and then
// create a new file.
var (
	ErrCorrupt    = errors.New("corrupt")
	ErrStoreInUse = errors.New("in use by another process")
)

// StoreError is returned for a voter file that cannot be used.
type StoreError struct {
	Path string
	Item string // the record at fault; "": the file as a whole
	Err  error
}

// Error returns path, item and cause.
func (e *StoreError) Error() string {
	if e.Item == "" {
		return fmt.Sprintf("%s: %v", e.Path, e.Err)
	}
	return fmt.Sprintf("%s: %s: %v", e.Path, e.Item, e.Err)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Err }

// VersionError is the cause of a StoreError for a file of another format version.
type VersionError struct{ Found, Supported int }

// Error returns the file's version and the supported one.
func (e *VersionError) Error() string {
	return fmt.Sprintf("format version %d, this program supports version %d", e.Found, e.Supported)
}

// OwnerError is the cause of a StoreError for a file of another voter.
type OwnerError struct {
	Group, Name         string // the voter that the file belongs to
	WantGroup, WantName string // the voter that opened it
}

// Error names both voters and their groups.
func (e *OwnerError) Error() string {
	return fmt.Sprintf("belongs to %q of group %q, not to %q of %q", e.Name, e.Group, e.WantName, e.WantGroup)
}

// Store is a voter's file. Every write is synced to disk before it returns. A Store must be used from one goroutine.
type Store struct {
	db       *bbolt.DB
	path     string
	identity Identity
}

// OpenStore opens a voter's file, or creates it with a new ID, increments its start count, and returns its content.
// An error about the file's content, owner or lock is a *StoreError, except that a decoding error of the starts record
// is returned unchanged. So is any error of the operating system, such as a missing permission: it does not show that
// the file is damaged.
func OpenStore(path, group, name string) (store *Store, state PersistentState, err error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, PersistentState{}, err
	}
	// The file is memory-mapped, so a read beyond the end of a truncated file is a memory fault. SetPanicOnFault
	// turns the fault into a panic, which is recovered below.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	db, err := openDatabase(path)
	if err != nil {
		return nil, PersistentState{}, err
	}
	store = &Store{db: db, path: path}
	defer func() {
		if panicked := recover(); panicked != nil { // bbolt panics on inconsistent pages
			err = store.corrupt("", fmt.Errorf("%v", panicked))
		}
		if err != nil {
			_ = db.Close()
			store = nil
		}
	}()
	err = db.Update(func(tx *bbolt.Tx) error {
		metadata, err := tx.CreateBucketIfNotExists(metadataBucket)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(logBucket); err != nil {
			return err
		}
		if err := store.identify(metadata, group, name); err != nil {
			return err
		}
		state, err = store.read(tx)
		return err
	})
	return store, state, err
}

// openDatabase opens the file as a bbolt database. An error of the operating system, such as a shortage of descriptors
// or a disk that cannot be read, does not show that the file is corrupt; any other error but a lock timeout does.
func openDatabase(path string) (*bbolt.DB, error) {
	db, err := openRecovering(path)
	switch {
	case err == nil:
		return db, nil
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, &StoreError{Path: path, Err: ErrStoreInUse}
	case isSystemError(err):
		return nil, err
	}
	if readErr := readThrough(path); isSystemError(readErr) { // bbolt reports an unreadable page as an invalid one
		return nil, readErr
	}
	return nil, &StoreError{Path: path, Err: fmt.Errorf("%w: %w", ErrCorrupt, err)}
}

// isSystemError reports whether a system call failed.
func isSystemError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}

// readThrough reads the whole file.
func readThrough(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	_, err = io.Copy(io.Discard, file)
	return err
}

// openRecovering calls bbolt.Open and returns its panics on inconsistent pages as errors.
func openRecovering(path string) (db *bbolt.DB, err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			err = fmt.Errorf("%v", panicked)
		}
	}()
	return bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
}

// identify reads the file's identity, or creates it if the file is new. It checks the version and the owner, and
// increments the start count.
func (s *Store) identify(metadata *bbolt.Bucket, group, name string) error {
	data, err := s.get(metadata, keyIdentity)
	if err != nil {
		return err
	}
	if data == nil {
		s.identity, err = newIdentity(group, name)
		if err != nil {
			return err
		}
	} else if err := cbor.Unmarshal(data, &s.identity); err != nil {
		return s.corrupt("identity", err)
	}
	if s.identity.Version != storeVersion {
		return &StoreError{Path: s.path, Err: &VersionError{Found: s.identity.Version, Supported: storeVersion}}
	}
	if s.identity.Group != group || s.identity.Name != name {
		owner := &OwnerError{Group: s.identity.Group, Name: s.identity.Name, WantGroup: group, WantName: name}
		return &StoreError{Path: s.path, Err: owner}
	}
	s.identity.StartCount++
	return s.putIdentity(metadata)
}

func newIdentity(group, name string) (Identity, error) {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return Identity{}, err
	}
	return Identity{
		Version: storeVersion,
		Group:   group,
		Name:    name,
		ID:      protocol.VoterID(binary.LittleEndian.Uint64(id[:]) | 1), // never 0, which stands for no voter in raft
	}, nil
}

// corrupt returns an ErrCorrupt error for the record that item names, or for the whole file if item is "".
func (s *Store) corrupt(item string, cause error) error {
	return &StoreError{Path: s.path, Item: item, Err: fmt.Errorf("%w: %w", ErrCorrupt, cause)}
}

// Identity returns the file's identity. Its StartCount includes this start.
func (s *Store) Identity() Identity { return s.identity }

// Bootstrap writes the initial state of a new group to the file; state is the result of the function Bootstrap.
func (s *Store) Bootstrap(state PersistentState) error {
	return s.Write(Ready{HardState: state.HardState, Snapshot: state.Snapshot})
}

// Close closes the file. The Store must not be used afterwards.
func (s *Store) Close() error { return s.db.Close() }

// Quarantine renames a closed file that must not be used again. It returns the new path: the old path followed by
// ".aside-" and the first free number from 1 on.
func Quarantine(path string) (string, error) {
	for i := 1; ; i++ {
		quarantined := fmt.Sprintf("%s.aside-%d", path, i)
		if _, err := os.Lstat(quarantined); errors.Is(err, os.ErrNotExist) {
			return quarantined, os.Rename(path, quarantined)
		}
	}
}
