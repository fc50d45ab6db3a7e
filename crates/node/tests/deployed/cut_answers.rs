//! Answers that upstreams break off, as callers see them.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::{
    caller::Connection,
    fleet::{Fleet, RAW_SERVICE},
};

const HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: signed\r\n";
const SIZED: &str = "Content-Length: 12\r\n\r\nhello, world";
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n";

/// Serves an upstream that sends as many bytes of an answer as the path of a request says, and then
/// closes the connection.
async fn serve(address: SocketAddr) -> Rc<Cell<usize>> {
    let listener = TcpListener::bind(address).await.unwrap();
    let cuts = Rc::new(Cell::new(0));
    let counted = Rc::clone(&cuts);
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(answer(stream, Rc::clone(&counted)));
        }
    });
    cuts
}

async fn answer(mut stream: TcpStream, cuts: Rc<Cell<usize>>) -> Option<()> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\nbody") {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    let text = String::from_utf8(bytes).ok()?;
    let id = text.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case("request-id").then_some(value)
    })?;
    let path = text.split(' ').nth(1)?.trim_start_matches("/raw/");
    let (rest, cut) = match path.strip_prefix("sized-") {
        Some(cut) => (SIZED, cut),
        None => (CHUNKED, path.strip_prefix("chunked-")?),
    };
    let answer = format!("{HEAD}{rest}").replace("ID", id);
    let cut = cut.parse().unwrap_or(answer.len()).min(answer.len());
    cuts.set(cuts.get() + 1);
    stream.write_all(&answer.as_bytes()[..cut]).await.ok()
}

/// Callers got a success with an empty or short body, framed as whole.
#[actix_rt::test]
async fn an_answer_that_is_cut_at_any_byte_reaches_no_caller_as_whole() {
    let mut fleet = Fleet::start_with(&["orders", RAW_SERVICE], |_| {}).await;
    let cuts = serve(fleet.vms[1].upstream_address()).await;
    let mut calls = 0;
    for (kind, rest) in [("sized", SIZED), ("chunked", CHUNKED)] {
        for vm in &fleet.vms {
            let mut connection = Connection::open(vm.callers()).await.unwrap();
            let length = HEAD.len() - "ID".len() + "cut-000".len() + rest.len();
            for cut in 0..length {
                let id = format!("cut-{cut:03}");
                let path = format!("/raw/{kind}-{cut}");
                let answer = connection.post(&id, &path).await;
                calls += 1;
                let is_success = answer.as_ref().is_ok_and(|answer| answer.status == 200);
                assert!(
                    !is_success,
                    "{answer:?} after {cut} of {length} bytes, {kind}"
                );
                if answer.is_err() {
                    connection = Connection::open(vm.callers()).await.unwrap();
                }
            }
            let whole = connection
                .post("cut-000", &format!("/raw/{kind}-all"))
                .await;
            assert_eq!(whole.unwrap().status, 200);
        }
    }
    // Some calls are refused while the upstream counts as crashed.
    assert!(
        cuts.get() > calls / 2,
        "{} of {calls} calls reached the upstream",
        cuts.get()
    );
    for vm in &mut fleet.vms {
        assert!(!vm.has_exited());
    }
}
