package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

func init() { cases["versions"] = playVersions }

const (
	longEvents   = 50
	longPause    = 50 * time.Millisecond
	slowFactor   = 1.3
	versionItems = 8
)

// playVersions: as playLimits, but the added routes have single_version, no item fails, and a trainer names version 2 before the
// jobs come. Engines differ in speed, so that the gateways move texts to faster ones.
func playVersions(f *fleet, trouble bool) (bool, error) {
	for i := range 4 {
		e := f.newServer(fmt.Sprintf("engine-%d", i), "engines", "a", 32)
		e.versions = map[string]int64{lotModel: 1}
		pause := longPause
		if i == 0 || i == 3 {
			pause = time.Duration(slowFactor * float64(longPause))
		}
		e.serve = func(c *serverConn, r *serverRequest) bool { return serveLongItem(f, e, c, r, pause) }
		d := f.newServer(fmt.Sprintf("desk-%d", i), "desk", "a", 6)
		d.serve = func(c *serverConn, r *serverRequest) bool {
			c.send(200, map[string]string{"Radishshelf-Attempt-Id": r.ID, "Radishshelf-Server-Seal": d.seal(r)}, "score")
			return true
		}
		for _, s := range []*server{e, d} {
			if err := s.start(); err != nil {
				return false, err
			}
		}
	}
	if err := addRoutesInSilence(f, trouble, `,"single_version":true`); err != nil {
		return false, err
	}
	time.Sleep(100 * time.Millisecond)
	f.store.Put("op", "version/"+lotModel, []byte(`{"model":"`+lotModel+`","version":2}`))
	f.rec.printf("version 2 named")
	time.Sleep(1200 * time.Millisecond)
	return runVersionLots(f)
}

// serveLongItem generates the text of an item under the version that the engine has when the run begins.
func serveLongItem(f *fleet, s *server, c *serverConn, r *serverRequest, pause time.Duration) bool {
	if !s.take() {
		c.notRun(r)
		return true
	}
	defer s.release()
	s.mu.Lock()
	version := s.versions[lotModel]
	s.mu.Unlock()
	f.rec.printf("%s runs %s after event %d, version %d", s.name, r.ID, r.After, version)
	header := map[string]string{
		"Radishshelf-Attempt-Id": r.ID, "Radishshelf-Server-Seal": s.seal(r), "Radishshelf-Weight-Versions": fmt.Sprint(version),
		"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
	}
	_, _ = io.WriteString(c, encodeHead(200, header)+"\r\n") // a failed write shows as a closed connection
	for n := r.After + 1; n <= longEvents; n++ {
		select {
		case <-r.closed:
			return false
		case <-time.After(pause):
		}
		text := eventText(r.ID, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func versionLotBody(lot string) []byte {
	var requests []map[string]any
	for i := range versionItems {
		id := fmt.Sprintf("%s-item%d", lot, i)
		body := base64.StdEncoding.EncodeToString([]byte(id))
		requests = append(requests, map[string]any{
			"id": id, "path": "/item/" + id, "body": body, "tokens": 3000, "group": fmt.Sprint(i / 4),
			"headers": map[string]string{
				"Radishshelf-Model": lotModel, "Radishshelf-Token-Usage": "100,2900", "Radishshelf-Length-Hint": "2500",
			},
			"scorer_url": map[string]any{"id": "score-" + id, "host": apiHost, "path": "/score/" + id, "body": body},
		})
	}
	data, err := json.Marshal(map[string]any{
		"step": 1, "model": lotModel, "min_version": 1, "desired": 2, "requests": requests,
	})
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return data
}

// runVersionLots submits one job on each new route and checks the versions of its results.
func runVersionLots(f *fleet) (bool, error) {
	for n, prefix := range newPrefixes {
		lot := fmt.Sprintf("lot%d", n)
		r := exchange(http.MethodPost, f.gateways[n%2].front(), "/"+prefix+"/"+lot, lot, versionLotBody(lot), 5*time.Second)
		f.rec.printf("answer to the submission of %s: %d", lot, r.status)
		if r.status != http.StatusAccepted {
			return false, fmt.Errorf("job %s was not accepted: status %d", lot, r.status)
		}
	}
	held, read := true, 0
	for n := range newPrefixes {
		results, err := readLot(f, n, fmt.Sprintf("lot%d", n))
		if err != nil {
			return false, err
		}
		for _, r := range results {
			read++
			if r.State == "succeeded" && len(r.Versions) != 1 {
				f.rec.printf("VERSION %s has the versions %v on a single_version route", r.ID, strings.Trim(fmt.Sprint(r.Versions), "[]"))
				held = false
			}
		}
	}
	if read != len(newPrefixes)*versionItems {
		return false, fmt.Errorf("%d results were read", read)
	}
	return held, nil
}
