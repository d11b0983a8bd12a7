// Package conf defines the settings that all daemons share: flags, each with an environment
// variable as its fallback, and the listeners, log and TLS configuration made from them.
//
// The environment variable of a flag is CRANBERRYPOINT_ followed by the flag's name in
// upper case, with underscores in place of hyphens: -log-level is
// CRANBERRYPOINT_LOG_LEVEL.
//
// A VM is a machine that runs one of the daemons; its data centre is a setting too. The
// platform is the configuration service that lists the VMs.
package conf

import (
	"crypto/tls"
	"crypto/x509"
	"flag"
	"net"
	"net/url"
	"os"
	"strings"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/intake"
	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// EnvPrefix is the prefix of the environment variables, without the underscore after it.
const EnvPrefix = "CRANBERRYPOINT"

// Common holds the settings that every daemon has. Check validates them.
type Common struct {
	// VM is the name of this VM, as the platform lists it.
	VM string
	// DataCentre is the name of this VM's data centre.
	DataCentre string
	// Listen is the IP address and port of the drpc server for other processes.
	Listen string
	// Ops is the IP address and port of the operators' HTTP server.
	Ops string
	// Platform is the base URL of the configuration service.
	Platform string
	// Peers lists the addresses of processes that supply the platform's configuration, with
	// its list of VMs, while the platform is down. They are separated by commas.
	Peers string
	// LogFormat is text or json.
	LogFormat string
	// LogLevel is the lowest level of messages that are logged.
	LogLevel string
	// TLSCert is the PEM file of this process's certificate. The three TLS files are set
	// together or not at all.
	TLSCert string
	// TLSKey is the PEM file of the certificate's private key.
	TLSKey string
	// TLSCA is the PEM file of the private certificate authority.
	TLSCA string
	// TraceSize is the number of recent events that the process keeps (package trace).
	TraceSize int
	// MemoryMB is the memory of the process in MB, and MaxFiles the number of its file descriptors. What callers may make
	// the process hold follows from them; 0 stands for defaults.
	MemoryMB, MaxFiles int
}

// DefaultTraceSize is the default of TraceSize.
const DefaultTraceSize = 20000

// Register defines the flags in f, with c as the destination of their values.
func (c *Common) Register(f *flag.FlagSet) {
	f.StringVar(&c.VM, "vm", "", "name of this VM, as the platform lists it (required)")
	f.StringVar(&c.DataCentre, "data-centre", "", "data centre of this VM (required)")
	f.StringVar(&c.Listen, "listen", "127.0.0.1:0", "IP address and port of the server for other processes of the system")
	f.StringVar(&c.Ops, "ops-listen", "127.0.0.1:0", "IP address and port of the operators' HTTP server")
	f.StringVar(&c.Platform, "platform", "", "base URL of the configuration service, such as http://10.0.0.1:2380 (required)")
	f.StringVar(&c.Peers, "peers", "", "addresses of processes that supply the configuration while the platform is down, separated by commas")
	f.StringVar(&c.LogFormat, "log-format", "text", "format of the log: text or json")
	f.StringVar(&c.LogLevel, "log-level", "info", "lowest level of logged messages: debug, info, warning or error")
	f.StringVar(&c.TLSCert, "tls-cert", "", "file with this process's certificate in PEM; without it connections between processes are not encrypted")
	f.StringVar(&c.TLSKey, "tls-key", "", "file with the certificate's key in PEM")
	f.StringVar(&c.TLSCA, "tls-ca", "", "file with the private certificate authority in PEM")
	f.IntVar(&c.MemoryMB, "memory-mb", 0, "memory of the process in MB, from which follows how much callers may make it hold (0: as for 512 MB, and the process's own memory has no limit)")
	f.IntVar(&c.MaxFiles, "max-files", 0, "file descriptors of the process, from which follows how many connections callers may open (0: as for 8192)")
	f.IntVar(&c.TraceSize, "trace-size", DefaultTraceSize, "number of recent events that the process keeps for /timeline")
}

// Env reads the flags that are absent from the command line from environment variables. It
// returns an error for a variable whose value does not parse.
func Env(f *flag.FlagSet) (err error) {
	defer fault.Annotate(&err, "environment")
	return ff.Parse(f, nil, ff.WithEnvVarPrefix(EnvPrefix))
}

// Invalid returns an error for a flag, given by name without the hyphen, with its value and
// a description of the valid values. The message continues after the description, so one
// that ends in an inserted phrase, such as an example, ends in a comma.
func Invalid(name, value, valid string) error {
	return eris.Errorf("-%s is %q; %s would be right", name, value, valid)
}

// Check returns an error for the first setting that is invalid, and nil when all are valid.
// It doesn't read the TLS files.
func (c *Common) Check() error {
	switch {
	case c.VM == "":
		return Invalid("vm", c.VM, "the name of this VM")
	case c.DataCentre == "":
		return Invalid("data-centre", c.DataCentre, "the name of this VM's data centre")
	case !IsAddress(c.Listen):
		return Invalid("listen", c.Listen, "an IP address and a port, such as 127.0.0.1:7000,")
	case !IsAddress(c.Ops):
		return Invalid("ops-listen", c.Ops, "an IP address and a port, such as 127.0.0.1:7001,")
	case !IsURL(c.Platform):
		return Invalid("platform", c.Platform, "an http or https URL, such as http://10.0.0.1:2380,")
	case c.LogFormat != "text" && c.LogFormat != "json":
		return Invalid("log-format", c.LogFormat, "text or json")
	case c.MemoryMB < 0:
		return eris.Errorf("-memory-mb is %d; 0 or a number of MB would be right", c.MemoryMB)
	case c.MaxFiles < 0:
		return eris.Errorf("-max-files is %d; 0 or a number of descriptors would be right", c.MaxFiles)
	case c.TraceSize < 1:
		return eris.Errorf("-trace-size is %d; a number above 0 would be right", c.TraceSize)
	}
	for _, p := range c.PeerList() {
		if !IsAddress(p) {
			return Invalid("peers", p, "an IP address and a port, such as 10.0.0.2:7000,")
		}
	}
	if _, err := logrus.ParseLevel(c.LogLevel); err != nil {
		return Invalid("log-level", c.LogLevel, "debug, info, warning or error")
	}
	return c.checkTLS()
}

// checkTLS returns an error when only some of the three TLS files are set.
func (c *Common) checkTLS() error {
	set := 0
	for _, f := range []string{c.TLSCert, c.TLSKey, c.TLSCA} {
		if f != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		return Invalid("tls-cert", c.TLSCert, "all of -tls-cert, -tls-key and -tls-ca, or none of them,")
	}
	return nil
}

// Intake returns the limits of what callers may make the process hold.
func (c *Common) Intake() intake.Limits {
	return intake.LimitsFor(int64(c.MemoryMB)<<20, c.MaxFiles)
}

// PeerList returns the addresses in Peers, without surrounding spaces and empty entries.
func (c *Common) PeerList() []string {
	var r []string
	for _, p := range strings.Split(c.Peers, ",") {
		if p = strings.TrimSpace(p); p != "" {
			r = append(r, p)
		}
	}
	return r
}

// IsAddress reports whether s is an IP address and a port, such as 127.0.0.1:7000. Host
// names are not accepted; the port is only checked to be present.
func IsAddress(s string) bool {
	h, p, err := net.SplitHostPort(s)
	return err == nil && p != "" && net.ParseIP(h) != nil
}

// IsURL reports whether s is an absolute http or https URL.
func IsURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// Logger returns a logger that writes to standard error with the configured format and
// level.
func (c *Common) Logger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(os.Stderr)
	if c.LogFormat == "json" {
		l.SetFormatter(&logrus.JSONFormatter{})
	}
	if v, err := logrus.ParseLevel(c.LogLevel); err == nil {
		l.SetLevel(v)
	}
	return l
}

// TLS reads the certificate files and returns the configuration for mutual TLS between
// processes: client and server verify each other against the private certificate
// authority. It returns nil when no certificate is set.
func (c *Common) TLS() (t *tls.Config, err error) {
	defer fault.Annotate(&err, "read the files of -tls-cert, -tls-key and -tls-ca")
	if c.TLSCert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(c.TLSCert, c.TLSKey)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(c.TLSCA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("%s contains no PEM certificate", c.TLSCA)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
