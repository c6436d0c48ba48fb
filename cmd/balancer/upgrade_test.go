package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// upgradable starts processes of one node: the same address and $TMPDIR, a door of its own for each.
type upgradable struct {
	listen, tmp, agent string
}

func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

type proc struct {
	*exec.Cmd
	door string
}

func (u upgradable) start(t *testing.T) proc {
	t.Helper()
	door := freeAddr(t)
	text := strings.Replace(fmt.Sprintf(config, u.agent), `"listen":"127.0.0.1:0"`,
		fmt.Sprintf(`"listen":%q,"control":%q`, u.listen, door), 1)
	p := proc{program(t, text), door}
	p.Env = append(p.Env, "TMPDIR="+u.tmp)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill(); p.Wait() })
	p.await(t, "it can serve", p.says("/control/ready"))
	return p
}

func (p proc) await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// says whether the door answers yes.
func (p proc) says(path string) func() bool {
	return func() bool {
		resp, err := http.Get("http://" + p.door + path)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
}

// taken is whether the front's question is answered yes.
func (u upgradable) taken() bool {
	front := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := front.Get("http://" + u.listen + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Whichever process is killed or told to stop, and when, the node serves on or starts anew.
func TestUpgradesAndKills(t *testing.T) {
	agent, _ := newAgent(t)
	u := upgradable{freeAddr(t), t.TempDir(), agent}
	a := u.start(t)
	b := u.start(t)
	b.Process.Kill() // the new one
	b.Wait()
	a.await(t, "the old one serves alone", u.taken)
	for range 10 {
		if !u.taken() {
			t.Fatal("it does not serve alone")
		}
	}
	a.await(t, "it waits for the next one", func() bool {
		c, err := net.Dial("unix", u.tmp+"/quaywick-"+u.listen+".sock")
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	c := u.start(t)
	a.Process.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- a.Wait() }()
	for waiting := true; waiting; {
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("the old one ended with %v", err)
			}
			waiting = false
		default:
			if !u.taken() {
				t.Fatal("the front heard a no")
			}
		}
	}
	d := u.start(t)
	c.Process.Kill() // the old one
	c.Wait()
	d.await(t, "the new one serves alone", u.taken)
	d.Process.Kill() // both gone, the file is left
	d.Wait()
	if links, err := os.ReadDir(u.tmp); err != nil || len(links) == 0 {
		t.Errorf("nothing was left behind: %v", err)
	}
	e := u.start(t)
	e.await(t, "it starts anew", u.taken)
}

// A door that is taken is said in one line, before anything is served.
func TestAdminAddressInUse(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c := program(t, strings.Replace(fmt.Sprintf(config, "127.0.0.1:1"), `"name":"n0"`,
		fmt.Sprintf(`"name":"n0","control":%q`, ln.Addr()), 1))
	var said strings.Builder
	c.Stderr = &said
	if err := c.Run(); err == nil || strings.Count(said.String(), "\n") != 1 || !strings.HasPrefix(said.String(), "balancer: control: ") {
		t.Errorf("ended with %v and said %q", err, said.String())
	}
}
