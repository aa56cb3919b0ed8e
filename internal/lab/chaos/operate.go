package chaos

// This file acts as an operator: it runs commands of the program, sends requests to voters, reads brokers' logs and edits their
// settings.

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"time"

	"flaxfront/internal/cluster/controlplane"
)

// Command runs `flaxfront fleet ...` as an operator and returns its output.
func (t *Tier) Command(args ...string) (string, error) {
	cmd := exec.Command(t.options.Program, append([]string{"fleet", "--operator", t.CommandFile}, args...)...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		err = errors.Join(err, errors.New(string(out)))
	}
	return string(out), err
}

// SendToVoters sends a request to the voters in turn, beginning with the given one.
func (t *Tier) SendToVoters(ctx context.Context, first int, verb string, r *controlplane.Request, into any) error {
	var voters []controlplane.Voter
	for i := range t.options.Voters {
		b := t.Brokers[(first+i)%t.options.Voters]
		voters = append(voters, controlplane.Voter{Name: b.Name, Addr: b.PeerAddr})
	}
	return controlplane.SendRequest(ctx, t.operatorKeys, voters, verb, r, into)
}

// Status returns the status that a majority of the voters has agreed on, or an error after within.
func (t *Tier) Status(within time.Duration) (s controlplane.Status, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	err = t.SendToVoters(ctx, 0, controlplane.VerbStatus, &controlplane.Request{}, &s)
	return s, err
}

// BrokerNamed returns the broker with a name, or nil.
func (t *Tier) BrokerNamed(name string) *Broker {
	for _, b := range t.Brokers {
		if b.Name == name {
			return b
		}
	}
	return nil
}

// LogLines returns the lines of a broker's log that contain text, from a byte offset on.
func (b *Broker) LogLines(from int, text string) (lines []string) {
	all, _ := os.ReadFile(b.Log)
	for line := range strings.Lines(string(all[min(from, len(all)):])) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// LogSize returns the size of a broker's log in bytes.
func (b *Broker) LogSize() int {
	all, _ := os.ReadFile(b.Log)
	return len(all)
}

var maxOpenSetting = regexp.MustCompile(`"maxOpen": \d+`)

// SetMaxOpen sets maxOpen, the number of queries and shard requests that a broker may hold, from its next run on. A low value
// acts as a bad release.
func (b *Broker) SetMaxOpen(most string) error {
	text, err := os.ReadFile(b.Config)
	if err != nil {
		return err
	}
	return os.WriteFile(b.Config, maxOpenSetting.ReplaceAll(text, []byte(`"maxOpen": `+most)), 0o600)
}
