package proof_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/daemon"
	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
	"github.com/cuminroute/cuminroute/pkg/settings"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
)

// Guards against listeners that ignore the certificate in the settings or accept outdated TLS versions.
func TestListenersPresentTheCertificate(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	server, err := platform.New()
	c.Assert(err, qt.IsNil)
	defer server.Close()
	certificate, pool := newCertificate(c)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	d, err := daemon.New(context.Background(), settings.Settings{
		Instance: "tls", DataCentre: "dc1", Fleet: "tls", Certificate: certificate,
		Listen:    settings.Listen{Callers: loopback, Operators: loopback, Peers: loopback},
		Platform:  settings.Platform{Table: server.URL(), ObjectStore: server.URL(), InstanceList: server.URL(), WeightStore: server.URL()},
		Operators: []configuration.Key{{Name: "operator", Hash: configuration.HashKey(fleet.OperatorKey)}}, LogLevel: "info",
	}, daemon.WithLogOutput(io.Discard))
	c.Assert(err, qt.IsNil)
	defer d.Kill()
	client := newClient(&tls.Config{RootCAs: pool})
	base := "https://" + d.Addresses().OperatorAddress.String()
	_, err = operator.NewClient(base, fleet.OperatorKey, operator.WithHTTPClient(client)).
		Apply(context.Background(), api.Change{ID: "initial", Configuration: fleet.Configuration()})
	c.Assert(err, qt.IsNil)
	c.Assert(eventually(5*time.Second, d.Ready), qt.IsTrue)
	response, err := client.Get("https://" + d.Addresses().ClientAddress.String() + "/ready")
	c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	_, err = newClient(&tls.Config{}).Get(base + "/live")
	c.Assert(err, qt.ErrorMatches, ".*unknown authority.*")
	_, err = newClient(&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS10, MaxVersion: tls.VersionTLS11}).Get(base + "/live")
	c.Assert(err, qt.ErrorMatches, ".*protocol version.*")
}

func newClient(c *tls.Config) *http.Client {
	return &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{TLSClientConfig: c, DisableKeepAlives: true}}
}

// newCertificate writes a self-signed certificate for the loopback address.
func newCertificate(c *qt.C) (settings.Certificate, *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "cuminroute test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	signed, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	c.Assert(err, qt.IsNil)
	content := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: signed})
	files := settings.Certificate{File: filepath.Join(c.TempDir(), "certificate.pem"), KeyFile: filepath.Join(c.TempDir(), "key.pem")}
	c.Assert(os.WriteFile(files.File, content, 0o600), qt.IsNil)
	c.Assert(os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600), qt.IsNil)
	pool := x509.NewCertPool()
	c.Assert(pool.AppendCertsFromPEM(content), qt.IsTrue)
	return files, pool
}
