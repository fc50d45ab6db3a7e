use std::net::Ipv4Addr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time::timeout,
};

use super::*;

const NO_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Two VMs in different failure domains; the second one echoes the bytes that it reads.
struct Pair {
    proxy: Proxy,
    source: IpAddr,
    advertised: SocketAddr,
}

fn ip(domain: u8) -> IpAddr {
    Ipv4Addr::new(127, 200, domain, 1).into()
}

fn free_address(ip: IpAddr) -> SocketAddr {
    let listener = std::net::TcpListener::bind((ip, 0)).unwrap();
    listener.local_addr().unwrap()
}

async fn pair() -> Pair {
    let echo = TcpListener::bind((ip(1), 0)).await.unwrap();
    let endpoint = |domain: u8, node| Endpoint {
        domain: domain.into(),
        ip: ip(domain),
        advertised: free_address(ip(domain)),
        node,
    };
    let endpoints = [
        endpoint(0, free_address(ip(0))),
        endpoint(1, echo.local_addr().unwrap()),
    ];
    actix_rt::spawn(async move {
        loop {
            let (stream, _) = echo.accept().await.unwrap();
            let (mut read, mut write) = stream.into_split();
            actix_rt::spawn(async move { tokio::io::copy(&mut read, &mut write).await });
        }
    });
    Pair {
        proxy: Proxy::start(&endpoints).unwrap(),
        source: endpoints[0].ip,
        advertised: endpoints[1].advertised,
    }
}

impl Pair {
    async fn connect(&self) -> TcpStream {
        connect(self.source, self.advertised).await.unwrap()
    }

    fn change_rules(&self, change: impl FnOnce(&mut crate::proxy::Rules)) {
        self.proxy.rules().change(change);
    }
}

async fn is_echoed(stream: &mut TcpStream, text: &[u8]) -> io::Result<bool> {
    stream.write_all(text).await?;
    let mut answer = vec![0; text.len()];
    match timeout(NO_ANSWER_TIMEOUT, stream.read_exact(&mut answer)).await {
        Ok(read) => read.map(|_| answer == text),
        Err(_) => Ok(false),
    }
}

#[actix_rt::test]
async fn forwards_and_counts_bytes() {
    let pair = pair().await;
    let mut stream = pair.connect().await;
    assert!(is_echoed(&mut stream, b"hello").await.unwrap());
    let counts = pair.proxy.counts().read();
    assert_eq!((counts[0].sent, counts[1].received), (5, 5));
    assert_eq!(counts[0].opened, 1);
}

#[actix_rt::test]
async fn held_bytes_arrive_after_the_rules_are_cleared() {
    let pair = pair().await;
    let mut stream = pair.connect().await;
    assert!(is_echoed(&mut stream, b"one").await.unwrap());
    pair.change_rules(|rules| rules.set_one_way(0, 1, Rule::Hold));
    assert!(!is_echoed(&mut stream, b"two").await.unwrap());
    pair.change_rules(crate::proxy::Rules::heal);
    let mut answer = [0; 3];
    let read = timeout(ANSWER_TIMEOUT, stream.read_exact(&mut answer)).await;
    read.unwrap().unwrap();
    assert_eq!(&answer, b"two");
}

#[actix_rt::test]
async fn cut_resets_open_and_new_connections() {
    let pair = pair().await;
    let mut stream = pair.connect().await;
    assert!(is_echoed(&mut stream, b"one").await.unwrap());
    pair.change_rules(|rules| rules.set_both_ways(0, 1, Rule::Cut));
    let mut byte = [0];
    let read = timeout(ANSWER_TIMEOUT, stream.read(&mut byte))
        .await
        .unwrap();
    assert!(matches!(read, Ok(0) | Err(_)));
    // The reset may arrive while the socket is still being set up.
    if let Ok(mut stream) = connect(pair.source, pair.advertised).await {
        let read = timeout(ANSWER_TIMEOUT, stream.read(&mut byte))
            .await
            .unwrap();
        assert!(matches!(read, Ok(0) | Err(_)));
    }
}

#[actix_rt::test]
async fn cut_after_truncates_the_body() {
    let pair = pair().await;
    pair.change_rules(|rules| rules.set_one_way(1, 0, Rule::CutAfter(3)));
    let mut stream = pair.connect().await;
    stream.write_all(b"hello").await.unwrap();
    let mut answer = Vec::new();
    let _ = timeout(ANSWER_TIMEOUT, stream.read_to_end(&mut answer))
        .await
        .unwrap();
    assert!(answer.len() <= 3, "{answer:?}");
}

#[actix_rt::test]
async fn half_open_connection_stays_open_without_an_answer() {
    let pair = pair().await;
    let mut stream = pair.connect().await;
    assert!(is_echoed(&mut stream, b"one").await.unwrap());
    pair.change_rules(|rules| rules.set_one_way(0, 1, Rule::HalfOpen));
    assert!(!is_echoed(&mut stream, b"two").await.unwrap());
    let mut byte = [0];
    assert!(
        timeout(NO_ANSWER_TIMEOUT, stream.read(&mut byte))
            .await
            .is_err()
    );
}
