package prefixindex

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against reuse of cached blocks across workspaces, policies, adapters or weight versions.
func TestBlockHashesSeparateScopes(t *testing.T) {
	scopes := []Scope{
		{Workspace: "a", Policy: "p", Version: 1}, {Workspace: "b", Policy: "p", Version: 1},
		{Workspace: "a", Policy: "q", Version: 1}, {Workspace: "a", Policy: "p", Adapter: "x", Version: 1},
		{Workspace: "a", Policy: "p", Version: 2}, {Workspace: "ap", Version: 1}, {Policy: "ap", Version: 1},
	}
	seen := map[uint64]Scope{}
	for _, s := range scopes {
		h := BlockHashes(s, []byte("0123456789abcdef"), 16, 8)[0]
		if other, ok := seen[h]; ok {
			t.Errorf("%+v and %+v share a block hash", s, other)
		}
		seen[h] = s
	}
}

// Guards against a block that matches although the prompt before it differs.
func TestBlockHashesCoverEarlierBlocks(t *testing.T) {
	a := BlockHashes(Scope{}, []byte("aaaabbbbc"), 4, 8)
	b := BlockHashes(Scope{}, []byte("xxxxbbbbc"), 4, 8)
	if len(a) != 2 || len(b) != 2 || a[1] == b[1] {
		t.Fatalf("chains %v and %v", a, b)
	}
}

// Guards against an upstream that matches a prefix although it does not hold one of the earlier blocks.
func TestMatchCountsLeadingBlocks(t *testing.T) {
	x := New(DefaultConfig())
	x.RecordRouted("full", []uint64{1, 2, 3}, start)
	x.RecordRouted("head", []uint64{1}, start)
	x.RecordRouted("tail", []uint64{2, 3}, start)
	got := x.Match([]uint64{1, 2, 3}, start)
	if len(got) != 2 || got["full"] != 3 || got["head"] != 1 {
		t.Fatalf("match %v", got)
	}
}

// Guards against a match of blocks that are no longer cached, after expiry, removal, a gap in the events, or a restart
// or crash of the engine.
func TestStaleHoldersDoNotMatch(t *testing.T) {
	cfg := DefaultConfig()
	tests := []struct {
		name string
		then func(x *Index)
		at   time.Duration
		want int
	}{
		{"fresh", func(*Index) {}, time.Second, 1},
		{"expired", func(*Index) {}, cfg.TTL, 0},
		{"removed", func(x *Index) { x.Apply(Event{"e", "i1", 2, nil, []uint64{1}}, start) }, 0, 0},
		{"late removal is ignored", func(x *Index) { x.Apply(Event{"e", "i1", 1, nil, []uint64{1}}, start) }, 0, 1},
		{"gap, at first", func(x *Index) { x.Apply(Event{"e", "i1", 5, nil, nil}, start.Add(time.Second)) }, 2 * time.Second, 1},
		{"gap, later", func(x *Index) { x.Apply(Event{"e", "i1", 5, nil, nil}, start.Add(time.Second)) }, time.Second + cfg.GapTTL, 0},
		{"restarted", func(x *Index) { x.Apply(Event{"e", "i2", 1, nil, nil}, start) }, 0, 0},
		{"crashed", func(x *Index) { x.RemoveUpstream("e") }, 0, 0},
	}
	for _, tt := range tests {
		x := New(cfg)
		x.Apply(Event{Upstream: "e", Incarnation: "i1", Seq: 1, Added: []uint64{1}}, start)
		tt.then(x)
		if got := x.Match([]uint64{1}, start.Add(tt.at))["e"]; got != tt.want {
			t.Errorf("%s: %d blocks, want %d", tt.name, got, tt.want)
		}
	}
}

// Guards against unbounded memory growth and against a match of more blocks than the prompt has.
func TestMemoryIsBoundedUnderAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{TTL: time.Minute, GapTTL: time.Second, MaxBlocks: 20, MaxHolders: 3, MaxUpstreams: 4}
		x := New(cfg)
		now := start
		hashes := rapid.SliceOfN(rapid.Uint64Range(1, 60), 0, 6)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			name := fmt.Sprint("u", rapid.IntRange(0, 6).Draw(t, "upstream"))
			if rapid.Bool().Draw(t, "routed") {
				x.RecordRouted(name, hashes.Draw(t, "prompt"), now)
			} else {
				seq := rapid.Int64Range(0, 20).Draw(t, "seq")
				x.Apply(Event{name, "i", seq, hashes.Draw(t, "added"), hashes.Draw(t, "removed")}, now)
			}
			prompt := hashes.Draw(t, "asked")
			for u, n := range x.Match(prompt, now) {
				if n < 1 || n > len(prompt) {
					t.Fatalf("%s matches %d of %d blocks", u, n, len(prompt))
				}
			}
			if x.Len() > cfg.MaxBlocks || len(x.upstreams) > cfg.MaxUpstreams {
				t.Fatalf("%d blocks, %d upstreams", x.Len(), len(x.upstreams))
			}
		}
	})
}
