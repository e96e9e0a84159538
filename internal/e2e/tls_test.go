package e2e

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/config"
	"github.com/stackspindle/stackspindle/internal/standin"
)

// selfSigned writes a self-signed certificate, which is its own authority, and its key.
func selfSigned(t *testing.T) config.KeyPair {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "stackspindle"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	raw, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	dir := t.TempDir()
	pair := config.KeyPair{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "cert.pem")}
	must.NoError(t, os.WriteFile(pair.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600))
	must.NoError(t, os.WriteFile(pair.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}), 0o600))
	return pair
}

// With key pairs configured, connections of clients, other instances and operators
// use TLS.
func TestTLSOnAllListeners(t *testing.T) {
	pair := selfSigned(t)
	fleet := startFleet(t, standin.Options{Instances: 3, Adjust: func(s *config.Settings) {
		s.PeerTLS = pair
		s.ClientTLS = config.KeyPair{Certificate: pair.Certificate, Key: pair.Key}
		s.OperatorTLS = s.ClientTLS
	}})
	insecure := &tls.Config{InsecureSkipVerify: true}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: insecure}}
	for i, inst := range fleet.Instances {
		conn := connect(t, inst.ClientAddr(), "", func(c *pgx.ConnConfig) { c.TLSConfig = insecure })
		exec(t, conn, "INSERT INTO shifts VALUES ($1, 'tls', 'open')", i)
		must.Eq(t, 1, countRows(t, conn, i))
		resp, err := client.Get("https://" + inst.OperatorAddr() + "/readyz")
		must.NoError(t, err)
		resp.Body.Close()
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
}

// Instances whose certificates come from different authorities must reject one
// another: an ingress instance cannot forward a statement to the owner.
func TestPeersOfAnotherAuthorityAreRejected(t *testing.T) {
	fleet := startFleet(t, standin.Options{Instances: 2, QueueTimeout: 300 * time.Millisecond, Adjust: func(s *config.Settings) {
		s.PeerTLS = selfSigned(t)
	}})
	conn := connect(t, fleet.Instances[nonOwnerIndex(t, fleet)].ClientAddr(), "")
	_, err := conn.Exec(testContext(t), "INSERT INTO shifts VALUES (9, 'outside', 'open')")
	must.Eq(t, "57P03", sqlState(err))
}
