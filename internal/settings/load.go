package settings

import (
	"os"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/jsonc"
)

// maxFileBytes is the maximum size of a settings file. A normal one has a few
// kilobytes.
const maxFileBytes = 1 << 20

// Load reads a settings file, fills in defaults and validates the result. If the
// file has problems, the error is a *jsonc.Error with all of them.
func Load(path string) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	if info.Size() > maxFileBytes {
		return Settings{}, errors.Newf("read settings: %s is %d bytes long, at most %d are allowed", path, info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse is like Load for the text of a settings file. The name is used in
// problems.
func Parse(name string, text []byte) (Settings, error) {
	var s Settings
	source := jsonc.Read(name, text, &s)
	s.Normalize()
	source.Add(s.Validate()...)
	if err := source.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}
