// Package crowd sends crowds of uncontrolled clients to one instance process and
// checks that the process lives, that its memory and descriptors stay under a
// bound and that an ordinary request is answered meanwhile. None of the checks
// depends on the speed of the machine.
package crowd
