package handover

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Suffixes of the files of a process. They share a stem: the balancer's prefix, the process ID and
// the time of the start.
const (
	lockSuffix   = ".lock"
	recordSuffix = ".record"
	tempSuffix   = ".tmp"
)

// Directory is the directory in which the processes of a balancer keep their records, as one of
// these processes uses it. It must be used from one goroutine; create it with Enter.
type Directory struct {
	path    string
	name    string // of the balancer
	prefix  string // of the files of this balancer's processes
	ownStem string // of this process's files
	lock    *os.File
	cache   map[string]cachedRecord // by stem
}

// cachedRecord is what was read last from a record file.
type cachedRecord struct {
	file   os.FileInfo
	record Record
	err    error
}

// Peer is another process of the balancer.
type Peer struct {
	Record
	Alive bool  // false: it has ended, and will not be returned again
	Err   error // its record could not be read; Record is empty then
}

// Enter makes this process known in the directory at path to others of the named balancer, and
// returns the directory. Its first record is published with Write. Leave ends it.
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

// Leave releases the lock, as the end of the process would. The record stays for the other
// processes to read.
func (d *Directory) Leave() { _ = d.lock.Close() }

func (d *Directory) file(stem, suffix string) string { return filepath.Join(d.path, stem+suffix) }

// Write replaces this process's record atomically. The balancer's name in it is filled in here.
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

// Peers returns the other processes of the balancer. One that has ended is returned once, with its
// last record, and its files are removed.
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
		if err != nil {
			continue // another process has removed it
		}
		// The record is read after the lock was examined: of a process that has ended this is the last.
		cached := d.read(stem)
		if !alive {
			d.remove(stem)
		}
		peers = append(peers, Peer{Record: cached.record, Alive: alive, Err: cached.err})
	}
	return peers, nil
}

// remove removes the files of a process that has ended.
func (d *Directory) remove(stem string) {
	delete(d.cache, stem)
	for _, suffix := range []string{recordSuffix, tempSuffix, lockSuffix} {
		_ = os.Remove(d.file(stem, suffix))
	}
}

// read returns the record of a process, from the cache if its file has not been replaced.
func (d *Directory) read(stem string) cachedRecord {
	path := d.file(stem, recordSuffix)
	info, err := os.Stat(path)
	if err != nil {
		return cachedRecord{err: err} // it has just started
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

// load reads a record file of the given size in bytes.
func (d *Directory) load(path string, size int64) (Record, error) {
	if size > maxRecordSize {
		return Record{}, fmt.Errorf("%w: %d bytes", ErrTruncated, size)
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
