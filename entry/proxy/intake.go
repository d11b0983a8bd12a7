package proxy

import (
	"net"
	"net/http"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/intake"
	"cranberrypoint.example/coord/upconn"
)

// maxDrainedBytes is the largest body that is read although its request was refused, to keep the connection.
const maxDrainedBytes = 64 << 10

// guardCallers bounds what the callers that connect to a listener make this entry hold.
func (p *Proxy) guardCallers(l net.Listener) {
	maxHead := func() int {
		if v := p.snapshot.Load(); v != nil {
			return v.rules.Limits().MaxHeaderBytes
		}
		return 0
	}
	p.intake = intake.NewGuard(p.settings.Intake, p.log, intake.WithMaxHead(maxHead))
	p.metrics.registry.MustRegister(p.intake.Collectors()...)
	p.clientConns = newConnTracker(p.intake.Listen(l))
}

// trackConn records state changes of a caller's connection, as http.Server.ConnState.
func (p *Proxy) trackConn(n net.Conn, s http.ConnState) {
	p.clientConns.trackState(n, s)
	if x, ok := n.(*clientConn); ok {
		p.intake.TrackState(x.Conn, s)
	}
}

// noRoomFault returns the fault for a request that this entry can't hold for now.
func noRoomFault() *fault.Error {
	return fault.NotRun(fault.NoRoom, "the entry holds as much for its callers as it may").WithRetryAt(time.Now().Add(intake.RetryAfter))
}

// maxBodyBytes returns the largest body that is taken, by the configuration, where 0 means any size, and by the memory of
// this entry.
func (p *Proxy) maxBodyBytes(configured int64) int64 {
	if configured <= 0 {
		return p.intake.MaxBodyBytes()
	}
	return min(configured, p.intake.MaxBodyBytes())
}

// refuseBody closes the connection after the refusal of a request whose body hasn't been read and is large, or can't be held.
// The server reads others, and keeps the connection.
func (x *exchange) refuseBody(c fault.Code) {
	n := x.r.ContentLength
	if !x.hasBody && (n > maxDrainedBytes || n < 0 && c == fault.NoRoom) {
		x.close()
	}
}

// close closes the connection after the answer.
func (x *exchange) close() {
	x.w.Header().Set("Connection", "close")
	x.conn.Refuse()
}

// owner returns whose request it is, for the bounds on what callers may hold: the workspace, or the route if it needs no key.
func (x *exchange) owner() string {
	if x.workspace != nil {
		return x.workspace.Name
	}
	return "route " + x.route.Name
}

// releaseBody drops the body of a request that is not sent again: its answer has begun, and it was written whole.
func (x *exchange) releaseBody(r *upconn.Response) {
	if !r.RequestWritten {
		return
	}
	x.conn.Shrink(x.bodyBytes)
	x.body, x.bodyBytes = nil, 0
}
