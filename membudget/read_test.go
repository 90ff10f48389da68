package membudget

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"
)

// newBody returns a body of n bytes, and readers of it that return it in different ways.
func newBody(rt *rapid.T, n int) ([]byte, io.Reader) {
	want := bytes.Repeat([]byte("abc"), n/3+1)[:n]
	var source io.Reader = bytes.NewReader(want)
	switch rapid.IntRange(0, 2).Draw(rt, "reader") {
	case 1:
		source = iotest.HalfReader(source)
	case 2:
		source = iotest.DataErrReader(source)
	}
	return want, source
}

// Guards against a body that is truncated or altered, against a short one that looks complete, and against memory that
// is not reserved.
func TestReadDeclaredBody(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sent := rapid.IntRange(1, 3*initialDeclaredBytes).Draw(rt, "sent")
		length := int64(rapid.SampledFrom([]int{sent, sent + 1, sent + initialDeclaredBytes}).Draw(rt, "length"))
		want, source := newBody(rt, sent)
		budget := New(1<<30, func(int64) {})
		body, err := budget.NewReservation(func() {}).ReadBody(source, length, 1<<30)
		if short := length > int64(sent); short != (err != nil) {
			rt.Fatalf("%d of %d bytes sent: %v", sent, length, err)
		}
		if err != nil {
			return
		}
		if !bytes.Equal(body, want) || budget.Used() != int64(cap(body)) || cap(body) != int(length) {
			rt.Fatalf("%d bytes sent, %d read with a capacity of %d, %d reserved", sent, len(body), cap(body), budget.Used())
		}
	})
}

// Guards against a body of unknown length that is altered, exceeds its limit, or counts as complete after it was cut off, and
// against memory that stays reserved.
func TestReadBodyOfUnknownLength(t *testing.T) {
	errCut := errors.New("connection reset")
	rapid.Check(t, func(rt *rapid.T) {
		sizes := []int{0, 1, firstChunkBytes - 1, firstChunkBytes, firstChunkBytes + 1, firstChunkBytes + chunkBytes, 3 * chunkBytes}
		sent := rapid.SampledFrom(sizes).Draw(rt, "sent") + rapid.IntRange(0, 3).Draw(rt, "more")
		limit := int64(sent + rapid.IntRange(-2, 2).Draw(rt, "limit"))
		want, source := newBody(rt, sent)
		cut := rapid.SampledFrom([]error{nil, errCut, io.ErrUnexpectedEOF}).Draw(rt, "cut")
		if cut != nil {
			source = io.MultiReader(source, iotest.ErrReader(cut))
		}
		budget := New(1<<30, func(int64) {})
		r := budget.NewReservation(func() {})
		body, err := r.ReadBody(source, -1, limit)
		switch {
		case int64(sent) > limit:
			if !errors.Is(err, ErrTooLarge) && !errors.Is(err, cut) {
				rt.Fatalf("%d bytes with a limit of %d: %v", sent, limit, err)
			}
		case cut != nil:
			if !errors.Is(err, cut) {
				rt.Fatalf("%v for a body that was cut off by %v", err, cut)
			}
		case err != nil || !bytes.Equal(body, want) || budget.Used() != int64(sent):
			rt.Fatalf("%d bytes sent, %d read, %d reserved: %v", sent, len(body), budget.Used(), err)
		}
		if r.Release(); budget.Used() != 0 {
			rt.Fatalf("%d bytes are still reserved", budget.Used())
		}
	})
}

// endless is a body without end.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

// Guards against reading on after the memory has run out, and against a declared length that takes memory by itself.
func TestEndlessBodyIsGivenUp(t *testing.T) {
	for _, length := range []int64{-1, 1 << 29} {
		budget := New(1<<20, func(int64) {})
		source := &endless{}
		if _, err := budget.NewReservation(func() {}).ReadBody(source, length, 1<<30); !errors.Is(err, ErrShed) {
			t.Errorf("length %d: %v, want %v", length, err, ErrShed)
		}
		if source.read > 1<<20 || budget.Used() != 0 {
			t.Errorf("length %d: %d bytes read with a budget of 1 MiB, %d still reserved", length, source.read, budget.Used())
		}
	}
}

// Guards against memory that is given to one body while the owner of another, which was shed for it, still holds its own.
func TestMemoryIsTakenOnceTheShedOneIsReleased(t *testing.T) {
	budget := New(100, func(int64) {})
	shed := make(chan struct{})
	large := budget.NewReservation(func() { close(shed) })
	large.Add(80)
	other := budget.NewReservation(func() { t.Error("the smaller reservation was shed") })
	taken := make(chan bool, 1)
	go func() { taken <- other.reserve(40) }()
	<-shed
	select {
	case <-taken:
		t.Fatal("memory was taken although the owner of the shed reservation still holds its own")
	case <-time.After(50 * time.Millisecond):
	}
	large.Release()
	if !<-taken || budget.Used() != 40 {
		t.Errorf("%d bytes are reserved after the release, want 40", budget.Used())
	}
}
