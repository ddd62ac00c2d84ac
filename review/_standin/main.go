// Command standin plays one case of the review: it starts hosts as processes, and stand-ins for the store, the instances and the
// clients. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func() int{
	"mixed":    mixedCase,
	"writer":   writerCase,
	"large":    largeCase,
	"twice":    twiceCase,
	"reload":   reloadCase,
	"cold":     coldCase,
	"pipeline": pipelineCase,
	"watch":    watchCase,
	"leaving":  leavingCase,
	"shed":     shedCase,
	"popular":  popularCase,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]]))
}

func run(play func() int) (code int) {
	defer func() {
		if value := recover(); value != nil {
			fmt.Fprintln(os.Stderr, "case could not run:", value)
			code = 2
		}
	}()
	return play()
}
