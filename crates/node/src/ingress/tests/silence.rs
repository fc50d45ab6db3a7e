//! Sidecars that stop answering while their connections stay open.

use std::{collections::HashSet, rc::Rc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::ingress::pool::Pool;

/// Time by which silent sidecars have been found, below the 5 s after which quiet connections are
/// pinged in any case.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(4);

/// Starts a sidecar that answers pings until the token is cancelled and keeps its connections open.
async fn sidecar(silent: CancellationToken) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve(stream, silent.clone()));
        }
    });
    address
}

async fn serve(stream: TcpStream, silent: CancellationToken) {
    let mut connection = h2::server::handshake(stream).await.unwrap();
    tokio::select! {
        () = silent.cancelled() => std::future::pending().await,
        _ = connection.accept() => {}
    }
}

/// Load pattern: many VMs lose power at once, and only one of them has a call under way.
#[actix_rt::test]
async fn one_silent_sidecar_reveals_all_others() {
    let silent = CancellationToken::new();
    let live = sidecar(CancellationToken::new()).await;
    let mut dead = HashSet::new();
    for _ in 0..5 {
        dead.insert(sidecar(silent.clone()).await);
    }
    let pool = Pool::new("127.0.0.1".parse().unwrap(), CancellationToken::new());
    for address in dead.iter().chain([&live]) {
        pool.get(*address).await.unwrap();
    }
    assert_eq!(pool.unreachable(), HashSet::new());
    silent.cancel();
    let called = dead.iter().next().unwrap();
    let channel = Rc::clone(&pool.get(*called).await.unwrap());
    channel.notify_call_start();
    let found = async {
        while pool.unreachable() != dead {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let found = timeout(MAX_DETECTION_TIME, found).await;
    assert!(found.is_ok(), "found only {:?}", pool.unreachable());
}
