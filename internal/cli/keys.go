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
		description: "Create an authority that signs certificates: authority.pem and authority.key",
		examples:    []string{"knapweedreel keys authority --folder keys"},
		define:      func(sc *flaggy.Subcommand) { keysFlags(sc, &folder, &days) },
		run: func(_ context.Context, s *session) error {
			validity, err := validityOf(days)
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
		description: fmt.Sprintf("Create a certificate of an %s, signed by the authority in the same folder", name),
		examples:    []string{fmt.Sprintf("knapweedreel keys %s %s --folder keys", name, example)},
		define: func(sc *flaggy.Subcommand) {
			sc.AddPositionalValue(&subject, "NAME", 1, true, "Name in the certificate and of its files")
			keysFlags(sc, &folder, &days)
		},
		run: func(_ context.Context, s *session) error {
			validity, err := validityOf(days)
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

func keysFlags(sc *flaggy.Subcommand, folder *string, days *int) {
	sc.String(folder, "", "folder", "Folder of the files")
	sc.Int(days, "", "days", "Days for which the certificate is valid")
}

func validityOf(days int) (time.Duration, error) {
	if days < 1 || days > 36_500 {
		return 0, exitWith(ExitUsage, "--days is %d, want 1 to 36500", days)
	}
	return time.Duration(days) * day, nil
}

// checkSubject allows only names that settings and documents allow, which are
// also safe as names of files.
func checkSubject(name string) error {
	var problems jsonc.Problems
	problems.CheckName("NAME", name)
	if name == authorityName {
		problems.Add("NAME", "is the name of the authority's files")
	}
	if len(problems) > 0 {
		return exitWith(ExitUsage, "%v", problems[0])
	}
	return nil
}

func filesIn(folder, name string) keys.Files {
	return keys.Files{
		CertificateFile: filepath.Join(folder, name+".pem"),
		KeyFile:         filepath.Join(folder, name+".key"),
	}
}

// printKeys prints the files and when the certificate really expires, which may
// be sooner than asked: no certificate outlives its authority.
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
