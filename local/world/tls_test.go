package world_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cranberrypoint.example/coord/conf"
	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/wire"
	"cranberrypoint.example/local/stand"
	"cranberrypoint.example/local/world"
	"github.com/google/go-cmp/cmp"
)

// certificates writes a private authority and a certificate for the loopback address.
func certificates(t *testing.T) (cert, key, ca string) {
	t.Helper()
	dir := t.TempDir()
	issue := func(name string, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
		k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			t.Fatal(err)
		}
		c := &x509.Certificate{
			SerialNumber:          big.NewInt(time.Now().UnixNano()),
			Subject:               pkix.Name{CommonName: name},
			NotBefore:             time.Now().Add(-time.Hour),
			NotAfter:              time.Now().Add(time.Hour),
			IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
			IsCA:                  parent == nil,
			BasicConstraintsValid: true,
			KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
			ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}
		if parent == nil {
			parent, signer = c, k
		}
		b, err := x509.CreateCertificate(rand.Reader, c, parent, &k.PublicKey, signer)
		if err != nil {
			t.Fatal(err)
		}
		kb, err := x509.MarshalECPrivateKey(k)
		if err != nil {
			t.Fatal(err)
		}
		write(t, filepath.Join(dir, name+".crt"), "CERTIFICATE", b)
		write(t, filepath.Join(dir, name+".key"), "EC PRIVATE KEY", kb)
		return c, k
	}
	parent, signer := issue("ca", nil, nil)
	issue("vm", parent, signer)
	return filepath.Join(dir, "vm.crt"), filepath.Join(dir, "vm.key"), filepath.Join(dir, "ca.crt")
}

func write(t *testing.T, file, kind string, b []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestProcessesSpeakTLS(t *testing.T) {
	p := world.Example("")
	p.TLSCert, p.TLSKey, p.TLSCA = certificates(t)
	w, stop, err := world.Start(p, world.Quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	await(t, "all processes are ready", w.Ready)
	await(t, "the limit has tokens", func() bool {
		return call(t, w, "GET", "/decisions/warm", world.ExampleKey, "").status == 200
	})
	r := call(t, w, "POST", "/v1/completions", world.ExampleKey, `{"model":"chat-1","prompt":"tls","max_tokens":5,"stream":true}`)
	text, whole := streamed(t, r.body)
	if diff := cmp.Diff(stand.Answer("tls", 5), text); diff != "" || !whole {
		t.Errorf("answer (-want +got), whole %t:\n%s", whole, diff)
	}
	address := w.Entries[w.Order[0]].PeerAddress()
	if pingWith(t, conf.Common{}, address) {
		t.Error("a process without a certificate is answered")
	}
	other := conf.Common{}
	other.TLSCert, other.TLSKey, other.TLSCA = certificates(t)
	if pingWith(t, other, address) {
		t.Error("a process with another authority's certificate is answered")
	}
}

// pingWith reports whether a process with some certificates is answered.
func pingWith(t *testing.T, c conf.Common, address string) bool {
	t.Helper()
	sec, err := c.TLS()
	if err != nil {
		t.Fatal(err)
	}
	pool, stop := link.NewPool(sec)
	defer stop()
	_, err = link.Call(context.Background(), pool, address, link.Exchange, &wire.Digest{Ping: true})
	return err == nil
}
