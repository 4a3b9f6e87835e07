// Command driver runs the scripted cases of the review. It starts the daemons of the project as
// processes on loopback addresses, plays the platform, the targets and the callers itself, and writes
// what was sent, answered and run to a record. Exit status: 0 if the rule held, 1 if it was broken, 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseFunc runs one case and reports whether the rule was broken. trouble is false for the run without
// the disruption.
type caseFunc func(f *fleet, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"planned-stop":    plannedStop,
	"empty-query":     emptyQuery,
	"failed-resume":   failedResume,
	"lapsed-registry": lapsedRegistry,
	"power-loss":      powerLoss,
}

func main() {
	os.Exit(drive(os.Args[1:]))
}

func drive(args []string) int {
	const usage = "usage: driver CASE PROGRAM RECORD"
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, usage)
		return exitFailed
	}
	record, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("case %s, trouble %t", args[0], trouble)
	program, err := filepath.Abs(args[1])
	if err != nil {
		record.printf("cannot find the program: %v", err)
		return exitFailed
	}
	f, err := newFleet(program, record)
	if err != nil {
		record.printf("cannot set up: %v", err)
		return exitFailed
	}
	defer f.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		f.close()
		os.Exit(exitFailed)
	}()
	broken, err := cases[args[0]](f, trouble)
	switch {
	case err != nil:
		record.printf("could not run: %v", err)
		return exitFailed
	case broken:
		record.printf("result: the rule was broken")
		return exitBroken
	}
	record.printf("result: the rule held")
	return exitHeld
}
