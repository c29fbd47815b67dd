//! Accepts connections unless a fault refuses them.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

use super::{Phase, Server, connection};
use crate::fault::Faults;

/// Delay after a failed attempt to bind an address again.
const REBIND_DELAY: Duration = Duration::from_millis(10);

/// Serves the main address until the stand-in has drained or is killed.
pub(super) async fn serve<S: Server>(
    listener: TcpListener,
    server: Arc<S>,
    phase: watch::Sender<Phase>,
) {
    let Ok(address) = listener.local_addr() else { return };
    let mut faults = server.faults().subscribe();
    let mut phases = phase.subscribe();
    let mut connections = JoinSet::new();
    let mut listener = Some(listener);
    loop {
        let (refuse, die) = {
            let faults = faults.borrow_and_update();
            (faults.refuse(), faults.die())
        };
        if die {
            phase.send_replace(Phase::Dead);
        }
        match *phases.borrow_and_update() {
            Phase::Serving => {}
            Phase::Draining => break,
            Phase::Dead => return,
        }
        if refuse {
            listener = None;
            connections.abort_all();
        } else if listener.is_none() {
            listener = rebind(address).await;
        }
        tokio::select! {
            accepted = accept(listener.as_ref()) => {
                if let Ok(stream) = accepted {
                    let phases = phase.subscribe();
                    connections.spawn(connection::serve(stream, server.clone(), phases, false));
                }
            }
            _ = faults.changed() => {}
            _ = phases.changed() => {}
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Serves the control address until the task is aborted.
pub(super) async fn control<S: Server>(
    listener: TcpListener,
    server: Arc<S>,
    phase: watch::Sender<Phase>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let phases = phase.subscribe();
                    connections.spawn(connection::serve(stream, server.clone(), phases, true));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn rebind(address: SocketAddr) -> Option<TcpListener> {
    let listener = TcpListener::bind(address).await;
    if let Err(error) = &listener {
        log::error!("{address} cannot be bound again: {error}");
        tokio::time::sleep(REBIND_DELAY).await;
    }
    listener.ok()
}

async fn accept(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}
