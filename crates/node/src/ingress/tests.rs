mod bodies;
mod fake;
mod framing;
mod large_bodies;
mod lifecycle;
mod organisations;
mod outcomes;
mod pipelining;
mod rejections;
mod silence;
mod stated;
mod stop;

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::FutureExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use self::fake::{
    FakeCall, FakeSidecar, Fixture, RawResponse, answer, answer_head, refuse_with_sequence,
};
use crate::{
    kernel::Service,
    view::Phase,
    wire::{Outcome, RefusalReason, ReplyHead},
};

const TWO_UPSTREAMS: &[(&str, &str)] = &[("a1", "a"), ("a2", "a")];
const KEY_HEADER: (&str, &str) = ("idempotency-key", "a.01939c5e-0000-7000-8000-000000000001");

fn hello_sidecar() -> FakeSidecar {
    FakeSidecar::new(|call| answer(call, b"hello"))
}

fn echo(mut call: FakeCall) -> futures_util::future::LocalBoxFuture<'static, ()> {
    async move {
        call.writer.write_frame(&answer_head(None)).await.unwrap();
        while let Ok(Some(part)) = call.reader.read_bytes().await {
            call.writer.write_bytes(part).await.unwrap();
        }
        call.writer.finish().unwrap();
    }
    .boxed_local()
}

fn decode_chunked(mut rest: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let end = rest.windows(2).position(|w| w == b"\r\n").unwrap();
        let size = std::str::from_utf8(&rest[..end]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        if size == 0 {
            return body;
        }
        body.extend_from_slice(&rest[end + 2..end + 2 + size]);
        rest = &rest[end + 4 + size..];
    }
}
