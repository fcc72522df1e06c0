package cli

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
)

// buildVersion describes the running build.
type buildVersion struct {
	Version  string `json:"version"`
	Revision string `json:"revision"` // of the source; empty if unknown
	Modified bool   `json:"modified"` // the source had changes after Revision
	Go       string `json:"go"`
}

func versionCommand() *command {
	return &command{
		name:        "version",
		description: "Print the version of this binary",
		examples:    []string{"knapweedreel version --output json"},
		run: func(_ context.Context, s *session) error {
			v := readVersion()
			return s.print(v, func(w io.Writer) { fmt.Fprintf(w, "knapweedreel %s %s %s\n", v.Version, v.Revision, v.Go) })
		},
	}
}

func readVersion() buildVersion {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return buildVersion{Version: "unknown"}
	}
	v := buildVersion{Version: info.Main.Version, Go: info.GoVersion}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			v.Revision = setting.Value
		case "vcs.modified":
			v.Modified = setting.Value == "true"
		}
	}
	return v
}
