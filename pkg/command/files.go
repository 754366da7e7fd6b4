package command

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// Permissions of written files.
const (
	openFile   fs.FileMode = 0o644
	secretFile fs.FileMode = 0o600 // secretFile is for keys: only its owner may read it.
)

// replaceFile writes content to a new file beside path and renames it, so that a failure leaves the
// old file whole.
func replaceFile(path string, content []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temporary.Name()) }()
	if _, err := temporary.Write(content); err != nil {
		_ = temporary.Close()
		return err
	}
	if err := temporary.Chmod(openFile); err != nil {
		_ = temporary.Close()
		return err
	}
	if err := temporary.Close(); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), path)
}

// createFile writes a file that must not exist yet.
func createFile(path string, content []byte, mode fs.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("%s exists already and is not overwritten", path)
	}
	if err != nil {
		return err
	}
	if _, err := file.Write(content); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func exists(path string) bool {
	_, err := os.Lstat(path)
	return !errors.Is(err, fs.ErrNotExist)
}
