// Command linked tells whether a program asks for an interpreter and needs libc.
package main

import (
	"debug/elf"
	"fmt"
	"os"
	"slices"
	"strings"
)

func main() {
	if err := check(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "linked:", err)
		os.Exit(1)
	}
}

func check(name string) error {
	f, err := elf.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		return fmt.Errorf("%s: no ELF interpreter: it is linked statically", name)
	}
	libs, err := f.ImportedLibraries()
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		return fmt.Errorf("%s: libc is not among the libraries it needs: %v", name, libs)
	}
	return nil
}
