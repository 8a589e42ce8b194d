//! Accepts connections from callers, from the balancer's readiness checks and for metrics.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::caller_stream::CallerConnection;
use super::caller_stream::CallerStream;
use super::context::GatewayContext;
use super::exchange;
use super::response_body::ResponseBody;
use super::telemetry::LineKind;
use crate::coordination::StopPhase;

/// The length of the listen backlog.
const ACCEPT_BACKLOG: u32 = 1_024;
/// The socket buffers of a caller's connection in each direction; Linux doubles the number for its own
/// bookkeeping. At 3 ms between zones they allow over 20 MB per second.
const CALLER_BUFFER_BYTES: u32 = 64 * 1024;
/// The pause after a failed `accept`, so that a lack of descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The limits of head size and idle time while there is no configuration.
const DEFAULT_HEAD_BYTES: usize = 64 * 1024;
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The smallest buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// How much longer an idle connection stays open than callers reuse it, so that no request meets a
/// connection that is being closed.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Listens on `address`.
pub(crate) fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the sizes.
    socket.set_send_buffer_size(CALLER_BUFFER_BYTES)?;
    socket.set_recv_buffer_size(CALLER_BUFFER_BYTES)?;
    socket.bind(SocketAddr::V4(address))?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Accepts and serves callers' connections; in a planned stop they are closed when idle.
pub(crate) async fn accept_callers(
    ctx: Rc<GatewayContext>,
    listener: TcpListener,
    max_connections: usize,
) {
    loop {
        if ctx.connections.get() >= max_connections {
            sleep(ACCEPT_PAUSE).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::task::spawn_local(serve_caller(ctx.clone(), stream, address));
            }
            Err(error) => {
                warn!(ctx.telemetry.log(), "a connection cannot be accepted"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

struct OpenConnection(Rc<GatewayContext>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get().saturating_sub(1));
    }
}

async fn serve_caller(ctx: Rc<GatewayContext>, stream: TcpStream, address: SocketAddr) {
    ctx.connections.set(ctx.connections.get() + 1);
    let _open = OpenConnection(ctx.clone());
    if let Err(error) = stream.set_nodelay(true) {
        warn!(ctx.telemetry.log(), "a connection cannot be set up"; "error" => %error);
        return;
    }
    let (head_limit, idle) = match ctx.gateway.borrow().catalog() {
        Some(catalog) => (catalog.limits().head_bytes, catalog.limits().idle_timeout),
        None => (DEFAULT_HEAD_BYTES, DEFAULT_IDLE_TIMEOUT),
    };
    let caller = Rc::new(CallerConnection::new(idle));
    let service = {
        let (ctx, caller) = (ctx.clone(), caller.clone());
        service_fn(move |request: Request<Incoming>| {
            exchange::serve(ctx.clone(), caller.clone(), request)
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle + IDLE_MARGIN)
        .max_buf_size(head_limit.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(CallerStream::new(stream, caller.clone())), service);
    let mut connection = std::pin::pin!(connection);
    let done = tokio::select! {
        done = connection.as_mut() => Some(done),
        () = ctx.await_stop_phase(StopPhase::Closing) => None,
    };
    // An error means that the caller disconnected or a response was aborted; the exchange logged it.
    let _ = match done {
        Some(done) => done,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if caller.has_stalled() {
        ctx.telemetry.count_slow_caller("disconnected");
        if let Some(log) = ctx.telemetry.limited_log(ctx.now(), LineKind::Failure) {
            info!(log, "caller that reads nothing disconnected"; "address" => address);
        }
    }
}

/// Answers the balancer's readiness checks.
pub(crate) async fn accept_readiness(ctx: Rc<GatewayContext>, listener: TcpListener) {
    serve_simple(ctx, listener, |ctx, _| {
        let is_ready = ctx.gateway.borrow().is_ready(ctx.now());
        let mut response = Response::new(ResponseBody::whole(""));
        if !is_ready {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    })
    .await;
}

/// Serves the metrics.
pub(crate) async fn accept_metrics(ctx: Rc<GatewayContext>, listener: TcpListener) {
    serve_simple(ctx, listener, |ctx, request| {
        if request.uri().path() != "/metrics" {
            let mut response = Response::new(ResponseBody::whole("only /metrics is here\n"));
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
        update_gauges(ctx);
        Response::new(ResponseBody::whole(ctx.telemetry.render()))
    })
    .await;
}

fn update_gauges(ctx: &GatewayContext) {
    let now = ctx.now();
    let gateway = ctx.gateway.borrow();
    let gauges = &ctx.telemetry.gauges;
    gauges.catalog_version.set(gateway.catalog().map_or(0, |catalog| catalog.version() as i64));
    gauges.catalog_age_ms.set(gateway.catalog_age(now).map_or(-1, |age| age.as_millis() as i64));
    ctx.telemetry.set_rewinds(gateway.source_rewinds());
    ctx.telemetry.set_dropped_crash_reports(gateway.dropped_crash_reports());
    gauges.limited_servers.set(gateway.limited_servers().count() as i64);
    let limits = gateway.limited_servers().map(|(server, rate)| (server.id(), rate));
    ctx.telemetry.set_server_limits(limits);
    gauges.evacuated_zones.set(gateway.evacuated_count() as i64);
    gauges.cold_servers.set(gateway.cold_count(now) as i64);
    gauges.servers.set(gateway.servers().len() as i64);
    gauges.peers.set(gateway.peer_count(now) as i64);
    gauges.waiting.set(gateway.queue_len() as i64);
    gauges.connections.set(ctx.connections.get() as i64);
    gauges.buffered_bytes.set(ctx.buffered_bytes.get() as i64);
    gauges.unread_bytes.set(ctx.readers.borrow().total() as i64);
}

async fn serve_simple(
    ctx: Rc<GatewayContext>,
    listener: TcpListener,
    respond: impl Fn(&GatewayContext, &Request<Incoming>) -> Response<ResponseBody> + Copy + 'static,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(ctx.telemetry.log(), "a connection cannot be accepted"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let ctx = ctx.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = respond(&ctx, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // The client may close the connection at any time; it retries by itself.
            let _ = connection.await;
        });
    }
}
