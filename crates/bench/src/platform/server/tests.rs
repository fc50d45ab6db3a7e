use std::net::Ipv4Addr;

use awc::Client;

use super::*;

async fn serve(rate: usize) -> (PlatformServer, SocketAddr) {
    let free = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let handle = PlatformHandle::new(rate, 1);
    (PlatformServer::start(handle, &[address]).unwrap(), address)
}

async fn get(address: SocketAddr, path: &str) -> (u16, Option<String>, String) {
    let request = Client::new().get(format!("http://{address}{path}"));
    let mut answer = request.send().await.unwrap();
    let header = answer.headers().get("x-revision");
    let revision = header.map(|value| value.to_str().unwrap().to_owned());
    let body = answer.body().await.unwrap();
    let body = String::from_utf8(body.to_vec()).unwrap();
    (answer.status().as_u16(), revision, body)
}

#[actix_rt::test]
async fn reads_return_value_and_revision() {
    let (server, address) = serve(10).await;
    server.handle().publish("notes/1", "text");
    let (status, revision, body) = get(address, "/v1/keys/notes/1").await;
    assert_eq!((status, &*body), (200, "text"));
    assert_eq!(revision.as_deref(), Some("1"));
    assert_eq!(get(address, "/v1/keys/notes/2").await.0, 404);
}

#[actix_rt::test]
async fn write_ends_a_waiting_watch() {
    let (server, address) = serve(10).await;
    let handle = server.handle().clone();
    actix_rt::spawn(async move {
        sleep(Duration::from_millis(50)).await;
        handle.publish("drains", "[]");
    });
    let (status, _, body) = get(address, "/v1/watch?after=0&wait_ms=4000").await;
    assert_eq!(status, 200);
    let expected = r#"{"revision":1,"events":[{"key":"drains","revision":1,"value":"[]"}]}"#;
    assert_eq!(body, expected);
}

#[actix_rt::test]
async fn calls_over_the_rate_get_429() {
    let (_server, address) = serve(1).await;
    assert_eq!(get(address, "/v1/keys/base").await.0, 404);
    assert_eq!(get(address, "/v1/keys/base").await.0, 429);
}

#[actix_rt::test]
async fn outage_returns_503_and_compacted_watch_returns_410() {
    let (server, address) = serve(10).await;
    server.handle().publish("a", "x");
    server.handle().compact();
    let (status, ..) = get(address, "/v1/watch?after=0&wait_ms=10").await;
    assert_eq!(status, 410);
    let refuse = Some(Outage::Refuse);
    server.handle().set_faults(|faults| faults.outage = refuse);
    assert_eq!(get(address, "/v1/keys/a").await.0, 503);
}
