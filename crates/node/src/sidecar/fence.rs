//! Handover of idempotency keys between nodes.
//!
//! A new owner of keys asks the previous owners to confirm that they apply the configuration that
//! moved the keys.

use std::{cell::RefCell, collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::LocalBoxFuture;
use log::info;
use tokio::time::timeout;
use wagtaillever_coordination::{
    IdempotencyKey, KnownKeys, RequestId, Sequence, ServiceName, VmName,
};

use crate::{
    sidecar::shared::Shared,
    timeline::EventKind,
    transport::{FrameReader, FrameWriter, StreamHandler, TransportError},
    wire::{FenceKeys, FenceReply, FenceRequest},
};

/// Longest time that a node waits to apply the requested sequence before it replies.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of one confirmation request.
const FENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// Handler of `/fence` streams.
pub(super) struct FenceHandler {
    shared: Rc<Shared>,
}

impl FenceHandler {
    pub(super) fn new(shared: Rc<Shared>) -> Self {
        Self { shared }
    }

    async fn serve(
        &self,
        mut reader: FrameReader,
        mut writer: FrameWriter,
    ) -> Result<(), TransportError> {
        let Some(request) = reader.read_frame::<FenceRequest>().await? else {
            return Ok(());
        };
        let mut views = self.shared.context().view().watch();
        let caught_up = views.wait_for(|view| view.config.sequence.0 >= request.sequence);
        let _ = timeout(CATCH_UP_TIMEOUT, caught_up).await;
        self.shared.refresh();
        let known = self
            .shared
            .keys()
            .keys_to_hand_over(&VmName::from(request.vm));
        let reply = FenceReply {
            sequence: self.shared.sequence(),
            known: known.map(fence_keys),
        };
        writer.write_frame(&reply).await?;
        writer.finish()
    }
}

impl StreamHandler for FenceHandler {
    fn handle(
        self: Rc<Self>,
        _peer: SocketAddr,
        reader: FrameReader,
        writer: FrameWriter,
    ) -> LocalBoxFuture<'static, ()> {
        Box::pin(async move {
            let _ = timeout(FENCE_TIMEOUT, self.serve(reader, writer)).await;
        })
    }
}

/// Confirmation requests to previous owners of keys, at most one at a time per owner.
#[derive(Default)]
pub(super) struct Fences {
    in_progress: RefCell<BTreeSet<VmName>>,
}

impl Fences {
    /// Requests confirmation from all awaited VMs that have no request in progress.
    pub(super) fn request_confirmations(self: &Rc<Self>, shared: &Rc<Shared>) {
        let awaited = shared.keys().awaited();
        if awaited.is_empty() {
            return;
        }
        let vms = Rc::new(shared.context().view().load().vms.by_name());
        for (vm, sequence) in awaited {
            let Some(address) = vms.get(&vm).map(|entry| entry.address) else {
                continue;
            };
            if !self.in_progress.borrow_mut().insert(vm.clone()) {
                continue;
            }
            let fences = Rc::clone(self);
            let shared = Rc::clone(shared);
            actix_rt::spawn(async move {
                let request = request_confirmation(&shared, address, sequence);
                if let Ok(Ok(reply)) = timeout(FENCE_TIMEOUT, request).await {
                    confirm(&shared, &vm, reply, sequence);
                }
                fences.in_progress.borrow_mut().remove(&vm);
            });
        }
    }
}

fn fence_keys(known: KnownKeys) -> FenceKeys {
    let requests = known.requests.into_iter();
    FenceKeys {
        floor: known.floor_ms,
        requests: requests
            .map(|id| (id.service.to_string(), id.key.to_string()))
            .collect(),
    }
}

/// Returns the keys of a frame; `None` if any key is malformed.
fn known_keys(frame: FenceKeys) -> Option<KnownKeys> {
    let parse = |(service, key): (String, String)| {
        let key = IdempotencyKey::parse(&key).ok()?;
        let service = ServiceName::from(service);
        Some(RequestId { service, key })
    };
    let requests: Option<Vec<_>> = frame.requests.into_iter().map(parse).collect();
    Some(KnownKeys {
        floor_ms: frame.floor,
        requests: requests?,
    })
}

fn confirm(shared: &Shared, vm: &VmName, reply: FenceReply, expected: Sequence) {
    shared.refresh();
    let applied = Sequence(reply.sequence);
    let known = reply.known.and_then(known_keys);
    shared.keys().confirm(vm, applied, known);
    if applied >= expected {
        info!(vm:% = vm, note:% = expected; "idempotency keys handed over");
        shared
            .context()
            .timeline()
            .record(EventKind::KeysHandedOver {
                from: vm.clone(),
                note: expected,
            });
    }
}

async fn request_confirmation(
    shared: &Shared,
    address: SocketAddr,
    sequence: Sequence,
) -> Result<FenceReply, TransportError> {
    let link = shared.links().get(address).await?;
    let (mut writer, pending) = link.open_stream("fence").await?;
    let request = FenceRequest {
        sequence: sequence.0,
        vm: shared.context().settings().vm.to_string(),
    };
    writer.write_frame(&request).await?;
    writer.finish()?;
    let mut reader = pending.ready().await?;
    let reply = reader.read_frame::<FenceReply>().await?;
    reply.ok_or(TransportError::Ended)
}
