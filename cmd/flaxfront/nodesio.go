package main

// This file implements the commands of `nodes`.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/discovery/nodelist"
	"flaxfront/internal/filesystem"
)

// listedEntry is an entry of the cached list in the JSON of export and import.
type listedEntry struct {
	Name       string    `json:"name"`
	Addr       string    `json:"addr"`
	Zone       string    `json:"zone"`
	Cell       int       `json:"cell"`
	State      string    `json:"state"`
	Started    time.Time `json:"started,omitzero"`
	Confirmed  time.Time `json:"confirmed,omitzero"`
	By         string    `json:"by"`
	Told       time.Time `json:"told,omitzero"`
	Generation uint64    `json:"generation"`
}

// utcTime returns a timestamp as a time in UTC, or the zero time if there is none.
func utcTime(m cachedlist.Timestamp) (t time.Time) {
	if m > 0 {
		t = m.Time().UTC()
	}
	return t
}

func writeJSON(w io.Writer, entries []cachedlist.Entry) error {
	all := []listedEntry{}
	for _, e := range entries {
		all = append(all, listedEntry{e.Name, e.Address.String(), e.Zone, e.Cell, e.State.String(), utcTime(e.StartedAt),
			utcTime(e.ConfirmedAt), e.ConfirmedBy.String(), utcTime(e.StateSince), e.Generation})
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(all)
}

// readEntries reads entries that export wrote. One invalid entry makes the whole file invalid.
func readEntries(path string, stdin io.Reader) (entries []cachedlist.Entry, err error) {
	in := stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	var all []listedEntry
	d := json.NewDecoder(in)
	d.DisallowUnknownFields()
	if err := d.Decode(&all); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	at := func(t time.Time) (m cachedlist.Timestamp) {
		if !t.IsZero() {
			m = cachedlist.TimestampOf(t)
		}
		return m
	}
	for i, l := range all {
		e := cachedlist.Entry{Name: l.Name, Zone: l.Zone, Cell: l.Cell, StartedAt: at(l.Started), ConfirmedAt: at(l.Confirmed),
			ConfirmedBy: cachedlist.SourceOperator, StateSince: at(l.Told), Generation: l.Generation}
		state := slices.IndexFunc([]cachedlist.State{cachedlist.Ready, cachedlist.Draining, cachedlist.Ended}, func(s cachedlist.State) bool {
			return s.String() == l.State
		})
		if e.State = cachedlist.State(max(0, state)); state < 0 {
			return nil, fmt.Errorf("%s: entry %d: unknown state %.40q", path, i, l.State)
		}
		if err := e.Address.UnmarshalText([]byte(l.Addr)); err != nil && e.State != cachedlist.Ended {
			return nil, fmt.Errorf("%s: entry %d: invalid addr %.60q", path, i, l.Addr)
		}
		if e.Name == "" || e.Cell < 0 {
			return nil, fmt.Errorf("%s: entry %d: name %.40q is empty or cell %d is negative", path, i, e.Name, e.Cell)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

func showNodes(out io.Writer, location listLocation, content *nodelist.Content, names []string, includeEnded, asJSON bool) error {
	var entries []cachedlist.Entry
	for _, e := range content.SortedByName() {
		if len(names) == 0 && (includeEnded || e.State != cachedlist.Ended) || slices.Contains(names, e.Name) {
			entries = append(entries, e)
		}
	}
	if asJSON {
		return writeJSON(out, entries)
	}
	for _, f := range content.FileErrors {
		fmt.Fprintf(out, "%s: damaged: %v\n", f.File, f.Err)
	}
	if !content.Found {
		fmt.Fprintln(out, "no readable list")
		return nil
	}
	now := cachedlist.TimestampOf(time.Now())
	fmt.Fprintf(out, "generation %d of %s, deployment %s, confirmed %s ago\n", content.Head.Generation, content.Head.Service,
		content.Head.Deployment, now.Since(content.Head.ConfirmedAt).Round(time.Second))
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tADDRESS\tZONE\tCELL\tSTATE\tCONFIRMED\tBY\tERROR PROBABILITY\tSTARTED")
	trust := location.operators.Start.Trust
	entryTable := cachedlist.NewEntryTable(content.Head, content.SortedByName())
	evaluator := cachedlist.NewEvaluator(cachedlist.Policy{HalfLife: trust.HalfLife, MaxAge: trust.MaxEntryAge, EjectionThreshold: trust.ExclusionThreshold, TrialInterval: trust.TrialDelay},
		entryTable, now)
	for _, e := range entries {
		confirmed, started := "never", "long ago"
		if age, known := evaluator.EntryAge(&e); known {
			confirmed = age.Round(time.Second).String() + " ago"
		}
		if e.StartedAt > 0 {
			started = utcTime(e.StartedAt).Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%.3f\t%s\n", e.Name, e.Address, e.Zone, e.Cell, e.State, confirmed, e.ConfirmedBy,
			evaluator.PriorErrorProbability(&e), started)
	}
	return w.Flush()
}

// verifyNodes returns an error if a file is damaged, or if a node that is in service by the list cannot be reached.
func verifyNodes(out io.Writer, location listLocation, connectTimeout time.Duration) error {
	content, err := nodelist.Read(filesystem.Local{}, location.dir, location.deployment)
	if err != nil {
		return err
	}
	for _, f := range content.FileErrors {
		fmt.Fprintf(out, "%s: %v\n", f.File, f.Err)
	}
	if !content.Found {
		return errors.New("no readable list")
	}
	var ready []cachedlist.Entry
	for _, e := range content.SortedByName() {
		if e.State == cachedlist.Ready {
			ready = append(ready, e)
		}
	}
	fmt.Fprintf(out, "%d entries, %d in service\n", len(content.Entries), len(ready))
	connectErrors := make([]error, len(ready))
	if connectTimeout > 0 {
		var g errgroup.Group
		g.SetLimit(32)
		for i := range ready {
			g.Go(func() error {
				conn, err := net.DialTimeout("tcp", ready[i].Address.String(), connectTimeout)
				if err == nil {
					conn.Close()
				}
				connectErrors[i] = err
				return nil
			})
		}
		g.Wait()
	}
	unreachable := 0
	for i, err := range connectErrors {
		if err != nil {
			unreachable++
			fmt.Fprintf(out, "%s: %v\n", ready[i].Name, err)
		}
	}
	if unreachable > 0 || len(content.FileErrors) > 0 {
		return fmt.Errorf("%d nodes unreachable, %d files damaged", unreachable, len(content.FileErrors))
	}
	return nil
}

// applyChange applies a request: through the broker that holds the directory, or here if there is none.
func applyChange(out io.Writer, location listLocation, request nodelist.OperatorRequest) error {
	current, err := nodelist.Read(filesystem.Local{}, location.dir, location.deployment)
	if err != nil {
		return err
	}
	deployment := location.deployment
	if deployment == "" {
		deployment = current.Head.Deployment
	}
	if deployment == "" {
		return errors.New("there is no list yet: set --config, which determines the deployment of a new list")
	}
	store, content := nodelist.Open(nodelist.Options{Directory: location.dir, Deployment: deployment})
	defer store.Close()
	if !store.HoldsLock() {
		if err := nodelist.SubmitRequest(filesystem.Local{}, location.dir, deployment, request, time.Now()); err != nil {
			return err
		}
		fmt.Fprintln(out, "request left for the running broker, which logs what it applied")
		return nil
	}
	entryTable := cachedlist.NewEntryTable(content.Head, content.SortedByName())
	fmt.Fprintf(out, "imported %d, deleted %d\n", entryTable.Import(request.Import), entryTable.Forget(request.Forget))
	if changes, any := entryTable.CollectChanges(); any {
		store.Enqueue(changes)
	}
	return store.Flush()
}
