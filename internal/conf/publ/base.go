package publ

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// BaseFile is the file name of the base record, which is stored next to the steering files.
const BaseFile = ".steering-base.yaml"

const baseComment = "# Written by publish: the parts as this directory last agreed with the store. Edit a hash only to overwrite\n" +
	"# the change of another publication after taking it over into the files.\n"

// base is the content of the base record. It holds the parts as the directory and the store last agreed on them, so that a
// later publication can tell changes of the directory from changes of others.
type base struct {
	Version uint64     `yaml:"version"` // Manifest version at the last agreement.
	Parts   PartHashes `yaml:"parts"`
}

// readBase reads the base record of a directory. It returns nil without an error if there is none.
func readBase(dir string) (*base, error) {
	path := filepath.Join(dir, BaseFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read base record")
	}
	b := &base{}
	if err := yaml.UnmarshalWithOptions(data, b, yaml.Strict()); err != nil {
		return nil, baseRecordError(path, err)
	}
	if b.Version == 0 {
		return nil, eris.Errorf("%s: version: missing; must be the version of the last publication", path)
	}
	return b, nil
}

// baseRecordError adds the file name and, if the parser knows it, the line to the error.
func baseRecordError(path string, err error) error {
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		t := located.GetToken()
		return eris.Errorf("%s:%d: %q is not valid here; the file holds the version and the hashes of the parts, as publish "+
			"wrote them", path, t.Position.Line, t.Value)
	}
	return eris.Wrap(err, path)
}

// write replaces the base record atomically, so that an interruption leaves either the old or the new one.
func (b *base) write(dir string) error {
	data, err := yaml.Marshal(b)
	if err != nil {
		return eris.Wrap(err, "encode base record")
	}
	f, err := os.CreateTemp(dir, BaseFile+".*")
	if err != nil {
		return eris.Wrap(err, "write base record")
	}
	_, err = f.Write(append([]byte(baseComment), data...))
	err = errors.Join(err, f.Close())
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(dir, BaseFile))
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return eris.Wrap(err, "write base record")
	}
	return nil
}
