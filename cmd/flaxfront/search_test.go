package main

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/lab/archive"
	"flaxfront/internal/protocols/front/sru"
	"flaxfront/internal/protocols/front/z3950"
)

// The command search prints the answers of the SRU and Z39.50 servers.
func TestSearch(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	operators := operator.Default()
	operators.SRU.Listen, operators.Z3950.Listen = "127.0.0.1:0", "127.0.0.1:0"
	s, err := sru.Listen(archive.New(archive.DublinCoreRecord), operators.SRU)
	if err != nil {
		t.Fatal(err)
	}
	z, err := z3950.Listen(archive.New(archive.DublinCoreRecord), operators.Z3950)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range []interface{ Serve(context.Context) error }{s, z} {
		go f.Serve(ctx)
	}
	for _, c := range []struct {
		at    net.Addr
		args  []string
		wants []string
	}{
		{s.Addr(), []string{"--protocol", "sru", "--start", "9", "--most", "3", "dc.title = cat"}, []string{"30 records", "9: <dc", "11: <dc", "record 0 of shard 1"}},
		{s.Addr(), []string{"--protocol", "sru", "foo.bar = cat"}, []string{"diagnostic 16", "foo.bar"}},
		{z.Addr(), []string{"--protocol", "z3950", "--start", "9", "--most", "3", "--schema", "marcxml", "@attr 1=4 cat"}, []string{"30 records, complete true", "record 0 of shard 1"}},
		{z.Addr(), []string{"--protocol", "z3950", "@attr 1=9999 cat"}, []string{"0 records, complete false", "diagnostic 114"}},
	} {
		var out bytes.Buffer
		cmd := searchCommand()
		cmd.SetOut(&out)
		cmd.SetArgs(append([]string{"--at", c.at.String()}, c.args...))
		if err := cmd.Execute(); err != nil {
			t.Errorf("%v: %v", c.args, err)
		}
		for _, want := range c.wants {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%v: the output does not contain %q:\n%s", c.args, want, out.String())
			}
		}
	}
}
