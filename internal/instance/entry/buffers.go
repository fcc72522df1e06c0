package entry

import "sync"

// buffers is a sequence of bytes in chunks. All chunks but the first have
// bodyChunk bytes, so that no byte is copied when it grows.
type buffers struct {
	chunks [][]byte // each with its full length
	length int      // number of bytes filled
}

// chunkPool holds chunks of bodyChunk bytes. A crowd whose bodies are refused would
// otherwise produce garbage faster than it is collected within the memory limit.
var chunkPool = sync.Pool{New: func() any { return new([bodyChunk]byte) }}

// add adds an empty chunk.
func (b *buffers) add(size int) {
	if size == bodyChunk {
		b.chunks = append(b.chunks, chunkPool.Get().(*[bodyChunk]byte)[:])
	} else {
		b.chunks = append(b.chunks, make([]byte, size))
	}
}

// recycle returns chunks to the pool. Nothing may use them any more.
func recycle(chunks [][]byte) {
	for _, c := range chunks {
		if len(c) == bodyChunk {
			chunkPool.Put((*[bodyChunk]byte)(c))
		}
	}
}

// clear drops all chunks.
func (b *buffers) clear() {
	recycle(b.chunks)
	*b = buffers{}
}

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
	n, last := b.length, len(b.chunks)-1
	recycle(b.chunks[:last])
	b.chunks = b.chunks[last:]
	b.length = 0
	return n
}
