package wal

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/juju/errors"
)

// Folder is a real directory, locked against a second process.
type Folder struct {
	path string
	lock *os.File
}

// ErrInUse is another process in the same data folder.
const ErrInUse = errors.ConstError("the data folder is in use by another process")

// OpenFolder makes the directory if need be and locks it until Close.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, errors.Trace(err)
	}
	made, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, errors.Trace(err)
	}
	_ = made.Close()
	return LockFolder(path)
}

const lockFile = "lock"

// LockFolder locks a data folder that is there, and makes nothing.
func LockFolder(path string) (*Folder, error) {
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_RDWR, 0o644)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, errors.Annotate(ErrInUse, path)
	}
	return &Folder{path: path, lock: lock}, nil
}

// Close unlocks the folder.
func (f *Folder) Close() { _ = f.lock.Close() }

// List implements Files.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, e := range entries {
		out = append(out, e.Name())
	}
	return out, nil
}

// Read implements Files.
func (f *Folder) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(f.path, name)) }

// Create implements Files.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
}

// Rename implements Files.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove implements Files.
func (f *Folder) Remove(name string) error { return os.Remove(filepath.Join(f.path, name)) }

// SyncDir implements Files.
func (f *Folder) SyncDir() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// Put writes a small file whole: synced, then renamed into place.
func Put(files Files, name string, content []byte) error {
	file, err := files.Create(name + ".tmp")
	if err != nil {
		return errors.Trace(err)
	}
	if _, err = file.Write(content); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = file.Close()
	}
	if err == nil {
		err = files.Rename(name+".tmp", name)
	}
	if err == nil {
		err = files.SyncDir()
	}
	return errors.Trace(err)
}
