package placement

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/goldentest"
)

// Guards against unreviewed changes of who takes over a job.
func TestSuccessions(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, _, script string) string {
		s := &succession{t: t, hosts: map[string]Successor{}}
		return goldentest.ReplayEvents(script, s.run)
	})
}

type succession struct {
	t     *testing.T
	hosts map[string]Successor
}

func (s *succession) run(words []string) []string {
	switch words[0] {
	case "host": // host NAME REGION STARTED [ITEMS] [new] [crashed]
		h := Successor{Host: Host{Name: words[1], Region: words[2], CPUShare: 0.5}, StartedAt: s.at(words[3]), Settled: true}
		for _, w := range words[4:] {
			switch w {
			case "new":
				h.Settled = false
			case "crashed":
				h.AfterCrash = true
			default:
				h.Items = s.number(w)
			}
		}
		s.hosts[h.Name] = h
	case "stop":
		delete(s.hosts, words[1])
	case "released": // released JOB HOST REGION ITEMS AT: a host whose heartbeat does not say yet that it leaves
		r := Release{Host: words[2], OwnerStartedAt: s.hosts[words[2]].StartedAt, At: s.at(words[5])}
		return []string{strings.Join(s.order(words[1], words[3], s.number(words[4]), r), " ")}
	case "release": // release JOB REGION ITEMS OWNER-STARTED AT
		r := Release{Host: "owner", OwnerStartedAt: s.at(words[4]), At: s.at(words[5])}
		return []string{strings.Join(s.order(words[1], words[2], s.number(words[3]), r), " ")}
	case "loss": // loss JOB REGION ITEMS
		return []string{strings.Join(s.order(words[1], words[2], s.number(words[3]), Release{}), " ")}
	default:
		s.t.Fatalf("no event %s", words[0])
	}
	return nil
}

func (s *succession) order(job, region string, items int, r Release) []string {
	var hosts []Successor
	for _, h := range s.hosts {
		hosts = append(hosts, h) // in any order
	}
	return Succession(job, region, items, r, hosts)
}

func (s *succession) at(word string) time.Duration {
	d, err := time.ParseDuration(word)
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}

func (s *succession) number(word string) int {
	n, err := strconv.Atoi(word)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

// drawSuccessors draws hosts with distinct names.
func drawSuccessors(t *rapid.T) []Successor {
	var hosts []Successor
	for i := range rapid.IntRange(1, 8).Draw(t, "hosts") {
		hosts = append(hosts, Successor{
			Host: Host{
				Name: fmt.Sprint("h", i), Region: rapid.SampledFrom([]string{"north", "south"}).Draw(t, "region"),
				CPUShare: rapid.SampledFrom([]float64{0.05, 0.8}).Draw(t, "share"),
				Items:    rapid.IntRange(0, 900).Draw(t, "items"),
			},
			StartedAt: time.Duration(rapid.IntRange(-50, 100).Draw(t, "started")) * time.Second,
			Settled:   rapid.Bool().Draw(t, "settled"), AfterCrash: rapid.Bool().Draw(t, "crashed"),
		})
	}
	return hosts
}

// Guards against hosts that compute different orders from the same heartbeats, against a live host without a turn, and
// against one that gains a better turn by having crashed or by not being settled.
func TestSuccessionIsOneOrderOfAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := drawSuccessors(t)
		at := time.Duration(rapid.IntRange(2, 100).Draw(t, "at")) * time.Second
		released := Release{Host: "o", OwnerStartedAt: time.Second, At: at}
		order := Succession("job", "north", 50, released, hosts)
		other := Succession("job", "north", 50, released, rapid.Permutation(hosts).Draw(t, "order"))
		if !slices.Equal(order, other) {
			t.Fatalf("%v and %v", order, other)
		}
		if len(order) != len(hosts) || len(slices.Compact(slices.Sorted(slices.Values(order)))) != len(hosts) {
			t.Fatalf("%v of %d hosts", order, len(hosts))
		}
		i := rapid.IntRange(0, len(hosts)-1).Draw(t, "changed")
		before := slices.Index(order, hosts[i].Name)
		hosts[i].AfterCrash, hosts[i].StartedAt = true, max(hosts[i].StartedAt, released.At)
		if after := slices.Index(Succession("job", "north", 50, released, hosts), hosts[i].Name); after < before {
			t.Fatalf("%s goes from turn %d to %d by crashing", hosts[i].Name, before, after)
		}
	})
}

// Guards against jobs that are handed to a host that is stopped next: in a rolling restart of hosts with capacity, in any
// order and at any pace, a job that was handed to a restarted host is not handed over again.
func TestRollingRestartHandsAJobOverOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 12).Draw(t, "hosts")
		// The hosts have run for at least as long as the whole restart will take.
		gap := time.Duration(rapid.IntRange(2, 600).Draw(t, "gap")) * time.Second
		age := time.Duration(n)*gap + time.Duration(rapid.IntRange(0, 3600).Draw(t, "age"))*time.Second
		hosts := make([]Successor, n)
		for i := range hosts {
			region := rapid.SampledFrom([]string{"north", "south"}).Draw(t, "region")
			spread := time.Duration(rapid.IntRange(1, 999).Draw(t, "spread")) * time.Millisecond
			host := Host{Name: fmt.Sprint("h", i), Region: region, CPUShare: 0.8}
			hosts[i] = Successor{Host: host, StartedAt: spread, Settled: true}
		}
		stopAfter := func(i int) time.Duration { return age + time.Duration(i)*gap }
		owner := rapid.IntRange(1, n-1).Draw(t, "owner") // when the first one stops, none was restarted
		for i := range owner {
			hosts[i].StartedAt = stopAfter(i) + time.Second
		}
		released := Release{Host: hosts[owner].Name, OwnerStartedAt: hosts[owner].StartedAt, At: stopAfter(owner)}
		live := slices.Delete(slices.Clone(hosts), owner, owner+1)
		next := Succession("job", "north", 60, released, live)[0]
		for i := owner + 1; i < n; i++ {
			if hosts[i].Name == next {
				t.Fatalf("%s is stopped at %s and hands the job to %s, which is stopped at %s",
					released.Host, released.At, next, stopAfter(i))
			}
		}
	})
}
