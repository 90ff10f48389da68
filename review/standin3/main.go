package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// cases maps the name of a case to what plays it.
var cases = map[string]func(l *lab, trouble bool) (broken bool, err error){
	"cuts":    playCuts,
	"memory":  playMemory,
	"resets":  playResets,
	"slow":    playSlow,
	"streams": playStreams,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case")
	gateway := flag.String("gateway", "target/radishshelf-gateway", "the gateway program")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	keep := flag.String("keep", "", "a folder for the logs of the gateways")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case; set -case")
		return exitFailed
	}
	l := newLab(*gateway, *record)
	defer func() { l.close(*keep) }()
	var broken bool
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() {
			if cause := recover(); cause != nil {
				err = fmt.Errorf("%v", cause)
			}
		}()
		broken, err = run(l, *trouble)
	}()
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-done:
	case <-told:
		err = errors.New("told to stop")
	case <-time.After(maxTime):
		err = fmt.Errorf("not over after %s", maxTime)
	}
	switch {
	case err != nil:
		l.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		l.record("the rule was broken")
		return exitBroken
	default:
		l.record("the rule held")
		return exitHeld
	}
}
