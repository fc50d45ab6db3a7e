use super::*;

/// Sends a reply head and half of a body, then resets the stream.
fn answer_half(
    mut call: FakeCall,
    length: Option<u64>,
) -> futures_util::future::LocalBoxFuture<'static, ()> {
    async move {
        call.writer.frame(&answer_head(length)).await.unwrap();
        call.writer
            .bytes(Bytes::from_static(b"half"))
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        call.writer.reset();
    }
    .boxed_local()
}

#[actix_rt::test]
async fn a_body_that_is_truncated_is_not_completed() {
    let sized = Fixture::start(&TWO_UPSTREAMS[..1], |_| {
        FakeSidecar::new(|call| answer_half(call, Some(8)))
    })
    .await;
    let reply = sized.get("/x").await;
    reply
        .assert_status(200)
        .assert_header("content-length", "8");
    assert!(reply.rest.len() < 8);
    let chunked = Fixture::start(&TWO_UPSTREAMS[..1], |_| {
        FakeSidecar::new(|call| answer_half(call, None))
    })
    .await;
    let reply = chunked.get("/x").await;
    reply
        .assert_status(200)
        .assert_header("transfer-encoding", "chunked");
    assert!(!reply.rest.ends_with(b"0\r\n\r\n"), "{:?}", reply.rest);
}

#[actix_rt::test]
async fn a_body_shorter_than_announced_is_not_completed() {
    let short = |mut call: FakeCall| {
        async move {
            call.writer.frame(&answer_head(Some(8))).await.unwrap();
            call.writer
                .bytes(Bytes::from_static(b"half"))
                .await
                .unwrap();
            call.writer.end().unwrap();
        }
        .boxed_local()
    };
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], move |_| FakeSidecar::new(short)).await;
    let reply = fixture.get("/x").await;
    assert!(reply.rest.len() < 8, "{reply:?}");
}

#[actix_rt::test]
async fn concurrent_replies_reach_their_own_callers() {
    let crossed = |mut call: FakeCall| {
        async move {
            let target = call.head.target.clone();
            let number: u64 = target.rsplit('/').next().unwrap().parse().unwrap();
            tokio::time::sleep(Duration::from_millis(20 * (10 - number))).await;
            let head = answer_head(Some(target.len() as u64));
            call.writer.frame(&head).await.unwrap();
            call.writer.bytes(Bytes::from(target)).await.unwrap();
            call.writer.end().unwrap();
        }
        .boxed_local()
    };
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], move |_| FakeSidecar::new(crossed)).await;
    let calls = (0..10).map(|i| {
        let fixture = &fixture;
        async move {
            let target = format!("/x/{i}");
            fixture
                .get(&target)
                .await
                .assert_status(200)
                .assert_body(target.as_bytes());
        }
    });
    futures_util::future::join_all(calls).await;
}

#[actix_rt::test]
async fn a_caller_that_goes_away_cancels_its_call() {
    let closed = Rc::new(Cell::new(false));
    let observed = Rc::clone(&closed);
    let wait = move |mut call: FakeCall| {
        let closed = Rc::clone(&closed);
        async move {
            call.writer.closed().await;
            closed.set(true);
        }
        .boxed_local()
    };
    let wait = Rc::new(wait);
    let make = |_: &str| {
        let wait = Rc::clone(&wait);
        FakeSidecar::new(move |call| wait(call))
    };
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], make).await;
    let mut stream = TcpStream::connect(fixture.callers).await.unwrap();
    stream
        .write_all(b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    while fixture.heads().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(!observed.get());
    drop(stream);
    for _ in 0..400 {
        if observed.get() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("sidecar stream still open 2 s after the caller disconnected");
}

#[actix_rt::test]
async fn a_request_that_is_aborted_is_not_completed() {
    let ended = Rc::new(Cell::new(None));
    let observed = Rc::clone(&ended);
    let read = Rc::new(move |mut call: FakeCall| {
        let ended = Rc::clone(&ended);
        async move {
            loop {
                match call.reader.bytes().await {
                    Ok(Some(_)) => {}
                    end => break ended.set(Some(end.is_ok())),
                }
            }
        }
        .boxed_local()
    });
    let make = |_: &str| {
        let read = Rc::clone(&read);
        FakeSidecar::new(move |call| read(call))
    };
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], make).await;
    let mut stream = TcpStream::connect(fixture.callers).await.unwrap();
    let head = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 9000\r\n\r\n";
    stream.write_all(head).await.unwrap();
    stream.write_all(&[1; 5_000]).await.unwrap();
    while fixture.heads().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(stream);
    while observed.get().is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(observed.get(), Some(false));
}

#[actix_rt::test]
async fn large_bodies_pass_whole_in_both_directions() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| FakeSidecar::new(echo)).await;
    let body: Vec<u8> = (0..3_000_000u32).map(|i| (i % 251) as u8).collect();
    let reply = fixture.send("POST", "/x", &[], &body).await;
    reply.assert_status(200);
    assert_eq!(decode_chunked(&reply.rest), body);
}

#[actix_rt::test]
async fn a_caller_that_does_not_read_slows_the_sidecar_down() {
    const BODY_BYTES: u64 = 256 << 20;
    let written = Rc::new(Cell::new(0u64));
    let observed = Rc::clone(&written);
    let make = move |_: &str| {
        let written = Rc::clone(&written);
        FakeSidecar::new(move |mut call| {
            let written = Rc::clone(&written);
            async move {
                call.writer
                    .frame(&answer_head(Some(BODY_BYTES)))
                    .await
                    .unwrap();
                let part = Bytes::from(vec![0; 64 << 10]);
                while written.get() < BODY_BYTES && call.writer.bytes(part.clone()).await.is_ok() {
                    written.set(written.get() + part.len() as u64);
                }
            }
            .boxed_local()
        })
    };
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], make).await;
    let mut stream = TcpStream::connect(fixture.callers).await.unwrap();
    let request = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut last = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(500)).await;
        if last > 0 && observed.get() == last {
            break;
        }
        last = observed.get();
    }
    // Most of the bytes that were sent are in socket buffers.
    assert!(
        last < BODY_BYTES / 8,
        "sidecar sent {last} of {BODY_BYTES} bytes to a caller that does not read"
    );
}
