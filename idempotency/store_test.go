package idempotency

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/standin/memory"
)

func newStores(p *memory.Platform) (a, b *Store) {
	table := p.Services().Table
	return NewStore(table, "entry-1", 1e6), NewStore(table, "entry-2", 1e6)
}

func request(content string) Request {
	return Request{Workspace: "hraunvegur", Key: "k", Content: content, RequestID: "r"}
}

func expectRefusal(t *testing.T, err error, kind outcome.Kind, want outcome.Outcome) {
	t.Helper()
	r, ok := outcome.AsRefusal(err)
	if !ok || r.Kind != kind || r.Outcome != want {
		t.Fatalf("got %v, want %s %s", err, kind, want)
	}
}

// Guards against a request that is handled wrongly by another entry in any state of its claim.
func TestClaimByAnotherEntry(t *testing.T) {
	ctx := context.Background()
	p := memory.New(memory.Options{})
	a, b := newStores(p)
	claim, _, err := a.Claim(ctx, request("c"))
	if err != nil {
		t.Fatal(err)
	}
	_, _, err = b.Claim(ctx, request("c"))
	expectRefusal(t, err, outcome.KindDuplicate, outcome.MayHaveRun)
	_, _, err = b.Claim(ctx, request("other"))
	expectRefusal(t, err, outcome.KindConflict, outcome.NotRun)
	if err := claim.Release(ctx); err != nil {
		t.Fatal(err)
	}
	claim, _, err = b.Claim(ctx, request("c"))
	if err != nil {
		t.Fatal(err)
	}
	if err := claim.Finish(ctx, &Response{Status: 201, Body: []byte("done")}); err != nil {
		t.Fatal(err)
	}
	_, response, err := a.Claim(ctx, request("c"))
	if err != nil || response == nil || response.Status != 201 || string(response.Body) != "done" {
		t.Fatalf("got %+v, %v", response, err)
	}
	large := Request{Workspace: "hraunvegur", Key: "large", Content: "c"}
	claim, _, _ = a.Claim(ctx, large)
	if err := claim.Finish(ctx, &Response{Body: []byte(strings.Repeat("x", MaxResponseBytes+1))}); err != nil {
		t.Fatal(err)
	}
	_, _, err = b.Claim(ctx, large)
	expectRefusal(t, err, outcome.KindDuplicate, outcome.Ran)
	other := request("c")
	other.Workspace = "verband"
	if claim, response, err := b.Claim(ctx, other); claim == nil || response != nil || err != nil {
		t.Fatalf("two workspaces share the row of a key: %v %v %v", claim, response, err)
	}
	_, _, err = b.Claim(ctx, Request{Key: strings.Repeat("k", MaxKeyBytes+1)})
	expectRefusal(t, err, outcome.KindInvalid, outcome.NotRun)
}

// Guards against a request that is sent without a claim during a store outage, after a lost reply or above the rate
// limit, and against a stored response that is not returned above the rate limit.
func TestClaimUnderStoreFaults(t *testing.T) {
	ctx := context.Background()
	p := memory.New(memory.Options{})
	a, b := newStores(p)
	faults, _ := p.FaultInjector(memory.ServiceTable)
	faults.Set(memory.Faults{Outage: true})
	_, _, err := a.Claim(ctx, request("c"))
	expectRefusal(t, err, outcome.KindStoreDown, outcome.NotRun)
	faults.Set(memory.Faults{LoseReplies: 1})
	claim, _, err := a.Claim(ctx, request("c"))
	if err != nil || claim == nil {
		t.Fatalf("the entry did not find its own claim after a lost reply: %v", err)
	}
	if err := claim.Finish(ctx, &Response{Status: 200}); err != nil {
		t.Fatal(err)
	}
	slow := NewStore(p.Services().Table, "entry-3", 1)
	if _, _, err := slow.Claim(ctx, Request{Workspace: "w", Key: "1"}); err != nil {
		t.Fatal(err)
	}
	_, _, err = slow.Claim(ctx, Request{Workspace: "w", Key: "2"})
	expectRefusal(t, err, outcome.KindOverloaded, outcome.NotRun)
	if _, response, err := slow.Claim(ctx, request("c")); response == nil || err != nil {
		t.Fatalf("a stored response was not returned above the rate limit: %v", err)
	}
	if _, response, err := b.Claim(ctx, request("c")); response == nil || err != nil {
		t.Fatalf("got %v %v", response, err)
	}
}

// Guards against two concurrent requests that both get the claim of the same key.
func TestConcurrentClaimsHaveOneWinner(t *testing.T) {
	p := memory.New(memory.Options{})
	a, b := newStores(p)
	var wait sync.WaitGroup
	claims := make(chan *Claim, 64)
	for i := range 32 {
		for _, s := range []*Store{a, b} {
			wait.Go(func() {
				if claim, _, _ := s.Claim(context.Background(), request(fmt.Sprint(i%2))); claim != nil {
					claims <- claim
				}
			})
		}
	}
	wait.Wait()
	if len(claims) != 1 {
		t.Fatalf("%d requests got the claim, want 1", len(claims))
	}
}

// Guards against a decision that sends a request whose key has a row, or that replays the response to a different
// request.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		row := &Row{
			State:   rapid.SampledFrom([]State{Claimed, Done, "", "future"}).Draw(t, "state"),
			Content: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "content"),
		}
		if rapid.Bool().Draw(t, "answered") {
			row.Response = &Response{}
		}
		switch decision := Decide(row, "a"); decision {
		case Send:
			t.Fatal("a request whose key is claimed would be sent")
		case Replay:
			if row.Content != "a" || row.State != Done || row.Response == nil {
				t.Fatalf("replayed %+v", row)
			}
		case ContentMismatch:
			if row.Content == "a" {
				t.Fatal("the same request is treated as a different one")
			}
		}
	})
	if Decide(nil, "a") != Send {
		t.Fatal("a request with a new claim would not be sent")
	}
}
