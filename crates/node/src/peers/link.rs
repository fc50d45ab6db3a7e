//! Control links: one long-lived stream each, in both directions.

use std::{
    cell::Cell,
    net::{IpAddr, SocketAddr},
    rc::Rc,
};

use bincode::serde::Compat;
use futures_util::future::LocalBoxFuture;
use log::debug;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wagtaillever_coordination::{LinkId, Message};

use super::core::Input;
use crate::{
    timeline::Clock,
    transport::{FrameReader, FrameWriter, StreamHandler, TransportError, connect},
    wire::ControlFrame,
};

/// Messages that wait on one link at most; a slower link is closed.
const MAX_QUEUE: usize = 1024;

/// What all links of a node share.
#[derive(Clone)]
pub(super) struct LinkContext {
    /// Address from which links are opened.
    pub(super) local: IpAddr,
    /// Clock of the time line.
    pub(super) clock: Clock,
    /// Number of the next link.
    pub(super) next: Rc<Cell<u64>>,
}

impl LinkContext {
    fn next_id(&self) -> LinkId {
        let id = self.next.get();
        self.next.set(id + 1);
        LinkId(id)
    }
}

/// The sending half of a link, as the replica's loop holds it.
pub(super) struct LinkSender {
    queue: mpsc::Sender<Message>,
    token: CancellationToken,
}

impl LinkSender {
    /// Queues a message; a full queue ends the link.
    pub(super) fn send(&self, message: Message) {
        if self.queue.try_send(message).is_err() {
            self.token.cancel();
        }
    }
}

impl Drop for LinkSender {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

/// Accepts the links that other nodes open.
pub(super) struct Acceptor {
    inputs: mpsc::Sender<Input>,
    context: LinkContext,
}

impl Acceptor {
    pub(super) fn new(inputs: mpsc::Sender<Input>, context: LinkContext) -> Self {
        Self { inputs, context }
    }
}

impl StreamHandler for Acceptor {
    fn handle(
        self: Rc<Self>,
        _peer: SocketAddr,
        reader: FrameReader,
        writer: FrameWriter,
    ) -> LocalBoxFuture<'static, ()> {
        Box::pin(async move {
            run(&self.context, &self.inputs, None, reader, writer).await;
        })
    }
}

/// Opens a link to an address and runs it until its end.
pub(super) async fn dial(context: LinkContext, inputs: mpsc::Sender<Input>, address: SocketAddr) {
    if let Err(err) = try_dial(&context, &inputs, address).await {
        debug!("no link to {address}: {err}");
        let _ = inputs.send(Input::DialFailed(address)).await;
    }
}

async fn try_dial(
    context: &LinkContext,
    inputs: &mpsc::Sender<Input>,
    address: SocketAddr,
) -> Result<(), TransportError> {
    let connection = connect(context.local, address).await?;
    let (writer, reader) = connection.open_stream("control").await?;
    let reader = reader.ready().await?;
    run(context, inputs, Some(address), reader, writer).await;
    Ok(())
}

async fn run(
    context: &LinkContext,
    inputs: &mpsc::Sender<Input>,
    address: Option<SocketAddr>,
    reader: FrameReader,
    writer: FrameWriter,
) {
    let id = context.next_id();
    let token = CancellationToken::new();
    let (queue, messages) = mpsc::channel(MAX_QUEUE);
    let sender = LinkSender {
        queue,
        token: token.clone(),
    };
    if inputs.send(Input::Up(id, address, sender)).await.is_err() {
        return;
    }
    let result = tokio::select! {
        () = token.cancelled() => Ok(()),
        result = read(context, inputs, id, reader) => result,
        result = write(context, messages, writer) => result,
    };
    if let Err(err) = result {
        debug!("link {} ended: {err}", id.0);
    }
    let _ = inputs.send(Input::Down(id)).await;
}

async fn read(
    context: &LinkContext,
    inputs: &mpsc::Sender<Input>,
    id: LinkId,
    mut reader: FrameReader,
) -> Result<(), TransportError> {
    let mut counted = 0;
    while let Some(frame) = reader.read_frame::<ControlFrame>().await? {
        let total = reader.total_bytes();
        metrics::counter!("control_bytes_total", "direction" => "received")
            .increment(total - counted);
        counted = total;
        context.clock.observe(frame.at);
        let input = Input::Message(id, frame.message.0);
        if inputs.send(input).await.is_err() {
            break;
        }
    }
    Ok(())
}

async fn write(
    context: &LinkContext,
    mut messages: mpsc::Receiver<Message>,
    mut writer: FrameWriter,
) -> Result<(), TransportError> {
    let mut counted = 0;
    while let Some(message) = messages.recv().await {
        let frame = ControlFrame {
            at: context.clock.tick(),
            message: Compat(message),
        };
        writer.write_frame(&frame).await?;
        let total = writer.total_bytes();
        metrics::counter!("control_bytes_total", "direction" => "sent").increment(total - counted);
        counted = total;
    }
    Ok(())
}
