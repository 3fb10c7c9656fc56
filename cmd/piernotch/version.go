package main

import (
	"errors"
	"fmt"
	"runtime"
	"runtime/debug"
)

// versionCmd prints the revision and the toolchain of the build.
type versionCmd struct{}

// Run fails if the binary contains no build information.
func (*versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("this binary holds no build information")
	}
	revision, modified := "unknown", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = ", modified"
		}
	}
	fmt.Printf("piernotch %s%s, %s %s/%s\n", revision, modified, info.GoVersion, runtime.GOOS, runtime.GOARCH)
	return nil
}
