//! Control links between nodes. Each link is one long-lived bidirectional stream.

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

/// Maximum number of messages queued on a link; a link whose queue overflows is closed.
const MAX_QUEUED_MESSAGES: usize = 1024;

/// State shared by all links of a node.
#[derive(Clone)]
pub(super) struct LinkContext {
    /// Local address of outgoing links.
    pub(super) local_ip: IpAddr,
    /// Clock of the timeline.
    pub(super) clock: Clock,
    /// ID of the next link.
    pub(super) next_link: Rc<Cell<u64>>,
}

impl LinkContext {
    fn next_id(&self) -> LinkId {
        let id = self.next_link.get();
        self.next_link.set(id + 1);
        LinkId(id)
    }
}

/// Sending half of a link; dropping it closes the link.
pub(super) struct LinkSender {
    queue: mpsc::Sender<Message>,
    token: CancellationToken,
}

impl LinkSender {
    /// Queues a message. Closes the link if the queue is full.
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

/// Accepts links opened by other nodes.
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
            run_link(&self.context, &self.inputs, None, reader, writer).await;
        })
    }
}

/// Opens a link to an address and runs it until it closes.
pub(super) async fn dial(context: LinkContext, inputs: mpsc::Sender<Input>, address: SocketAddr) {
    if let Err(err) = try_dial(&context, &inputs, address).await {
        debug!("can't open a link to {address}: {err}");
        let _ = inputs.send(Input::DialFailed(address)).await;
    }
}

async fn try_dial(
    context: &LinkContext,
    inputs: &mpsc::Sender<Input>,
    address: SocketAddr,
) -> Result<(), TransportError> {
    let connection = connect(context.local_ip, address).await?;
    let (writer, reader) = connection.open_stream("control").await?;
    let reader = reader.ready().await?;
    run_link(context, inputs, Some(address), reader, writer).await;
    Ok(())
}

async fn run_link(
    context: &LinkContext,
    inputs: &mpsc::Sender<Input>,
    address: Option<SocketAddr>,
    reader: FrameReader,
    writer: FrameWriter,
) {
    let id = context.next_id();
    let token = CancellationToken::new();
    let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let sender = LinkSender {
        queue,
        token: token.clone(),
    };
    if inputs
        .send(Input::LinkUp(id, address, sender))
        .await
        .is_err()
    {
        return;
    }
    let result = tokio::select! {
        () = token.cancelled() => Ok(()),
        result = receive_messages(context, inputs, id, reader) => result,
        result = send_messages(context, messages, writer) => result,
    };
    if let Err(err) = result {
        debug!("link {} closed: {err}", id.0);
    }
    let _ = inputs.send(Input::LinkDown(id)).await;
}

async fn receive_messages(
    context: &LinkContext,
    inputs: &mpsc::Sender<Input>,
    id: LinkId,
    mut reader: FrameReader,
) -> Result<(), TransportError> {
    let mut counted_bytes = 0;
    while let Some(frame) = reader.read_frame::<ControlFrame>().await? {
        let total_bytes = reader.total_bytes();
        metrics::counter!("control_bytes_total", "direction" => "received")
            .increment(total_bytes - counted_bytes);
        counted_bytes = total_bytes;
        context.clock.observe(frame.at);
        let input = Input::Message(id, frame.message.0);
        if inputs.send(input).await.is_err() {
            break;
        }
    }
    Ok(())
}

async fn send_messages(
    context: &LinkContext,
    mut messages: mpsc::Receiver<Message>,
    mut writer: FrameWriter,
) -> Result<(), TransportError> {
    let mut counted_bytes = 0;
    while let Some(message) = messages.recv().await {
        let frame = ControlFrame {
            at: context.clock.tick(),
            message: Compat(message),
        };
        writer.write_frame(&frame).await?;
        let total_bytes = writer.total_bytes();
        metrics::counter!("control_bytes_total", "direction" => "sent")
            .increment(total_bytes - counted_bytes);
        counted_bytes = total_bytes;
    }
    Ok(())
}
