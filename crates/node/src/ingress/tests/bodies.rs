use super::*;

/// Answers a head and half of a body, then breaks the stream.
fn cut(
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
async fn a_body_that_breaks_off_never_looks_whole() {
    let sized = Scene::start(&TWO[..1], |_| Fake::new(|call| cut(call, Some(8)))).await;
    let reply = sized.get("/x").await;
    reply.is(200).header("content-length", "8");
    assert!(reply.rest.len() < 8);
    let chunked = Scene::start(&TWO[..1], |_| Fake::new(|call| cut(call, None))).await;
    let reply = chunked.get("/x").await;
    reply.is(200).header("transfer-encoding", "chunked");
    assert!(!reply.rest.ends_with(b"0\r\n\r\n"), "{:?}", reply.rest);
}

#[actix_rt::test]
async fn a_body_shorter_than_announced_never_looks_whole() {
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
    let scene = Scene::start(&TWO[..1], move |_| Fake::new(short)).await;
    let reply = scene.get("/x").await;
    assert!(reply.rest.len() < 8, "{reply:?}");
}

#[actix_rt::test]
async fn crossed_replies_reach_their_own_callers() {
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
    let scene = Scene::start(&TWO[..1], move |_| Fake::new(crossed)).await;
    let calls = (0..10).map(|i| {
        let scene = &scene;
        async move {
            let target = format!("/x/{i}");
            scene.get(&target).await.is(200).body(target.as_bytes());
        }
    });
    futures_util::future::join_all(calls).await;
}

#[actix_rt::test]
async fn a_caller_that_goes_away_cancels_its_call() {
    let gone = Rc::new(Cell::new(false));
    let seen = Rc::clone(&gone);
    let wait = move |mut call: FakeCall| {
        let gone = Rc::clone(&gone);
        async move {
            call.writer.closed().await;
            gone.set(true);
        }
        .boxed_local()
    };
    let wait = Rc::new(wait);
    let make = |_: &str| {
        let wait = Rc::clone(&wait);
        Fake::new(move |call| wait(call))
    };
    let scene = Scene::start(&TWO[..1], make).await;
    let mut stream = TcpStream::connect(scene.callers).await.unwrap();
    stream
        .write_all(b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    while scene.heads().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(!seen.get());
    drop(stream);
    for _ in 0..400 {
        if seen.get() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the sidecar was not told");
}

#[actix_rt::test]
async fn a_request_that_breaks_off_is_not_completed() {
    let ended = Rc::new(Cell::new(None));
    let seen = Rc::clone(&ended);
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
        Fake::new(move |call| read(call))
    };
    let scene = Scene::start(&TWO[..1], make).await;
    let mut stream = TcpStream::connect(scene.callers).await.unwrap();
    let head = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 9000\r\n\r\n";
    stream.write_all(head).await.unwrap();
    stream.write_all(&[1; 5_000]).await.unwrap();
    while scene.heads().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(stream);
    while seen.get().is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(seen.get(), Some(false));
}

#[actix_rt::test]
async fn large_bodies_pass_whole_in_both_directions() {
    let scene = Scene::start(&TWO[..1], |_| Fake::new(echo)).await;
    let body: Vec<u8> = (0..3_000_000u32).map(|i| (i % 251) as u8).collect();
    let reply = scene.send("POST", "/x", &[], &body).await;
    reply.is(200);
    assert_eq!(unchunk(&reply.rest), body);
}

#[actix_rt::test]
async fn a_caller_that_does_not_read_holds_the_sidecar_back() {
    const WHOLE: u64 = 256 << 20;
    let written = Rc::new(Cell::new(0u64));
    let seen = Rc::clone(&written);
    let make = move |_: &str| {
        let written = Rc::clone(&written);
        Fake::new(move |mut call| {
            let written = Rc::clone(&written);
            async move {
                call.writer.frame(&answer_head(Some(WHOLE))).await.unwrap();
                let part = Bytes::from(vec![0; 64 << 10]);
                while written.get() < WHOLE && call.writer.bytes(part.clone()).await.is_ok() {
                    written.set(written.get() + part.len() as u64);
                }
            }
            .boxed_local()
        })
    };
    let scene = Scene::start(&TWO[..1], make).await;
    let mut stream = TcpStream::connect(scene.callers).await.unwrap();
    let request = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut last = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(500)).await;
        if last > 0 && seen.get() == last {
            break;
        }
        last = seen.get();
    }
    assert!(last < WHOLE / 8, "{last} bytes, most of them in sockets");
}
