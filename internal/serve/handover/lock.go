package handover

import (
	"errors"
	"os"
	"syscall"
)

// acquireLock creates a lock file at path and holds its lock until the file is closed or the process
// ends. The file is created under the temporary name and renamed once the lock is held, because other
// processes take a lock file that is not locked for that of a process that has ended.
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

// isLocked reports whether a process that is alive holds the lock file. The error means that there
// is no such file.
func isLocked(path string) (bool, error) {
	file, err := os.Open(path)
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }()
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB)
	return errors.Is(err, syscall.EWOULDBLOCK), nil
}
