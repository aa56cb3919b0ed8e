package chaos

// This file owns an operator's side: the commands of the program, requests put through a chosen broker, and brokers' logs.

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

// Command runs `flaxfront fleet ...` as an operator and returns what it prints.
func (t *Tier) Command(args ...string) (string, error) {
	cmd := exec.Command(t.options.Program, append([]string{"fleet", "--operator", t.CommandFile}, args...)...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		err = errors.Join(err, errors.New(string(out)))
	}
	return string(out), err
}

// SendToVoters puts a request to the voters in turn, first to one of them.
func (t *Tier) SendToVoters(ctx context.Context, first int, verb string, r *controlplane.Request, into any) error {
	var voters []controlplane.Voter
	for i := range t.options.Voters {
		b := t.Brokers[(first+i)%t.options.Voters]
		voters = append(voters, controlplane.Voter{Name: b.Name, Addr: b.PeerAddr})
	}
	return controlplane.SendRequest(ctx, t.operatorKeys, voters, verb, r, into)
}

// Status is what a majority knows, or an error after so long.
func (t *Tier) Status(within time.Duration) (s controlplane.Status, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	err = t.SendToVoters(ctx, 0, controlplane.VerbStatus, &controlplane.Request{}, &s)
	return s, err
}

// BrokerNamed finds a broker by its name.
func (t *Tier) BrokerNamed(name string) *Broker {
	for _, b := range t.Brokers {
		if b.Name == name {
			return b
		}
	}
	return nil
}

// LogLines lists the lines of a broker's log, from a place on, that hold a text.
func (b *Broker) LogLines(from int, text string) (lines []string) {
	all, _ := os.ReadFile(b.Log)
	for line := range strings.Lines(string(all[min(from, len(all)):])) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// LogSize is the place at which a broker's log ends by now.
func (b *Broker) LogSize() int {
	all, _ := os.ReadFile(b.Log)
	return len(all)
}

var maxOpenSetting = regexp.MustCompile(`"maxOpen": \d+`)

// SetMaxOpen changes how many searches a broker's next life may hold, as a bad release does.
func (b *Broker) SetMaxOpen(most string) error {
	text, err := os.ReadFile(b.Config)
	if err != nil {
		return err
	}
	return os.WriteFile(b.Config, maxOpenSetting.ReplaceAll(text, []byte(`"maxOpen": `+most)), 0o600)
}
