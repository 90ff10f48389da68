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

func wantOutcome(t *testing.T, err error, kind outcome.Kind, what outcome.Outcome) {
	t.Helper()
	r, ok := outcome.AsRefusal(err)
	if !ok || r.Kind != kind || r.Outcome != what {
		t.Fatalf("got %v, want %s %s", err, kind, what)
	}
}

// Guards against a wrong answer in any state of the claim, seen from another entry.
func TestStates(t *testing.T) {
	ctx := context.Background()
	p := memory.New(memory.Options{})
	a, b := newStores(p)
	claim, _, err := a.Claim(ctx, request("c"))
	if err != nil {
		t.Fatal(err)
	}
	_, _, err = b.Claim(ctx, request("c"))
	wantOutcome(t, err, outcome.KindDuplicate, outcome.MayHaveRun)
	_, _, err = b.Claim(ctx, request("other"))
	wantOutcome(t, err, outcome.KindConflict, outcome.NotRun)
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
	_, answer, err := a.Claim(ctx, request("c"))
	if err != nil || answer == nil || answer.Status != 201 || string(answer.Body) != "done" {
		t.Fatalf("got %+v, %v", answer, err)
	}
	large := Request{Workspace: "hraunvegur", Key: "large", Content: "c"}
	claim, _, _ = a.Claim(ctx, large)
	if err := claim.Finish(ctx, &Response{Body: []byte(strings.Repeat("x", MaxResponseBytes+1))}); err != nil {
		t.Fatal(err)
	}
	_, _, err = b.Claim(ctx, large)
	wantOutcome(t, err, outcome.KindDuplicate, outcome.Ran)
	other := request("c")
	other.Workspace = "verband"
	if claim, answer, err := b.Claim(ctx, other); claim == nil || answer != nil || err != nil {
		t.Fatalf("a key of another workspace shares the row: %v %v %v", claim, answer, err)
	}
	_, _, err = b.Claim(ctx, Request{Key: strings.Repeat("k", MaxKeyBytes+1)})
	wantOutcome(t, err, outcome.KindInvalid, outcome.NotRun)
}

// Guards against sending without a claim during an outage, after a lost reply, and above the rate.
func TestFaults(t *testing.T) {
	ctx := context.Background()
	p := memory.New(memory.Options{})
	a, b := newStores(p)
	faults, _ := p.Switch(memory.ServiceTable)
	faults.Set(memory.Faults{Outage: true})
	_, _, err := a.Claim(ctx, request("c"))
	wantOutcome(t, err, outcome.KindStoreDown, outcome.NotRun)
	faults.Set(memory.Faults{LoseReplies: 1})
	claim, _, err := a.Claim(ctx, request("c"))
	if err != nil || claim == nil {
		t.Fatalf("the own claim was not found after a lost reply: %v", err)
	}
	if err := claim.Finish(ctx, &Response{Status: 200}); err != nil {
		t.Fatal(err)
	}
	slow := NewStore(p.Services().Table, "entry-3", 1)
	if _, _, err := slow.Claim(ctx, Request{Workspace: "w", Key: "1"}); err != nil {
		t.Fatal(err)
	}
	_, _, err = slow.Claim(ctx, Request{Workspace: "w", Key: "2"})
	wantOutcome(t, err, outcome.KindOverloaded, outcome.NotRun)
	if _, answer, err := slow.Claim(ctx, request("c")); answer == nil || err != nil {
		t.Fatalf("a stored answer was refused above the rate: %v", err)
	}
	if _, answer, err := b.Claim(ctx, request("c")); answer == nil || err != nil {
		t.Fatalf("got %v %v", answer, err)
	}
}

// Guards against two entries that both hold the claim of one key.
func TestOneClaimOfManyAtOnce(t *testing.T) {
	p := memory.New(memory.Options{})
	a, b := newStores(p)
	var wait sync.WaitGroup
	won := make(chan *Claim, 64)
	for i := range 32 {
		for _, s := range []*Store{a, b} {
			wait.Go(func() {
				if claim, _, _ := s.Claim(context.Background(), request(fmt.Sprint(i%2))); claim != nil {
					won <- claim
				}
			})
		}
	}
	wait.Wait()
	if len(won) != 1 {
		t.Fatalf("%d entries hold the claim", len(won))
	}
}

// Guards against a decision that sends a request whose key has a row, or replays an answer to another request.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		row := &Row{
			State:   rapid.SampledFrom([]State{Claimed, Done, "", "future"}).Draw(t, "state"),
			Content: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "content"),
		}
		if rapid.Bool().Draw(t, "answered") {
			row.Response = &Response{}
		}
		switch verdict := Decide(row, "a"); verdict {
		case Send:
			t.Fatal("a claimed request was sent")
		case Replay:
			if row.Content != "a" || row.State != Done || row.Response == nil {
				t.Fatalf("replayed %+v", row)
			}
		case ContentMismatch:
			if row.Content == "a" {
				t.Fatal("the same request counts as another")
			}
		}
	})
	if Decide(nil, "a") != Send {
		t.Fatal("a new claim is not sent")
	}
}
