package handover

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Suffixes of a process's files. The file names share a stem: the balancer's prefix, the
// process ID and the start time.
const (
	lockSuffix   = ".lock"
	recordSuffix = ".record"
	tempSuffix   = ".tmp"
)

// Directory is one process's view of the directory in which the processes of a balancer keep their
// records. Enter returns a Directory, which is not safe for concurrent use.
type Directory struct {
	path    string
	name    string // of the balancer
	prefix  string // of the file names of all processes of this balancer
	ownStem string // of the file names of this process
	lock    *os.File
	cache   map[string]cachedRecord // by stem
}

// cachedRecord is the result of the last read of a record file.
type cachedRecord struct {
	file   os.FileInfo
	record Record
	err    error
}

// Peer is another process of the balancer.
type Peer struct {
	Record
	Alive bool  // false: the process has ended; Peers will not return it again
	Err   error // why the record could not be read; Record is empty then
}

// Enter announces this process to the others of the named balancer: it creates a lock file in the
// directory at path and holds the lock until Leave. There is no record until the first Write.
func Enter(path, name string) (*Directory, error) {
	prefix := fmt.Sprintf("piernotch-%016x-", xxhash.Sum64String(name))
	startedAt := strconv.FormatInt(time.Now().UnixNano(), 36)
	directory := &Directory{
		path:    path,
		name:    name,
		prefix:  prefix,
		ownStem: prefix + strconv.Itoa(os.Getpid()) + "-" + startedAt,
		cache:   map[string]cachedRecord{},
	}
	lock, err := acquireLock(
		directory.file(directory.ownStem, lockSuffix),
		directory.file(directory.ownStem, tempSuffix),
	)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	directory.lock = lock
	return directory, nil
}

// Leave releases the lock, as the end of the process would. The record stays for the other processes
// to read.
func (d *Directory) Leave() { _ = d.lock.Close() }

func (d *Directory) file(stem, suffix string) string { return filepath.Join(d.path, stem+suffix) }

// Write atomically replaces this process's record. It sets the balancer's name in the record.
func (d *Directory) Write(record Record) error {
	record.Name = d.name
	data, err := Encode(record)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	temporary := d.file(d.ownStem, tempSuffix)
	err = os.WriteFile(temporary, data, 0o600)
	if err == nil {
		err = os.Rename(temporary, d.file(d.ownStem, recordSuffix))
	}
	if err != nil {
		_ = os.Remove(temporary)
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Peers returns the other processes of the balancer. A process that has ended is returned once, with
// its last record, and its files are removed. A process whose lock cannot be tested counts as alive.
func (d *Directory) Peers() ([]Peer, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	var peers []Peer
	for _, entry := range entries {
		stem, isLock := strings.CutSuffix(entry.Name(), lockSuffix)
		if !isLock || stem == d.ownStem || !strings.HasPrefix(stem, d.prefix) {
			continue
		}
		alive, err := isLocked(d.file(stem, lockSuffix))
		if errors.Is(err, os.ErrNotExist) {
			continue // another process has removed the file
		}
		if err != nil { // no proof that the process has ended
			slog.Warn("lock of sibling process unreadable", "file", stem, "err", err)
			alive = true
		}
		// The lock is tested before the record is read. Otherwise a process could write its last record
		// and end in between, and that record would be lost.
		cached := d.read(stem)
		if !alive {
			d.remove(stem)
		}
		peers = append(peers, Peer{Record: cached.record, Alive: alive, Err: cached.err})
	}
	return peers, nil
}

// remove deletes the files and the cached record of a process that has ended.
func (d *Directory) remove(stem string) {
	delete(d.cache, stem)
	for _, suffix := range []string{recordSuffix, tempSuffix, lockSuffix} {
		_ = os.Remove(d.file(stem, suffix))
	}
}

// read returns the record of a process, from the cache unless the record file has been replaced.
func (d *Directory) read(stem string) cachedRecord {
	path := d.file(stem, recordSuffix)
	info, err := os.Stat(path)
	if err != nil {
		return cachedRecord{err: err} // the process has not written a record yet
	}
	previous, cached := d.cache[stem]
	if cached && os.SameFile(info, previous.file) && info.ModTime().Equal(previous.file.ModTime()) {
		return previous
	}
	current := cachedRecord{file: info}
	current.record, current.err = d.load(path, info.Size())
	if current.err != nil {
		slog.Warn("handover record rejected", "file", stem, "err", current.err)
	}
	d.cache[stem] = current
	return current
}

// load reads a record file of size bytes. It rejects files above maxRecordSize and records of other
// balancers.
func (d *Directory) load(path string, size int64) (Record, error) {
	if size > maxRecordSize {
		return Record{}, fmt.Errorf("%w: file of %d bytes exceeds the limit", ErrTruncated, size)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Record{}, err
	}
	record, err := Decode(data)
	if err != nil {
		return Record{}, err
	}
	if record.Name != d.name {
		return Record{}, fmt.Errorf("%w, %q", ErrOtherBalancer, record.Name)
	}
	return record, nil
}
