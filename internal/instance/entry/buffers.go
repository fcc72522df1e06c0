package entry

// buffers is a sequence of bytes in chunks. All chunks but the first have
// bodyChunk bytes, so that no byte is copied when it grows.
type buffers struct {
	chunks [][]byte // each with its full length
	length int      // number of bytes filled
}

// add adds an empty chunk.
func (b *buffers) add(size int) { b.chunks = append(b.chunks, make([]byte, size)) }

// free returns the rest of the last chunk.
func (b *buffers) free() []byte {
	if len(b.chunks) == 0 {
		return nil
	}
	filled := b.length
	for _, c := range b.chunks[:len(b.chunks)-1] {
		filled -= len(c)
	}
	return b.chunks[len(b.chunks)-1][filled:]
}

// extend counts n bytes written to the start of free as filled.
func (b *buffers) extend(n int) { b.length += n }

// size returns the number of bytes that the chunks take.
func (b *buffers) size() int {
	n := 0
	for _, c := range b.chunks {
		n += len(c)
	}
	return n
}

// from returns filled bytes from an offset on, up to the end of their chunk.
func (b *buffers) from(offset int) []byte {
	if offset >= b.length {
		return nil
	}
	first := len(b.chunks[0])
	if offset < first {
		return b.chunks[0][offset:min(first, b.length)]
	}
	n := 1 + (offset-first)/bodyChunk
	begin := first + (n-1)*bodyChunk
	return b.chunks[n][offset-begin : min(bodyChunk, b.length-begin)]
}

// rewind empties the sequence but keeps its last chunk. It returns the number of
// bytes dropped.
func (b *buffers) rewind() int {
	n := b.length
	b.chunks = b.chunks[len(b.chunks)-1:]
	b.length = 0
	return n
}
