package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain lets the test binary stand in for the program.
func TestMain(m *testing.M) {
	if os.Getenv("BALANCER_AS_PROGRAM") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func program(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "BALANCER_AS_PROGRAM=1", "ROUTER_CONFIG="+path)
	return c
}

const config = `{"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","health":"in_service"}]},
 "settings":{"limits":{"conn-idle-ms":30000,"connect-timeout-ms":75},
  "lanes":[{"name":"a","target-ms":100,"deadline-ms":200,"worth":1}]}}`

// newAgent is a discovery that keeps its watches open; it says when one begins.
func newAgent(t *testing.T) (addr string, watched <-chan struct{}) {
	t.Helper()
	began := make(chan struct{}, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, `{"seq":2,"whole":false,"hosts":[]}`)
		w.(http.Flusher).Flush()
		began <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String(), began
}

// SIGHUP moves the watch to the discovery that the file now names, an unusable file changes nothing, and only
// SIGTERM ends the program.
func TestServesThroughSIGHUPUntilSIGTERM(t *testing.T) {
	agent, watched := newAgent(t)
	c := program(t, fmt.Sprintf(config, agent))
	stderr, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(stderr)
	await := func(what string) (found string) {
		t.Helper()
		line := regexp.MustCompile(what)
		for lines.Scan() {
			if m := line.FindStringSubmatch(lines.Text()); m != nil {
				return m[len(m)-1]
			}
		}
		t.Fatalf("it ended without saying %q: %v", what, c.Wait())
		return ""
	}
	signal := func(s os.Signal) {
		t.Helper()
		if err := c.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	configure := func(text string) {
		t.Helper()
		path := strings.TrimPrefix(c.Env[len(c.Env)-1], "ROUTER_CONFIG=")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		signal(syscall.SIGHUP)
	}
	addr := await(`msg=serving .*listen=(\S+)`)
	for ready := false; !ready; {
		resp, err := http.Get("http://" + addr + "/ready")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		ready = resp.StatusCode == http.StatusOK
	}
	<-watched
	configure("{")
	await("the old one stays")
	moved, watched := newAgent(t)
	configure(fmt.Sprintf(config, moved))
	<-watched
	signal(syscall.SIGTERM)
	for lines.Scan() {
	}
	if err := c.Wait(); err != nil {
		t.Errorf("ended with %v, want exit 0", err)
	}
}

// A configuration that cannot be read in the moment of SIGHUP, because it is being written or the system lacks something,
// is read a moment later: no second signal comes.
func TestConfigurationThatIsWholeAMomentAfterSIGHUP(t *testing.T) {
	agent, watched := newAgent(t)
	c := program(t, fmt.Sprintf(config, agent))
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill(); c.Wait() })
	<-watched
	moved, watchedThere := newAgent(t)
	text := []byte(fmt.Sprintf(config, moved))
	path := strings.TrimPrefix(c.Env[len(c.Env)-1], "ROUTER_CONFIG=")
	if err := os.WriteFile(path, text[:len(text)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	c.Process.Signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond) // it finds half of the file meanwhile; if not, the test shows less
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	select {
	case <-watchedThere:
	case <-time.After(4 * time.Second):
		t.Error("4 s after the signal the node has not moved")
	}
}

// Each thing that is wrong with a fleet configuration gets a line of its own, with file, line and key.
func TestBadFleetConfiguration(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(path, []byte("name = \"x\"\n[mesh]\nlisten = \"nowhere\"\nprobe = \"1ms\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c := program(t, fmt.Sprintf(config, "127.0.0.1:1"))
	c.Env = append(c.Env, "ROUTER_FLEET="+path)
	out, err := c.CombinedOutput()
	if exit, ok := err.(*exec.ExitError); !ok || exit.ExitCode() != 1 {
		t.Errorf("ended with %v, want exit 1", err)
	}
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	if len(lines) != 2 || !strings.HasPrefix(lines[0], "balancer: "+path+":3: mesh.listen: ") || !strings.HasPrefix(lines[1], "balancer: "+path+":4: mesh.probe: ") {
		t.Errorf("said %q, want a line for listen and one for probe", lines)
	}
}

func TestBadConfiguration(t *testing.T) {
	for name, text := range map[string]string{
		"empty":       "",
		"no JSON":     "{",
		"no settings": `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1"}`,
		"no classes":  `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{"limits":{"conn-idle-ms":1,"connect-timeout-ms":1}}}`,
		"bad seed":    strings.Replace(fmt.Sprintf(config, "127.0.0.1:1"), "8c1f", "xyz", 1),
		"bad listen":  strings.Replace(fmt.Sprintf(config, "127.0.0.1:1"), "127.0.0.1:0", "nowhere", 1),
		"bad control": strings.Replace(fmt.Sprintf(config, "127.0.0.1:1"), `"name":"n0"`, `"name":"n0","control":"nowhere"`, 1),
		"bad limits":  strings.Replace(fmt.Sprintf(config, "127.0.0.1:1"), `"sockets":1024`, `"sockets":-1`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			var stderr strings.Builder
			c := program(t, text)
			c.Stderr = &stderr
			err := c.Run()
			if exit, ok := err.(*exec.ExitError); !ok || exit.ExitCode() != 1 {
				t.Errorf("ended with %v, want exit 1", err)
			}
			if lines := strings.Count(stderr.String(), "\n"); lines != 1 || !strings.HasPrefix(stderr.String(), "balancer: ") {
				t.Errorf("said %q, want one line", stderr.String())
			}
		})
	}
}

// A client that comes and goes while the process sleeps is not served when it wakes; one that stays is.
func TestClientsOfASleepingProcess(t *testing.T) {
	agent, watched := newAgent(t)
	got := make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { got <- r.Header.Get("X-Call-Id") }))
	t.Cleanup(server.Close)
	u := upgradable{freeAddr(t), t.TempDir(), agent}
	text := strings.Replace(fmt.Sprintf(config, u.agent), `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, u.listen), 1)
	p := proc{program(t, strings.Replace(text, "127.0.0.1:1", server.Listener.Addr().String(), 1)), ""}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill(); p.Wait() })
	<-watched
	p.await(t, "it serves", u.taken)
	p.Process.Signal(syscall.SIGSTOP)
	p.await(t, "it sleeps", func() bool {
		stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
		return strings.Contains(string(stat), ") T ")
	})
	dial := func(id, more string) net.Conn {
		c, err := net.Dial("tcp", u.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: s\r\nX-Call-Id: %s\r\nX-Call-Class: a\r\nX-Budget: 9000m\r\n\r\n%s", id, more)
		return c
	}
	for i, more := range []string{"", "P", "POST /api HTTP/1.1\r\nX: " + strings.Repeat("x", 8<<10)} {
		dial(fmt.Sprint("left-", i), more).Close()
	}
	stays := dial("stays", "")
	p.Process.Signal(syscall.SIGCONT)
	resp, err := http.ReadResponse(bufio.NewReader(stays), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("one that stayed got %v, %v", resp, err)
	}
	p.Process.Signal(syscall.SIGTERM) // what it would have sent on has been sent when it ends
	p.Wait()
	for close(got); ; {
		switch id, more := <-got; {
		case !more:
			return
		case id != "stays":
			t.Errorf("%s was sent on, though its client had left", id)
		}
	}
}

// Signals that come while a process leaves change nothing: neither a second SIGTERM nor SIGHUP ends it before it has
// answered.
func TestSignalsWhileLeaving(t *testing.T) {
	agent, watched := newAgent(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-release
	}))
	t.Cleanup(server.Close)
	u := upgradable{freeAddr(t), t.TempDir(), agent}
	text := strings.NewReplacer(`"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, u.listen), "127.0.0.1:1", server.Listener.Addr().String(),
		`"target-ms":100,"deadline-ms":200`, `"target-ms":20000,"deadline-ms":60000`).Replace(fmt.Sprintf(config, agent))
	p := proc{program(t, text), ""}
	stderr, err := p.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill(); p.Wait() })
	lines := bufio.NewScanner(stderr)
	await := func(what string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), what) {
				return
			}
		}
		t.Fatalf("it ended without saying %q", what)
	}
	<-watched
	p.await(t, "it serves", u.taken)
	c, err := net.Dial("tcp", u.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /api HTTP/1.1\r\nHost: s\r\nX-Call-Id: 1\r\nX-Call-Class: a\r\nX-Budget: 60000m\r\n\r\n")
	<-arrived
	p.Process.Signal(syscall.SIGTERM)
	await("to=leaving")
	p.Process.Signal(syscall.SIGTERM)
	p.Process.Signal(syscall.SIGHUP)
	await("msg=reconfigured")
	close(release)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("what it had got %v, %v", resp, err)
	}
	for lines.Scan() {
	}
	if err := p.Wait(); err != nil {
		t.Errorf("ended with %v, want exit 0", err)
	}
}
