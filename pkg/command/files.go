package command

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// Modes of written files.
const (
	publicFileMode fs.FileMode = 0o644
	keyFileMode    fs.FileMode = 0o600 // keyFileMode lets only the owner read a file that holds keys.
)

// replaceFile writes content to a temporary file in the directory of path and renames it to path, so
// that a failure leaves the old file intact.
func replaceFile(path string, content []byte) error {
	temp, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temp.Name()) }()
	if _, err := temp.Write(content); err != nil {
		_ = temp.Close()
		return err
	}
	if err := temp.Chmod(publicFileMode); err != nil {
		_ = temp.Close()
		return err
	}
	if err := temp.Close(); err != nil {
		return err
	}
	return os.Rename(temp.Name(), path)
}

// createFile writes a new file. It fails if path exists.
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

func fileExists(path string) bool {
	_, err := os.Lstat(path)
	return !errors.Is(err, fs.ErrNotExist)
}
