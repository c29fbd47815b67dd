//! Serves one HTTP/1.1 or HTTP/2 connection.

use std::sync::Arc;

use http::{Method, StatusCode};
use hyper::{Request, Response, body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use tokio::{net::TcpStream, sync::watch};

use super::{Body, Phase, Result, Server};
use crate::reply;

/// Maximum number of concurrent requests on one HTTP/2 connection.
const MAX_STREAMS: u32 = 10_000;

/// Serves one connection until it ends, it has drained or the stand-in is killed.
pub(super) async fn serve<S: Server>(
    stream: TcpStream,
    server: Arc<S>,
    mut phases: watch::Receiver<Phase>,
    control: bool,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let server = server.clone();
        async move { route(&*server, request, control).await }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http2().max_concurrent_streams(MAX_STREAMS);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        let phase = *phases.borrow_and_update();
        match phase {
            Phase::Serving => {}
            Phase::Draining => connection.as_mut().graceful_shutdown(),
            Phase::Dead => return,
        }
        tokio::select! {
            _ = connection.as_mut() => return,
            Ok(()) = phases.changed() => {}
        }
    }
}

async fn route<S: Server>(
    server: &S,
    request: Request<Incoming>,
    control: bool,
) -> Result<Response<Body>> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/counts") => Ok(reply::json(StatusCode::OK, &server.counts())),
        (&Method::GET, "/faults") => Ok(reply::json(StatusCode::OK, &server.faults().get())),
        (&Method::PUT, "/faults") => match reply::read_json(request).await? {
            Ok(faults) => {
                server.faults().set(faults);
                Ok(reply::text(StatusCode::OK, "set"))
            }
            Err(error) => Ok(reply::text(StatusCode::BAD_REQUEST, error)),
        },
        (&Method::POST, "/leave") => {
            server.leave();
            Ok(reply::text(StatusCode::OK, "leaving"))
        }
        _ if control => Ok(reply::text(StatusCode::NOT_FOUND, "not a control path")),
        _ => server.answer(request).await,
    }
}
