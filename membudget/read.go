package membudget

import (
	"errors"
	"io"
	"sync"
)

const (
	// firstChunkBytes holds most bodies, and chunkBytes is the size of the chunks of larger ones.
	firstChunkBytes = 4 << 10
	chunkBytes      = 64 << 10
	// initialDeclaredBytes is how much memory is allocated for a body of a declared length before its bytes arrive, and
	// declaredGrowth the factor by which its buffer grows once it is full.
	initialDeclaredBytes = 256 << 10
	declaredGrowth       = 4
)

var (
	// ErrTooLarge is the error of a body that exceeds its limit.
	ErrTooLarge = errors.New("the body exceeds its limit")
	// ErrShed is the error of a body whose reservation was shed.
	ErrShed = errors.New("the body was given up because memory ran short")
)

// chunks holds chunks for reuse. Bodies without end would otherwise leave garbage faster than it is collected.
var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// ReadBody reads src to its end, at most limit bytes. length is the declared length of the body, -1 if it has none. Memory
// is reserved before it is allocated. The error is ErrTooLarge, ErrShed, or that of src, which is io.ErrUnexpectedEOF for a
// body that is shorter than declared.
func (r *Reservation) ReadBody(src io.Reader, length, limit int64) ([]byte, error) {
	switch {
	case length > limit:
		return nil, ErrTooLarge
	case length >= 0:
		return r.readDeclared(src, length)
	default:
		return r.readUndeclared(src, limit)
	}
}

// readDeclared reads a body of a declared length. The buffer grows with the bytes that arrive, because a declared length
// alone is no reason to take memory, up to the exact length.
func (r *Reservation) readDeclared(src io.Reader, length int64) ([]byte, error) {
	var body []byte
	for size := min(length, initialDeclaredBytes); ; size = min(length, declaredGrowth*size) {
		filled := len(body)
		if !r.reserve(int(size) - filled) {
			return nil, ErrShed
		}
		larger := make([]byte, size)
		copy(larger, body)
		body = larger
		if _, err := io.ReadFull(src, body[filled:]); err != nil {
			return nil, unexpectedEOF(err)
		}
		if size == length {
			return body, nil
		}
	}
}

// unexpectedEOF replaces the error for a body that ends before its first byte.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readUndeclared reads a body of unknown length, in chunks that are joined at its end.
func (r *Reservation) readUndeclared(src io.Reader, limit int64) ([]byte, error) {
	if !r.reserve(firstChunkBytes) {
		return nil, ErrShed
	}
	first := make([]byte, firstChunkBytes)
	n, err := fill(src, first)
	switch {
	case int64(n) > limit:
		return nil, ErrTooLarge
	case err == io.EOF:
		r.ShrinkTo(int64(n))
		return first[:n], nil
	case err != nil:
		return nil, err
	}
	list := &chunkList{total: int64(n)}
	defer list.release()
	for list.total <= limit {
		if !r.reserve(chunkBytes) {
			return nil, ErrShed
		}
		err := list.readChunk(src)
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if list.total > limit {
		return nil, ErrTooLarge
	}
	body := list.join(first)
	r.ShrinkTo(list.total)
	return body, nil
}

// fill reads until buf is full. Unlike io.ReadFull it returns the error of src as it is: io.EOF means the end of the body,
// also after some bytes, and io.ErrUnexpectedEOF that the body was cut off.
func fill(src io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var more int
		more, err = src.Read(buf[n:])
		n += more
	}
	if n == len(buf) && err == io.EOF {
		err = nil // found again by the next read
	}
	return n, err
}

// chunkList holds the chunks of a body after its first bytes.
type chunkList struct {
	chunks []*[chunkBytes]byte
	// lastBytes is the length of the last chunk, and total that of the body.
	lastBytes int
	total     int64
}

// readChunk reads one more chunk. The error is io.EOF at the end of the body.
func (l *chunkList) readChunk(src io.Reader) error {
	c := chunks.Get().(*[chunkBytes]byte)
	l.chunks = append(l.chunks, c)
	var err error
	l.lastBytes, err = fill(src, c[:])
	l.total += int64(l.lastBytes)
	return err
}

// joining is held while a body exists twice, in its chunks and as a whole. Only one body at a time takes this memory, which
// is not reserved.
var joining sync.Mutex

// join returns the whole body and gives the chunks back.
func (l *chunkList) join(first []byte) []byte {
	joining.Lock()
	defer joining.Unlock()
	defer l.release()
	body := append(make([]byte, 0, l.total), first...)
	for i, c := range l.chunks {
		if i == len(l.chunks)-1 {
			return append(body, c[:l.lastBytes]...)
		}
		body = append(body, c[:]...)
	}
	return body
}

func (l *chunkList) release() {
	for _, c := range l.chunks {
		chunks.Put(c)
	}
	l.chunks = nil
}

// ShrinkTo lowers the size of a reservation that is not kept.
func (r *Reservation) ShrinkTo(bytes int64) {
	if r.budget == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if !r.released && !r.wasShed && bytes < r.bytes {
		r.budget.used -= r.bytes - bytes
		r.bytes = bytes
	}
}
