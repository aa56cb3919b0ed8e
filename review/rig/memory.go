package rig

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	memoryLook  = 20 * time.Millisecond
	memoryNotes = 25 // looks from one note to the next
)

// WatchMemory is the platform: over its memory a broker is killed, which breaks the rule. Only memory that is no file's counts here.
func (r *Run) WatchMemory(b *Broker, limitMB int) {
	go func() {
		for n := 0; !b.Ended(); n++ {
			used := anonymousKB(b.cmd.Process.Pid)
			if n%memoryNotes == 0 {
				r.Note("broker %s uses %d KB of %d", b.Name, used, limitMB<<10)
			}
			if used > limitMB<<10 {
				r.Broken("broker %s uses %d KB, over its limit of %d MB, and is killed", b.Name, used, limitMB)
				b.Signal(syscall.SIGKILL)
				return
			}
			time.Sleep(memoryLook)
		}
	}()
}

// anonymousKB returns the memory of a process that is no file's, in KB.
func anonymousKB(pid int) int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return kb
		}
	}
	return 0
}
