package main

// This file owns which fronts a broker has beside its clients' HTTP.

import (
	"log/slog"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/protocols/front/sru"
	"flaxfront/internal/protocols/front/z3950"
	"flaxfront/internal/server"
)

// addFronts opens the fronts of the operators' file.
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
		slog.Info("speaking Z39.50", "at", f.Addr())
	}
	if operators.SRU.Listen != "" {
		f, err := sru.Listen(s, operators.SRU)
		if err != nil {
			return err
		}
		s.AddFront(f)
		slog.Info("speaking SRU", "at", f.Addr())
	}
	return nil
}
