package link

import (
	"context"
	"crypto/tls"
	"net"
	"runtime/debug"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/wire"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Serve serves the peer protocol, and the agent protocol unless agent is nil, until the
// context ends. A nil configuration means plain TCP.
func Serve(ctx context.Context, l net.Listener, c *tls.Config, peer wire.DRPCPeerServer, agent wire.DRPCAgentServer) (err error) {
	defer fault.Annotate(&err, "serve %s", l.Addr())
	m := drpcmux.New()
	if err := wire.DRPCRegisterPeer(m, peer); err != nil {
		return err
	}
	if agent != nil {
		if err := wire.DRPCRegisterAgent(m, agent); err != nil {
			return err
		}
	}
	return serve(ctx, l, c, m)
}

// ServeMesh serves the mesh protocol until the context ends. A nil configuration means
// plain TCP.
func ServeMesh(ctx context.Context, l net.Listener, c *tls.Config, s wire.DRPCMeshServer) (err error) {
	defer fault.Annotate(&err, "serve %s", l.Addr())
	m := drpcmux.New()
	if err := wire.DRPCRegisterMesh(m, s); err != nil {
		return err
	}
	return serve(ctx, l, c, m)
}

func serve(ctx context.Context, l net.Listener, c *tls.Config, m *drpcmux.Mux) error {
	if c != nil {
		l = tls.NewListener(l, c)
	}
	return drpcserver.NewWithOptions(recoverer{m}, drpcserver.Options{Manager: managerOptions}).Serve(ctx, l)
}

// recoverer turns a panic of a handler into an error of its call, as the HTTP server of the standard
// library does. Otherwise one message that a handler can't cope with would end the process, and with
// it all requests that it serves.
type recoverer struct{ drpc.Handler }

// HandleRPC handles a call.
func (r recoverer) HandleRPC(s drpc.Stream, rpc string) (err error) {
	defer func() {
		if v := recover(); v != nil {
			logrus.WithFields(logrus.Fields{"event": "call-panic", "call": rpc, "panic": v, "stack": string(debug.Stack())}).Error("the handler of a call panicked")
			err = eris.Errorf("the handler of %s failed", rpc)
		}
	}()
	return r.Handler.HandleRPC(s, rpc)
}
