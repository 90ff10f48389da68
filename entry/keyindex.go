package entry

import (
	"context"
	"sync"
)

// keyIndex holds the requests in progress by key id, so that withdrawing a key cancels them at once.
type keyIndex struct {
	mu       sync.Mutex
	requests map[string]map[*keyedRequest]struct{}
}

// keyedRequest is one request in progress. It is a pointer key in the index, because functions are not comparable.
type keyedRequest struct{ cancel context.CancelCauseFunc }

func newKeyIndex() *keyIndex { return &keyIndex{requests: map[string]map[*keyedRequest]struct{}{}} }

// add indexes a request and returns the function that removes it.
func (x *keyIndex) add(keyID string, cancel context.CancelCauseFunc) (remove func()) {
	request := &keyedRequest{cancel: cancel}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.requests[keyID] == nil {
		x.requests[keyID] = map[*keyedRequest]struct{}{}
	}
	x.requests[keyID][request] = struct{}{}
	return func() { x.remove(keyID, request) }
}

func (x *keyIndex) remove(keyID string, request *keyedRequest) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.requests[keyID], request)
	if len(x.requests[keyID]) == 0 {
		delete(x.requests, keyID)
	}
}

// cancel cancels all requests of a key with cause and returns their number.
func (x *keyIndex) cancel(keyID string, cause error) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	for request := range x.requests[keyID] {
		request.cancel(cause)
	}
	return len(x.requests[keyID])
}

// cancelAll cancels the requests of all keys with cause and returns their number.
func (x *keyIndex) cancelAll(cause error) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	count := 0
	for _, requests := range x.requests {
		for request := range requests {
			request.cancel(cause)
		}
		count += len(requests)
	}
	return count
}

// keys returns the ids of keys that have requests in progress.
func (x *keyIndex) keys() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	keys := make([]string, 0, len(x.requests))
	for key := range x.requests {
		keys = append(keys, key)
	}
	return keys
}
