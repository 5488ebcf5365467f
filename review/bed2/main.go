package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// isTroubled reports whether the disruption of the case is to happen.
func isTroubled() bool { return os.Getenv("TROUBLE") != "0" }

var settingsVariable = flag.String("settings-variable", "", "variable that holds the path of the settings of a process")

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", "", "folder of the case")
	accounts := flag.Int("accounts", 6000, "accounts of the configuration, for lost-machine")
	losses := flag.Int("losses", 7, "machines that are lost one after the other, for lost-machine")
	flag.Parse()
	file, err := os.Create(filepath.Join(*folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &record{start: time.Now(), file: file}
	var broken bool
	switch *name {
	case "lost-machine":
		broken, err = lostMachine(r, dir, *accounts, *losses)
	case "slow-reader":
		broken, err = slowReader(r, dir)
	case "mid-reader":
		broken, err = midReader(r, dir)
	case "slow-in-burst":
		broken, err = slowInBurst(r, dir)
	default:
		err = fmt.Errorf("no case %q", *name)
	}
	switch {
	case err != nil:
		r.line("could not run: %v", err)
		return exitNotRun
	case broken:
		r.line("RESULT: the rule was broken")
		return exitBroken
	}
	r.line("RESULT: the rule held")
	return exitHeld
}
