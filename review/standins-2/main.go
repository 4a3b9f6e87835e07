// Command standins plays the cases of the review against the daemons of the users' platform: it is the platform's store, the
// servers and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(r *run) (broken bool, err error){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		os.Exit(serve(os.Args[2:]))
	}
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of the case")
	program := flag.String("program", "target/camphormill-platform", "program of the daemons")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	os.Exit(playCase(play, *dir, *program))
}

func playCase(play func(r *run) (bool, error), dir, program string) int {
	r, err := newRun(os.Getenv("TROUBLE") != "0", dir, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		r.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(r)
	switch {
	case err != nil:
		r.logf("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.logf("the rule was BROKEN")
		return exitBroken
	}
	r.logf("the rule held")
	return exitHeld
}
