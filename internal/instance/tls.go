package instance

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/stackspindle/stackspindle/internal/config"
)

// tlsSettings holds the TLS configurations of an instance's listeners and of its client
// for other instances. If a field is nil, that side does not use TLS.
type tlsSettings struct {
	clientListener func() *tls.Config
	peerClient     credentials.TransportCredentials
	peerServer     credentials.TransportCredentials
	operator       *tls.Config
}

// reloadingCertificate is a certificate that is reloaded when its file changes.
type reloadingCertificate struct {
	files     config.KeyPair
	current   atomic.Pointer[tls.Certificate]
	modTime   atomic.Int64 // modification time of the loaded certificate file, Unix time in ns
	checkedAt atomic.Int64 // when the file was last checked for changes, Unix time in ns
}

// reloadCheckInterval is the minimum interval between two checks of a certificate's file.
const reloadCheckInterval = 10 * time.Second

func loadCertificate(files config.KeyPair) (*reloadingCertificate, error) {
	k := &reloadingCertificate{files: files}
	return k, k.load()
}

func (k *reloadingCertificate) load() error {
	info, err := os.Stat(k.files.Certificate)
	if err != nil {
		return fmt.Errorf("TLS: %w", err)
	}
	pair, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return fmt.Errorf("TLS: %s: %w", k.files.Certificate, err)
	}
	k.current.Store(&pair)
	k.modTime.Store(info.ModTime().UnixNano())
	return nil
}

// certificate returns the current certificate. It reloads a changed file first; if that
// fails, it keeps the old certificate.
func (k *reloadingCertificate) certificate() (*tls.Certificate, error) {
	now := time.Now().UnixNano()
	last := k.checkedAt.Load()
	if now-last > int64(reloadCheckInterval) && k.checkedAt.CompareAndSwap(last, now) {
		if info, err := os.Stat(k.files.Certificate); err == nil && info.ModTime().UnixNano() != k.modTime.Load() {
			_ = k.load() // keeps the old pair on failure
		}
	}
	return k.current.Load(), nil
}

func newTLS(s *config.Settings) (*tlsSettings, error) {
	t := &tlsSettings{}
	if s.ClientTLS.Configured() {
		cfg, err := serverTLS(s.ClientTLS)
		if err != nil {
			return nil, err
		}
		t.clientListener = func() *tls.Config { return cfg }
	}
	if s.OperatorTLS.Configured() {
		cfg, err := serverTLS(s.OperatorTLS)
		if err != nil {
			return nil, err
		}
		t.operator = cfg
	}
	if !s.PeerTLS.Configured() {
		return t, nil
	}
	server, err := serverTLS(s.PeerTLS)
	if err != nil {
		return nil, err
	}
	client, err := peerClientTLS(s.PeerTLS)
	if err != nil {
		return nil, err
	}
	t.peerServer = credentials.NewTLS(server)
	t.peerClient = credentials.NewTLS(client)
	return t, nil
}

func serverTLS(files config.KeyPair) (*tls.Config, error) {
	pair, err := loadCertificate(files)
	if err != nil {
		return nil, err
	}
	cfg := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.certificate() },
	}
	if files.CAFile != "" {
		if cfg.ClientCAs, err = loadCertPool(files.CAFile); err != nil {
			return nil, err
		}
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return cfg, nil
}

// peerClientTLS verifies the certificate chain of the other instance, but not its host
// name, because instances connect to each other by IP address.
func peerClientTLS(files config.KeyPair) (*tls.Config, error) {
	if files.CAFile == "" {
		return nil, errors.New("TLS: [peer] tls_authority must be set, so that instances can verify one another")
	}
	pool, err := loadCertPool(files.CAFile)
	if err != nil {
		return nil, err
	}
	pair, err := loadCertificate(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return pair.certificate() },
		InsecureSkipVerify:   true, // VerifyConnection does the same checks except for the host name
		VerifyConnection:     verifyChain(pool),
	}, nil
}

func verifyChain(pool *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("TLS: the other instance shows no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, cert := range state.PeerCertificates[1:] {
			intermediates.AddCert(cert)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: intermediates})
		return err
	}
}

func loadCertPool(path string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("TLS: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("TLS: %s holds no certificate", path)
	}
	return pool, nil
}
