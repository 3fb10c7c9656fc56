package main

import (
	"errors"
	"fmt"
	"runtime"
	"runtime/debug"
)

// versionCmd prints the revision and the toolchain of the build.
type versionCmd struct{}

// Run fails if the build holds no information, as that of a test.
func (*versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("this build says nothing of itself")
	}
	revision, modified := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = ", changed since"
		}
	}
	fmt.Printf("piernotch %s%s, %s %s/%s\n", revision, modified, info.GoVersion, runtime.GOOS, runtime.GOARCH)
	return nil
}
