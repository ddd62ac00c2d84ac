// Command standin runs the cases of the second review against the programs of the project, as separate processes.
//
//	standin CASE --binary target/monsoonhub --record FILE
package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func copyBody(to *strings.Builder, r *http.Request) (int64, error) { return io.Copy(to, r.Body) }

// cases run one case each. They return whether the rule was broken, and a line that says why.
var cases = map[string]func(f *fleet, trouble bool) (bool, string){
	"continue": runContinue,
	"named":    runNamed,
	"tail":     runTail,
}

func main() {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE --binary FILE --record FILE")
		os.Exit(2)
	}
	flags := flag.NewFlagSet("standin", flag.ExitOnError)
	binary := flags.String("binary", "target/monsoonhub", "program of the project")
	recordFile := flags.String("record", "record.txt", "file for what was sent, answered and run")
	must(flags.Parse(os.Args[2:]))
	os.Exit(runCase(cases[os.Args[1]], *binary, *recordFile))
}

func runCase(run func(f *fleet, trouble bool) (bool, string), binary, recordFile string) (code int) {
	rec := newRecord(recordFile)
	f := newFleet(binary, rec)
	defer f.stop()
	defer func() {
		if value := recover(); value != nil {
			rec.add("did not run: %v", value)
			fmt.Println("could not run:", value)
			code = 2
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		f.stop()
		os.Exit(2)
	}()
	timer := time.AfterFunc(110*time.Second, func() {
		f.stop()
		os.Exit(2)
	})
	defer timer.Stop()
	broken, why := run(f, os.Getenv("TROUBLE") != "0")
	rec.add("broken: %t: %s", broken, why)
	fmt.Printf("broken: %t: %s\n", broken, why)
	if broken {
		return 1
	}
	return 0
}
