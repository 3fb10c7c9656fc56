package handover

import (
	"errors"
	"os"
	"syscall"
)

// acquireLock creates and locks a file at path. The lock is held until the file is closed or the
// process ends. The file has the temporary name until it is locked: other processes treat an
// unlocked lock file as that of a process that has ended, and remove the file.
func acquireLock(path, temporary string) (*os.File, error) {
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_RDWR|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		_ = file.Close()
		_ = os.Remove(temporary)
		return nil, err
	}
	return file, nil
}

// isLocked reports whether a live process holds the lock on the file at path. It returns an error if
// the file cannot be opened, usually because the file is gone.
func isLocked(path string) (bool, error) {
	file, err := os.Open(path)
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }()
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB)
	return errors.Is(err, syscall.EWOULDBLOCK), nil
}
