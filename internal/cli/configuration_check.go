package cli

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/configcheck"
	"knapweedreel/internal/store"
	"knapweedreel/platform"
)

// maxConfigurationBytes bounds what is read of a file. The configuration expected
// in two years, 48,000 routes and 69,000 accounts, has about 15 MB.
const maxConfigurationBytes = 256 << 20

type configurationCheck struct {
	file           string
	against        string // file with another version
	againstCurrent bool
	store          string // address
	settings       string // file
	json           bool
}

func configurationCheckCommand() *command {
	var c configurationCheck
	return &command{
		name:        "configuration check",
		description: "Report mistakes in a configuration of the platform, and what it changes",
		examples: []string{
			"knapweedreel configuration check new.json",
			"knapweedreel configuration check new.json --against old.json",
			"knapweedreel configuration check new.json --against-current --store 10.0.0.1:2379 --settings settings.jsonc",
		},
		addArgs: func(sc *flaggy.Subcommand) {
			sc.AddPositionalValue(&c.file, "FILE", 1, true, "File with the configuration, - for standard input")
			sc.String(&c.against, "", "against", "File with the version to compare with")
			sc.Bool(&c.againstCurrent, "", "against-current", "Compare with the version in the store, which is read once")
			sc.String(&c.store, "", "store", "IP:port of the store; default: the one of --settings")
			sc.String(&c.settings, "", "settings", "Settings file of an instance, with whose limits the configuration's are compared")
			sc.Bool(&c.json, "", "json", "The same as --output json")
		},
		run: c.run,
	}
}

func (c *configurationCheck) run(ctx context.Context, s *session) error {
	if c.json {
		s.output = outputJSON
	}
	bounds, err := c.prepare()
	if err != nil {
		return err
	}
	checked, err := c.check(s, c.file, bounds)
	if err != nil {
		return err
	}
	r := newConfigurationReport(c.file, checked)
	if updated := checked.Configuration; updated != nil && (c.against != "" || c.againstCurrent) {
		inForce, err := c.inForce(ctx, s)
		if err != nil {
			return err
		}
		differences, findings := configcheck.Compare(inForce, updated)
		checked.Findings = append(checked.Findings, findings...)
		configcheck.Sort(checked.Findings)
		r = newConfigurationReport(c.file, checked)
		r.compare(c.source(), inForce, differences)
	}
	if err := s.print(r, r.write); err != nil {
		return err
	}
	switch {
	case checked.Configuration == nil && (c.against != "" || c.againstCurrent):
		return exitErrorf(ExitUsage, "%s has errors: %d; it was not compared", c.file, r.Errors)
	case r.Errors > 0:
		return exitErrorf(ExitUsage, "%s has errors: %d", c.file, r.Errors)
	case r.Warnings > 0:
		return exitErrorf(ExitWarnings, "%s has warnings: %d", c.file, r.Warnings)
	}
	return nil
}

// prepare checks the flags, and returns the bounds that the settings set.
func (c *configurationCheck) prepare() (configcheck.Bounds, error) {
	var bounds configcheck.Bounds
	if c.against != "" && c.againstCurrent {
		return bounds, exitErrorf(ExitUsage, "--against and --against-current exclude each other")
	}
	if c.store != "" && !c.againstCurrent {
		return bounds, exitErrorf(ExitUsage, "--store needs --against-current")
	}
	if c.settings != "" {
		cfg, err := loadSettings(c.settings)
		if err != nil {
			return bounds, err
		}
		bounds.HeaderBytes = cfg.Limits.HeaderBytes
		bounds.HeaderTimeout = time.Duration(cfg.Times.HeaderMS) * time.Millisecond
		if cfg.Platform != nil {
			bounds.RetryReserve = cfg.Platform.RetryReserve
		}
		if c.store == "" {
			c.store = cfg.StoreAddress
		}
	}
	if c.againstCurrent && c.store == "" {
		return bounds, exitErrorf(ExitUsage, "--against-current needs the store's address: use --store or --settings")
	}
	return bounds, nil
}

func (c *configurationCheck) check(s *session, file string, bounds configcheck.Bounds) (*platform.CheckedConfiguration, error) {
	input, err := openInput(file)
	if err != nil {
		return nil, exitErrorf(ExitUsage, "read configuration: %v", err)
	}
	defer input.Close()
	text, err := io.ReadAll(io.LimitReader(input, maxConfigurationBytes+1))
	if err != nil {
		return nil, exitErrorf(ExitUsage, "read configuration: %v", err)
	}
	if len(text) > maxConfigurationBytes {
		return nil, exitErrorf(ExitUsage, "%s has more than %d bytes", file, maxConfigurationBytes)
	}
	p := newProgress(s.stderr, file, len(text), isTerminal(s.stderr))
	defer p.end()
	return platform.CheckConfiguration(text, bounds, p.report), nil
}

// source names the version that the configuration is compared with.
func (c *configurationCheck) source() string {
	if c.againstCurrent {
		return c.store
	}
	return c.against
}

// inForce returns the version to compare with, nil if the store has none.
func (c *configurationCheck) inForce(ctx context.Context, s *session) (*catalog.Configuration, error) {
	if c.againstCurrent {
		source := platform.NewStore(c.store)
		defer source.Close()
		current, err := source.Configuration(ctx)
		if errors.IsAny(err, store.ErrUnavailable, store.ErrUnknownResult) {
			return nil, exitErrorf(ExitUnreachable, "%s: %v", c.store, err)
		}
		return current, errors.Wrap(err, c.store)
	}
	checked, err := c.check(s, c.against, configcheck.Bounds{})
	if err != nil {
		return nil, err
	}
	if checked.Configuration == nil {
		first := newConfigurationReport(c.against, checked).Findings[0]
		return nil, exitErrorf(ExitUsage, "the version to compare with cannot be read: %s", first.text(c.against))
	}
	return checked.Configuration, nil
}
