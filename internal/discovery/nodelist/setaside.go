package nodelist

import (
	"errors"
	"log/slog"
	"slices"
	"strings"

	"flaxfront/internal/config/remedy"
)

const maxFilesAside = 4

// handleFileErrors logs the files that could not be read, and sets them aside if this process holds the lock.
func (s *Store) handleFileErrors(all []FileError) {
	for i := range all {
		e := &all[i]
		switch {
		case !s.HoldsLock():
			s.logFile(e, "cached endpoint list file ignored")
		case e.crashRemnant: // the next snapshot replaces it
		default:
			s.setAside(e)
		}
	}
	if s.HoldsLock() {
		s.removeOldAside()
	}
}

// setAside renames a file that can't be used, so that it is neither read again nor overwritten.
func (s *Store) setAside(e *FileError) {
	suffix := asideSuffix(e.Err)
	if suffix == "" {
		s.logFile(e, "cached endpoint list file not readable")
		return
	}
	if err := s.fs.Rename(s.path(e.File), s.path(e.File+suffix)); err != nil {
		s.logFile(e, "cached endpoint list file not set aside", "rename_error", err)
		return
	}
	s.logFile(e, "cached endpoint list file set aside", "renamed_to", e.File+suffix)
}

// asideSuffix returns the suffix to append to the name of a file that is set aside for err. It is empty if reading itself failed: the file
// then keeps its name.
func asideSuffix(err error) string {
	switch {
	case errors.Is(err, errOtherDeployment):
		return ".other-deployment"
	case errors.Is(err, errNewerVersion):
		return ".later-version"
	case errors.Is(err, errDamaged), errors.Is(err, errTorn):
		return ".damaged"
	}
	return ""
}

func (s *Store) logFile(e *FileError, message string, attributes ...any) {
	attributes = append([]any{"component", component, "directory", s.options.Directory, "file", e.File, "error", e.Err,
		"remedy", remedy.Of(e)}, attributes...)
	slog.Warn(message, attributes...)
}

// removeOldAside removes all but the maxFilesAside newest files that were set aside.
func (s *Store) removeOldAside() {
	names, _ := s.fs.ReadDir(s.options.Directory)
	aside := slices.DeleteFunc(names, func(name string) bool { return !isAside(name) })
	slices.Sort(aside)
	for len(aside) > maxFilesAside {
		s.fs.Remove(s.path(aside[0]))
		aside = aside[1:]
	}
}

func isAside(name string) bool {
	return strings.HasPrefix(name, namePrefix) && (strings.Contains(name, snapshotAside) || strings.Contains(name, journalAside))
}
