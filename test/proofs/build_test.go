package proofs

import (
	"fmt"
	"os/exec"
)

// goBuild builds a package of this module with cgo.
func goBuild(binary, pkg string) error {
	out, err := exec.Command("go", "build", "-o", binary, pkg).CombinedOutput()
	if err != nil {
		return fmt.Errorf("build %s: %w: %s", pkg, err, out)
	}
	return nil
}
