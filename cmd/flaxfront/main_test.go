package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const configText = `{"name":"n0","listen":"127.0.0.1:%d","discovery":"127.0.0.1:1","seed":"1f",
 "limits":{"cores":1,"memory_mb":64,"sockets":64},"settings":{"azs":["a"],"stepNs":5000000,
 "classes":[{"aimNs":2000000000,"deadlineNs":4000000000,"effect":"read_like","name":"find"}],
 "domain":{"cells":1,"classFloor":[0.5],"slices":1,"width":1},"safety":{"askWithinNs":10000000000},
 "permissions":{"connIdleNs":30000000000,"connectTimeoutNs":250000000,"maxAttempts":4,"multiplex":32}}}`

// SIGHUP never ends the process, whatever the file contains; SIGTERM ends it without error, even during a reload.
func TestSignals(t *testing.T) {
	file, port := filepath.Join(t.TempDir(), "config.json"), 20000+os.Getpid()%10000
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(fmt.Sprintf(configText, port))
	done := make(chan error, 1)
	go func() { done <- serve(file, "") }()
	waitUntilUp := func() {
		t.Helper()
		for range 500 {
			if r, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/up", port)); err == nil {
				r.Body.Close()
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatal("the broker did not answer /up within 5 s")
	}
	waitUntilUp()
	for _, text := range []string{"{", "", fmt.Sprintf(configText, port+1)} {
		write(text)
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		waitUntilUp()
	}
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// An error with a remedy is printed with the remedy on a second line; an error without one is printed alone.
func TestErrorText(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operator.json5")
	if err := os.WriteFile(file, []byte("{\n\"dor\": {}}"), 0o600); err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(filepath.Dir(file), "config.json")
	if err := os.WriteFile(config, fmt.Appendf(nil, configText, 1), 0o600); err != nil {
		t.Fatal(err)
	}
	_, _, err := load(config, file)
	want := "flaxfront: operators' file: " + file + ":2: dor: unknown key\nwhat to do: correct line 2 of " + file
	if err == nil || !strings.HasPrefix(errorText(err), want) || strings.Count(errorText(err), "\n") != 2 {
		t.Errorf("printed %q", errorText(err))
	}
	if got := errorText(errNoConfig); strings.Count(got, "\n") != 1 {
		t.Errorf("printed %q", got)
	}
}
