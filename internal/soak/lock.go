package soak

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

// LockDir reserves the directory of a run until unlock is called or the process exits. It fails if
// another run uses the directory, as two runs of one seed would overwrite each other's settings and
// logs.
func LockDir(dir string) (unlock func(), err error) {
	defer func() { err = eris.Wrap(err, "soak: lock directory") }()
	file, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if eris.Is(err, syscall.EWOULDBLOCK) {
		err = eris.Errorf("another run with this profile and seed uses %s; wait for its end, or set TMPDIR to another directory", dir)
	}
	if err != nil {
		_ = file.Close() // It holds nothing.
		return nil, err
	}
	return func() { _ = file.Close() }, nil
}
