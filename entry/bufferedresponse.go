package entry

import (
	"fmt"
	"io"

	"github.com/radishshelf/radishshelf/dataplane"
)

// bufferedResponse holds a response that the entry itself uses, such as a sample or a score.
type bufferedResponse struct {
	limit  int
	status int
	body   []byte
}

// receive implements responseReceiver.
func (b *bufferedResponse) receive(response *dataplane.Response) error {
	body, err := io.ReadAll(io.LimitReader(response, int64(b.limit)+1))
	if err != nil {
		return err
	}
	if len(body) > b.limit {
		return fmt.Errorf("the response is larger than %d bytes", b.limit)
	}
	b.status = response.Status
	b.body = body
	return nil
}

// bytesPassedOn implements responseReceiver. Nothing is sent to the caller before the whole group is complete.
func (b *bufferedResponse) bytesPassedOn() int64 { return 0 }
