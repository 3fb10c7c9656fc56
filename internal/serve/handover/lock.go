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

// isLocked reports whether a live process holds the lock on the file at path. The error matches os.ErrNotExist if the
// file is gone. Any other error leaves open whether the process is alive.
func isLocked(path string) (bool, error) {
	file, err := os.Open(path)
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }()
	for {
		err = syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB)
		switch {
		case err == nil:
			return false, nil
		case errors.Is(err, syscall.EWOULDBLOCK):
			return true, nil
		case !errors.Is(err, syscall.EINTR):
			return false, &os.PathError{Op: "flock", Path: path, Err: err}
		}
	}
}
