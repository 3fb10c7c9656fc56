package handover

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Directory is the place where the processes of one balancer keep their records. Beside each record
// lies a lock, which its writer holds as long as it lives: the kernel takes it away from a
// process that has ended, whichever way it did.
type Directory struct {
	path   string
	prefix string // of this balancer's files
	name   string // the balancer's
	own    string // this process's files, without their endings
	lock   *os.File
	seen   map[string]seen // by the name of the file, without its ending
}

type seen struct {
	file   os.FileInfo
	record Record
	err    error
}

// Peer is another process of the balancer.
type Peer struct {
	Record
	Alive bool  // else it has ended: this is the last that is heard of it
	Err   error // its record could not be read; nothing else of it is known
}

const (
	lockEnding, recordEnding, tempEnding = ".lock", ".record", ".tmp"
)

// Enter makes this process known in the directory to others of the balancer of that name. Its
// first record follows with Write.
func Enter(path, name string) (*Directory, error) {
	d := &Directory{path: path, name: name, seen: map[string]seen{}}
	d.prefix = fmt.Sprintf("piernotch-%016x-", xxhash.Sum64String(name))
	d.own = d.prefix + strconv.Itoa(os.Getpid()) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	// The lock is held before it has its name: without a holder it would be taken for a dead
	// process's.
	temp := d.file(d.own, tempEnding)
	f, err := os.OpenFile(temp, os.O_CREATE|os.O_RDWR|os.O_EXCL, 0o600)
	if err != nil {
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	if err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
		err = os.Rename(temp, d.file(d.own, lockEnding))
	}
	if err != nil {
		_ = f.Close()
		_ = os.Remove(temp)
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	d.lock = f
	return d, nil
}

func (d *Directory) file(name, ending string) string { return filepath.Join(d.path, name+ending) }

// Write replaces this process's record.
func (d *Directory) Write(r Record) error {
	r.Name = d.name
	data, err := Encode(r)
	if err != nil {
		return fmt.Errorf("hand-over: %w", err)
	}
	temp := d.file(d.own, tempEnding)
	if err = os.WriteFile(temp, data, 0o600); err == nil {
		err = os.Rename(temp, d.file(d.own, recordEnding))
	}
	if err != nil {
		_ = os.Remove(temp)
		return fmt.Errorf("hand-over: %w", err)
	}
	return nil
}

// Peers returns the other processes. One that has ended is returned once and its files removed.
func (d *Directory) Peers() ([]Peer, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	var peers []Peer
	for _, e := range entries {
		name, isLock := strings.CutSuffix(e.Name(), lockEnding)
		if !isLock || name == d.own || !strings.HasPrefix(name, d.prefix) {
			continue
		}
		alive, err := locked(d.file(name, lockEnding))
		if err != nil {
			continue // another removed it
		}
		s := d.read(name)
		if !alive { // its last record may be younger than the one read
			delete(d.seen, name)
			for _, ending := range []string{recordEnding, tempEnding, lockEnding} {
				_ = os.Remove(d.file(name, ending))
			}
		}
		peers = append(peers, Peer{s.record, alive, s.err})
	}
	return peers, nil
}

// read reads a record, if it is another than the one that was read last.
func (d *Directory) read(name string) seen {
	path := d.file(name, recordEnding)
	info, err := os.Stat(path)
	was, known := d.seen[name]
	switch {
	case err != nil:
		return seen{err: err} // it has just started
	case known && os.SameFile(info, was.file) && info.ModTime().Equal(was.file.ModTime()):
		return was
	}
	s := seen{file: info}
	s.record, s.err = d.load(path, info.Size())
	if s.err != nil {
		slog.Warn("handover record rejected", "file", name, "err", s.err)
	}
	d.seen[name] = s
	return s
}

func (d *Directory) load(path string, size int64) (Record, error) {
	if size > maxSize {
		return Record{}, fmt.Errorf("%w: %d bytes", ErrTruncated, size)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Record{}, err
	}
	r, err := Decode(data)
	if err == nil && r.Name != d.name {
		return Record{}, fmt.Errorf("record of another balancer, %q", r.Name)
	}
	return r, err
}

// Leave lets the lock go, as the end of the process would. The record stays for whoever comes
// next.
func (d *Directory) Leave() { _ = d.lock.Close() }

// locked tells whether a living process holds the lock.
func locked(path string) (bool, error) {
	f, err := os.Open(path)
	if err != nil {
		return false, err
	}
	defer func() { _ = f.Close() }()
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB)
	return errors.Is(err, syscall.EWOULDBLOCK), nil
}
