package instance

import "testing"

// Guards against a memory limit that leaves no room for the program's code and for
// socket buffers on a small machine. With 64 MB and a limit of 0.7, a crowd that
// didn't read its responses brought the process to 64.6 MB with its sockets.
func TestMemoryLimitLeavesRoom(t *testing.T) {
	for _, c := range []struct{ memoryMB, want int }{{32, 16}, {64, 38}, {136, 95}, {536, 375}} {
		if got := memoryLimit(c.memoryMB) >> 20; got != int64(c.want) {
			t.Errorf("%d MB: limit of %d MB, want %d", c.memoryMB, got, c.want)
		}
	}
}
