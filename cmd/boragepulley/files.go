package main

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"boragepulley/internal/config"
)

// pathArgs are the files and folders of a command.
type pathArgs struct {
	Paths []string `arg:"" name:"path" help:"Files, and folders whose .toml files are read with those of their subfolders. Together they are the whole configuration." type:"path"`
}

// load reads the files. A file of a folder is named by its path below the folder.
func (p pathArgs) load() ([]config.File, error) {
	var files []config.File
	for _, path := range p.Paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, usageError{err}
		}
		if !info.IsDir() {
			if files, err = add(files, path, filepath.Base(path)); err != nil {
				return nil, err
			}
			continue
		}
		before := len(files)
		err = filepath.WalkDir(path, func(file string, e fs.DirEntry, err error) error {
			if err != nil || e.IsDir() || !strings.HasSuffix(file, ".toml") {
				return err
			}
			name, err := filepath.Rel(path, file)
			if err == nil {
				files, err = add(files, file, filepath.ToSlash(name))
			}
			return err
		})
		if err != nil {
			return nil, errors.Wrap(err, "read files")
		}
		if len(files) == before {
			return nil, usageError{errors.Errorf("%s: no .toml files", path)}
		}
	}
	return files, nil
}

// add reads one file. It reads at most one byte more than a file may have, which the check
// then reports.
func add(files []config.File, path, name string) ([]config.File, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, usageError{err}
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, config.MaxFileBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read files")
	}
	return append(files, config.File{Name: name, Text: string(text)}), nil
}
