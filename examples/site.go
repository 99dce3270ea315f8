package examples

import (
	"embed"
	"io/fs"
	"path"

	"github.com/pkg/errors"

	"boragepulley/internal/config"
)

//go:embed alexandria/site aarhus/site
var files embed.FS

// Site returns the files of the named user's site as operators apply them.
func Site(name string) ([]config.File, error) {
	dir := path.Join(name, "site")
	entries, err := fs.ReadDir(files, dir)
	if err != nil {
		return nil, errors.Wrapf(err, "no example site %q", name)
	}
	out := make([]config.File, 0, len(entries))
	for _, e := range entries {
		text, err := files.ReadFile(path.Join(dir, e.Name()))
		if err != nil {
			return nil, errors.Wrap(err, "read example")
		}
		out = append(out, config.File{Name: e.Name(), Text: string(text)})
	}
	return out, nil
}
