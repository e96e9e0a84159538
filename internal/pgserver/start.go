package pgserver

import (
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// startup negotiates TLS, reads the startup message and authenticates the client. It returns
// false if the connection is to be closed.
func (c *conn) startup() bool {
	deadline := time.Now().Add(c.server.opts.AuthTimeout)
	if err := c.net.SetDeadline(deadline); err != nil {
		return false
	}
	msg, err := c.startupMessage()
	if err != nil || msg == nil {
		return false
	}
	if err := c.admit(msg); err != nil {
		c.sendFatal(err)
		return false
	}
	if err := c.net.SetDeadline(time.Time{}); err != nil {
		return false
	}
	c.completeStartup()
	return c.flush() == nil
}

// maxStartupMessages bounds the number of messages up to and including the startup message.
const maxStartupMessages = 4

// startupMessage returns the startup message, or nil if the client sent a cancel request instead.
func (c *conn) startupMessage() (*pgproto3.StartupMessage, error) {
	for range maxStartupMessages {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, fmt.Errorf("caller: startup: %w", err)
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			c.codec.in.expectStartup = false
			return m, nil
		case *pgproto3.CancelRequest:
			c.server.forwardCancel(m)
			return nil, nil
		case *pgproto3.SSLRequest:
			if err := c.negotiateTLS(); err != nil {
				return nil, err
			}
		default:
			if _, err := c.net.Write([]byte("N")); err != nil {
				return nil, fmt.Errorf("caller: startup: %w", err)
			}
		}
	}
	return nil, errors.New("caller: startup: too many requests before the startup message")
}

func (c *conn) negotiateTLS() error {
	var cfg *tls.Config
	if c.server.opts.TLS != nil {
		cfg = c.server.opts.TLS()
	}
	if cfg == nil {
		_, err := c.net.Write([]byte("N"))
		return err
	}
	if _, err := c.net.Write([]byte("S")); err != nil {
		return err
	}
	secure := tls.Server(c.net, cfg)
	if err := secure.Handshake(); err != nil {
		return fmt.Errorf("caller: TLS: %w", err)
	}
	c.setConn(secure)
	return nil
}

// admit checks the startup message, authenticates the client and opens its session.
func (c *conn) admit(msg *pgproto3.StartupMessage) error {
	user, database := msg.Parameters["user"], msg.Parameters["database"]
	if user == "" {
		return fail("28000", "no user name was given")
	}
	if database == "" {
		database = user
	}
	if msg.Parameters["replication"] != "" {
		return fail(codeFeature, "replication connections are not served")
	}
	service, err := c.server.catalogue.Service(user, database)
	if c.server.opts.Authenticate {
		if authErr := c.authenticate(service); authErr != nil {
			return authErr
		}
	}
	if err != nil {
		return serviceFailure(err)
	}
	return c.openSession(service, msg)
}

func serviceFailure(err error) error {
	switch {
	case errors.Is(err, ErrNoConfig):
		return fail(codeNoPrimary, "%s", err.Error())
	case errors.Is(err, ErrNoDatabase):
		return fail(codeNoDatabase, "%s", err.Error())
	}
	return fail("28000", "%s", err.Error())
}

func (c *conn) openSession(service *Service, msg *pgproto3.StartupMessage) error {
	settings, err := parseOptions(msg.Parameters["options"])
	if err != nil {
		return err
	}
	c.session = session{service: service, settings: make(map[string]string), staleness: service.Staleness}
	name := settings[settingSession]
	delete(settings, settingSession)
	if name == "" {
		name = "-" + rand.Text()
	} else if !sessionNamePattern.MatchString(name) {
		return fail(codeInvalid, "invalid session name: letters, digits and _.:/@+=- only, 128 at most")
	}
	c.session.name = service.Name + "/" + name
	for key, value := range settings {
		if strings.HasPrefix(key, settingPrefix) {
			if err := c.session.setOption(key, value); err != nil {
				return err
			}
			continue
		}
		c.session.settings[key] = value
	}
	for key, value := range msg.Parameters {
		if forwardedParameters[strings.ToLower(key)] {
			c.session.settings[strings.ToLower(key)] = value
		}
	}
	return nil
}

// forwardedParameters lists the startup parameters that affect how statements run; they
// become settings of the session.
var forwardedParameters = map[string]bool{
	"bytea_output":       true,
	"datestyle":          true,
	"extra_float_digits": true,
	"intervalstyle":      true,
	"lock_timeout":       true,
	"search_path":        true,
	"statement_timeout":  true,
	"timezone":           true,
}

// authenticate runs SCRAM-SHA-256. An unknown service goes through the same exchange and fails
// at its end, so that clients cannot probe which services exist.
func (c *conn) authenticate(service *Service) error {
	credentials := unknownCredentials
	if service != nil && service.Credentials != nil {
		credentials = service.Credentials
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return *credentials, nil
	})
	if err != nil {
		return fail(codeAuth, "authentication failed")
	}
	conversation := server.NewConversation()
	c.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	if err := c.flush(); err != nil {
		return err
	}
	if err := c.saslFirst(conversation); err != nil {
		return err
	}
	if err := c.saslFinal(conversation); err != nil {
		return err
	}
	if service == nil || service.Credentials == nil {
		return fail(codeAuth, "authentication failed")
	}
	return nil
}

const scramMechanism = "SCRAM-SHA-256"

// unknownCredentials are derived from a random password, which no client knows.
var unknownCredentials = func() *scram.StoredCredentials {
	client, err := scram.SHA256.NewClient("", rand.Text(), "")
	if err != nil {
		panic(err) // the random password needs no normalization
	}
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: rand.Text(), Iters: scramIterations})
	if err != nil {
		panic(err) // the iteration count is constant and valid
	}
	return &credentials
}()

// scramIterations is PostgreSQL's default iteration count.
const scramIterations = 4096

// NewCredentials derives the credentials that a server stores from a password.
func NewCredentials(password string) (*scram.StoredCredentials, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return nil, fmt.Errorf("password: %w", err)
	}
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: rand.Text(), Iters: scramIterations})
	if err != nil {
		return nil, fmt.Errorf("password: %w", err)
	}
	return &credentials, nil
}

func (c *conn) saslFirst(conversation *scram.ServerConversation) error {
	if err := c.backend.SetAuthType(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	msg, err := c.backend.Receive()
	if err != nil {
		return err
	}
	first, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok || first.AuthMechanism != scramMechanism {
		return fail(codeAuth, "only %s is served", scramMechanism)
	}
	challenge, err := conversation.Step(string(first.Data))
	if err != nil {
		return fail(codeAuth, "authentication failed")
	}
	c.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	return c.flush()
}

func (c *conn) saslFinal(conversation *scram.ServerConversation) error {
	if err := c.backend.SetAuthType(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	msg, err := c.backend.Receive()
	if err != nil {
		return err
	}
	response, ok := msg.(*pgproto3.SASLResponse)
	if !ok {
		return fail(codeAuth, "authentication failed")
	}
	proof, err := conversation.Step(string(response.Data))
	if err != nil || !conversation.Valid() {
		return fail(codeAuth, "authentication failed")
	}
	c.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(proof)})
	return nil
}

// completeStartup registers the connection and completes the startup: it sends
// AuthenticationOk, the server parameters, the cancel key and ReadyForQuery.
func (c *conn) completeStartup() {
	c.server.register(c)
	c.registered = true
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"TimeZone", "UTC"},
	} {
		c.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret[:]})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}
