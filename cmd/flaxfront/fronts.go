package main

// This file opens the SRU and Z39.50 servers of a broker, beside its HTTP server.

import (
	"log/slog"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/protocols/front/sru"
	"flaxfront/internal/protocols/front/z3950"
	"flaxfront/internal/server"
)

// addFronts opens the servers that the operators' file switches on.
func addFronts(s *server.Server, file string) error {
	operators, err := operator.Read(file)
	if err != nil {
		return err
	}
	if operators.Z3950.Listen != "" {
		f, err := z3950.Listen(s, operators.Z3950)
		if err != nil {
			return err
		}
		s.AddFront(f)
		slog.Info("Z39.50 server listening", "at", f.Addr())
	}
	if operators.SRU.Listen != "" {
		f, err := sru.Listen(s, operators.SRU)
		if err != nil {
			return err
		}
		s.AddFront(f)
		slog.Info("SRU server listening", "at", f.Addr())
	}
	return nil
}
