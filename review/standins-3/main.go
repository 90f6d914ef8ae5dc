// Command standins3 runs the scripts of the third review: stand-ins of the platform, workers and clients around the project's own processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

var cases = map[string]func(*scene){}

// scene is what a case works with.
type scene struct {
	*site
	trouble bool
	serial  int
}

func main() {
	if len(os.Args) < 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE DEPLOY-FILE REPOSITORY FOLDER")
		os.Exit(2)
	}
	rec := newRecorder(filepath.Join(os.Args[4], "record.txt"))
	repository, err := filepath.Abs(os.Args[3])
	if err != nil {
		fail("%v", err)
	}
	s := &scene{site: newSite(rec, command(os.Args[2], repository), repository), trouble: os.Getenv("TROUBLE") != "0"}
	rec.add("case %s, trouble %v", os.Args[1], s.trouble)
	time.AfterFunc(115*time.Second, func() {
		rec.add("out of time")
		fail("out of time")
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { fail("%v", <-signals) }()
	cases[os.Args[1]](s)
	s.finish()
}

func (s *scene) finish() {
	n := len(s.checker.breaches)
	s.rec.add("%d rules broken, %d starts", n, s.checker.starts)
	for i, b := range s.checker.breaches {
		if i < 10 {
			fmt.Println("broken:", b)
		}
	}
	if n > 0 {
		exit(1)
	}
	fmt.Println("held")
	exit(0)
}

// command returns the program of the deploy file's role with its arguments.
func command(deploy, repository string) []string {
	b, err := os.ReadFile(deploy)
	if err != nil {
		fail("%v", err)
	}
	for _, l := range strings.Split(string(b), "\n") {
		if k, v, ok := strings.Cut(l, "="); ok && strings.TrimSpace(k) == "run" {
			w := strings.Fields(strings.Trim(strings.TrimSpace(v), `"`))
			w[0] = filepath.Join(repository, w[0])
			if _, err := os.Stat(w[0]); err != nil {
				fail("%v", err)
			}
			return w
		}
	}
	fail("no role in %s", deploy)
	return nil
}

// newID returns the ID of a new job.
func (s *scene) newID() string {
	s.serial++
	return fmt.Sprintf("%08x%08x", 0x5c0e7a21+s.serial*65537, time.Now().UnixNano()&0xffffffff)
}

// job returns a job of one queue.
func (s *scene) job(queue string, steps ...stepSpec) *jobSpec {
	j := &jobSpec{id: s.newID(), queue: queue, text: "plan " + queue, steps: steps}
	s.checker.add(j)
	return j
}

// submit submits a job as a client does, with up to 4 retries at the entries in turn, and returns whether it was accepted.
func (s *scene) submit(j *jobSpec) bool {
	unknown := false
	defer func() {
		if !unknown && !j.answered {
			s.checker.refuse(j)
		}
	}()
	for i := range 5 {
		e := s.entries[(s.serial+i)%len(s.entries)]
		status, _ := s.call(e, "POST", "/"+j.queue+"/"+j.id, j.body(), 3*time.Second)
		s.rec.add("client: POST %s to %s: %d", j.id, e.name, status)
		switch status {
		case 200:
			j.answered = true
			return true
		case 429, 503:
			time.Sleep(time.Second)
		case 400, 404, 413:
			time.Sleep(300 * time.Millisecond)
		default:
			unknown = true
			time.Sleep(300 * time.Millisecond)
		}
	}
	return false
}

// state asks for the state of a job, at any entry.
func (s *scene) state(j *jobSpec) (int, string) {
	status, text := 0, ""
	for _, e := range s.entries {
		if e.exited() {
			continue
		}
		n, b := s.call(e, "GET", "/"+j.queue+"/"+j.id, nil, 2*time.Second)
		status, text = n, string(b)
		if n == 200 {
			_, t, _ := strings.Cut(text, `"state":"`)
			t, _, _ = strings.Cut(t, `"`)
			return n, t
		}
	}
	return status, text
}
