// Package script holds scripted scenarios that run the real binaries as separate
// processes over loopback. The scenarios are the files in testdata, in the language of
// testscript, with the commands that the package's tests add to it.
package script
