package entry

import (
	"fmt"
	"io"

	"github.com/radishshelf/radishshelf/dataplane"
)

// memoryAnswer receives an answer that the entry itself uses, such as a sample or a score.
type memoryAnswer struct {
	limit  int
	status int
	body   []byte
}

// receive implements receiver.
func (m *memoryAnswer) receive(answer *dataplane.Response) error {
	body, err := io.ReadAll(io.LimitReader(answer, int64(m.limit)+1))
	if err != nil {
		return err
	}
	if len(body) > m.limit {
		return fmt.Errorf("the answer is larger than %d bytes", m.limit)
	}
	m.status = answer.Status
	m.body = body
	return nil
}

// passedOn implements receiver. Nothing reaches the caller before the whole group is complete.
func (m *memoryAnswer) passedOn() int64 { return 0 }
