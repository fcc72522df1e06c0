package cli

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"

	"knapweedreel/internal/jsonc"
	"knapweedreel/internal/keys"
)

const day = 24 * time.Hour

// authorityName is the name of the authority's files.
const authorityName = "authority"

// keyFiles is the result of the commands that create keys.
type keyFiles struct {
	Name        string    `json:"name"`
	Certificate string    `json:"certificate"`
	Key         string    `json:"key"`
	Expires     time.Time `json:"expires"`
}

func keysAuthorityCommand() *command {
	folder, days := ".", 3650
	return &command{
		name:        "keys authority",
		description: "Create a certificate authority: authority.pem and authority.key",
		examples:    []string{"knapweedreel keys authority --folder keys"},
		addArgs:     func(sc *flaggy.Subcommand) { addKeyFlags(sc, &folder, &days) },
		run: func(_ context.Context, s *session) error {
			validity, err := validityPeriod(days)
			if err != nil {
				return err
			}
			files := filesIn(folder, authorityName)
			if err := keys.CreateAuthority(files, "knapweedreel "+authorityName, validity); err != nil {
				return err
			}
			return s.printKeys(authorityName, files)
		},
	}
}

func keysInstanceCommand() *command {
	return certificateCommand("instance", keys.RoleInstance, "i1")
}

func keysOperatorCommand() *command {
	return certificateCommand("operator", keys.RoleOperator, "show-office")
}

func certificateCommand(name string, role keys.Role, example string) *command {
	var subject string
	folder, days := ".", 365
	return &command{
		name:        "keys " + name,
		description: fmt.Sprintf("Create a certificate for an %s, signed by the authority in the same folder", name),
		examples:    []string{fmt.Sprintf("knapweedreel keys %s %s --folder keys", name, example)},
		addArgs: func(sc *flaggy.Subcommand) {
			sc.AddPositionalValue(&subject, "NAME", 1, true, "Name for the certificate and its files")
			addKeyFlags(sc, &folder, &days)
		},
		run: func(_ context.Context, s *session) error {
			validity, err := validityPeriod(days)
			if err != nil {
				return err
			}
			if err := checkSubject(subject); err != nil {
				return err
			}
			files := filesIn(folder, subject)
			if err := keys.CreateCertificate(filesIn(folder, authorityName), files, subject, role, validity); err != nil {
				return err
			}
			return s.printKeys(subject, files)
		},
	}
}

func addKeyFlags(sc *flaggy.Subcommand, folder *string, days *int) {
	sc.String(folder, "", "folder", "Folder for the files")
	sc.Int(days, "", "days", "Days for which the certificate is valid")
}

func validityPeriod(days int) (time.Duration, error) {
	if days < 1 || days > 36_500 {
		return 0, exitErrorf(ExitUsage, "--days is %d, want 1 to 36500", days)
	}
	return time.Duration(days) * day, nil
}

// checkSubject accepts only names that settings and documents accept. They are
// safe as file names, too.
func checkSubject(name string) error {
	var problems jsonc.Problems
	problems.CheckName("NAME", name)
	if name == authorityName {
		problems.Add("NAME", "is the name of the authority's files")
	}
	if len(problems) > 0 {
		return exitErrorf(ExitUsage, "%v", problems[0])
	}
	return nil
}

func filesIn(folder, name string) keys.Files {
	return keys.Files{
		CertificateFile: filepath.Join(folder, name+".pem"),
		KeyFile:         filepath.Join(folder, name+".key"),
	}
}

// printKeys prints the files and the actual expiry of the certificate, which may
// be earlier than requested: no certificate outlives its authority.
func (s *session) printKeys(name string, files keys.Files) error {
	expires, err := keys.Expiry(files)
	if err != nil {
		return err
	}
	created := keyFiles{Name: name, Certificate: files.CertificateFile, Key: files.KeyFile, Expires: expires}
	return s.print(created, func(w io.Writer) {
		fmt.Fprintf(w, "name=%s certificate=%s key=%s expires=%s\n", name, files.CertificateFile, files.KeyFile, created.Expires.Format(time.RFC3339))
	})
}
