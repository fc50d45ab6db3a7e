//! Reader of a platform that publishes release notes; the platform mode decides what it reads.

use std::time::{Duration, Instant};

use log::{debug, warn};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};
use wagtaillever_coordination::{
    ApplyTiming, Backoff, Base, BaseIndex, Config, PlatformMode, PlatformValue, ReadBudget,
};

use super::{
    client::{Change, PlatformClient, Value},
    error::SourceError,
    value::{bad_value, parse_value},
};
use crate::peers::{PeersHandle, ReaderState};

/// Delays after failed reads.
const RETRY_BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(250),
    limit: Duration::from_secs(3),
};
/// Number of consecutive stale answers to a watch after which all keys are read again.
const MAX_STALE_ANSWERS: u32 = 3;
/// Maximum number of notes that are read before they are applied.
const NOTE_BATCH_SIZE: usize = 32;

/// Reader of a platform that publishes release notes.
pub(super) struct Reader {
    client: PlatformClient,
    peers: PeersHandle,
    mode: watch::Receiver<PlatformMode>,
    budget: ReadBudget,
    rng: SmallRng,
    failures: u32,
    highest_revision: u64,
    timing: ApplyTiming,
}

impl Reader {
    /// Returns a reader that passes values to the peers service.
    pub(super) fn new(client: PlatformClient, peers: PeersHandle, timing: ApplyTiming) -> Self {
        Self {
            mode: peers.mode(),
            client,
            peers,
            budget: ReadBudget::new(Instant::now()),
            rng: SmallRng::from_os_rng(),
            failures: 0,
            highest_revision: 0,
            timing,
        }
    }

    /// Reads the platform until the peers service ends.
    pub(super) async fn run(mut self) {
        if !self.client.has_address() {
            return;
        }
        loop {
            let mode = *self.mode.borrow_and_update();
            let result = match mode {
                PlatformMode::Off => {
                    if self.mode.changed().await.is_err() {
                        return;
                    }
                    continue;
                }
                PlatformMode::Vms => self.read_vm_list().await,
                PlatformMode::Watch => self.watch().await,
                PlatformMode::Probe => self.probe().await,
            };
            if let Err(err) = result {
                self.back_off(&err).await;
            }
        }
    }

    async fn back_off(&mut self, err: &SourceError) {
        debug!("platform: {err}");
        self.failures += 1;
        let mut delay = RETRY_BACKOFF.delay(self.failures, &mut self.rng);
        match err {
            SourceError::Busy { after } => delay += *after,
            SourceError::RevisionExpired => self.failures = 0,
            SourceError::BadValue { .. } => warn!("platform: {err}"),
            SourceError::Unavailable { .. } | SourceError::Stale { .. } => self.client.rotate(),
        }
        tokio::select! {
            () = sleep(delay) => {}
            _ = self.mode.changed() => self.mode.mark_unchanged(),
        }
    }

    /// Probes whether the platform answers this node, then waits until the next probe is due.
    async fn probe(&mut self) -> Result<(), SourceError> {
        let started = Instant::now();
        match timeout(self.timing.probe_timeout(), self.get("vms")).await {
            Ok(Ok(_)) => self.peers.record_platform_probe().await,
            Ok(Err(err)) => return Err(err),
            Err(_) => debug!("the platform did not answer a probe"),
        }
        let wait = self
            .timing
            .probe_interval()
            .saturating_sub(started.elapsed());
        tokio::select! {
            () = sleep(wait) => {}
            _ = self.mode.changed() => self.mode.mark_unchanged(),
        }
        Ok(())
    }

    async fn read_vm_list(&mut self) -> Result<(), SourceError> {
        let (value, _) = self.get("vms").await?;
        self.apply_vm_list(value).await?;
        self.failures = 0;
        Ok(())
    }

    async fn apply_vm_list(&mut self, value: Option<Value>) -> Result<(), SourceError> {
        let value = match value {
            Some(value) => parse_value("vms", &value.body)?,
            None => Some(PlatformValue::NoVms),
        };
        let values = value.into_iter().collect();
        let state = self.peers.apply_platform_values(values).await;
        self.update_budget(state);
        Ok(())
    }

    async fn watch(&mut self) -> Result<(), SourceError> {
        let mut after = self.read_all().await?;
        self.highest_revision = self.highest_revision.max(after);
        self.peers.record_platform_answer().await;
        let mut stale_answers = 0;
        while *self.mode.borrow() == PlatformMode::Watch {
            let wait = self.timing.watch_wait();
            self.acquire_reads(1.0 + wait.as_secs_f64()).await;
            let changes = self.client.watch(after, wait).await?;
            if changes.revision < after {
                stale_answers += 1;
                if stale_answers >= MAX_STALE_ANSWERS {
                    let revision = changes.revision;
                    return Err(SourceError::Stale {
                        revision,
                        seen: after,
                    });
                }
                sleep(RETRY_BACKOFF.delay(stale_answers, &mut self.rng)).await;
                continue;
            }
            stale_answers = 0;
            after = changes.revision;
            self.highest_revision = self.highest_revision.max(after);
            self.apply_changes(changes.events).await?;
            self.failures = 0;
            self.peers.record_platform_answer().await;
        }
        Ok(())
    }

    /// Reads all keys and returns the revision from which to watch for changes.
    async fn read_all(&mut self) -> Result<u64, SourceError> {
        let (list, revision) = self.get("vms").await?;
        self.apply_vm_list(list).await?;
        let (drains, _) = self.get("drains").await?;
        if let Some(value) = drains {
            self.apply_value("drains", &value.body).await;
        }
        let (base, _) = self.get("base").await?;
        if let Some(value) = base {
            self.apply_base(&value.body).await?;
        }
        self.read_notes().await?;
        Ok(revision)
    }

    async fn read_notes(&mut self) -> Result<(), SourceError> {
        loop {
            let state = self.peers.apply_platform_values(Vec::new()).await;
            let mut next = state.sequence.next();
            let mut notes = Vec::new();
            while notes.len() < NOTE_BATCH_SIZE {
                let Some(value) = self.get(&format!("notes/{next}")).await?.0 else {
                    break;
                };
                notes.push(PlatformValue::Note(next, value.body.as_ref().into()));
                next = next.next();
            }
            let is_last = notes.len() < NOTE_BATCH_SIZE;
            self.peers.apply_platform_values(notes).await;
            if is_last {
                return Ok(());
            }
        }
    }

    async fn apply_changes(&mut self, events: Vec<Change>) -> Result<(), SourceError> {
        let mut values = Vec::new();
        let mut base = None;
        for event in events {
            if event.key == "base" {
                base = Some(event.value);
                continue;
            }
            match parse_value(&event.key, event.value.as_bytes()) {
                Ok(value) => values.extend(value),
                Err(err) => warn!("platform: {err}"),
            }
        }
        let state = self.peers.apply_platform_values(values).await;
        self.update_budget(state);
        if let Some(base) = base {
            self.apply_base(base.as_bytes()).await?;
        }
        if self
            .peers
            .apply_platform_values(Vec::new())
            .await
            .gap
            .is_some()
        {
            self.read_notes().await?;
        }
        Ok(())
    }

    async fn apply_value(&mut self, key: &str, text: &[u8]) {
        match parse_value(key, text) {
            Ok(value) => {
                self.peers
                    .apply_platform_values(value.into_iter().collect())
                    .await;
            }
            Err(err) => warn!("platform: {err}"),
        }
    }

    async fn apply_base(&mut self, text: &[u8]) -> Result<(), SourceError> {
        let config = match Base::parse(text).map_err(|err| bad_value("base", &err))? {
            Base::Whole(config) => config,
            Base::Split(index) => {
                let sequence = self.peers.apply_platform_values(Vec::new()).await.sequence;
                if index.sequence <= sequence {
                    return Ok(());
                }
                self.read_base_parts(&index).await?
            }
        };
        let values = vec![PlatformValue::Base(config)];
        self.peers.apply_platform_values(values).await;
        Ok(())
    }

    async fn read_base_parts(&mut self, index: &BaseIndex) -> Result<Config, SourceError> {
        let mut parts = Vec::new();
        for key in &index.parts {
            let Some(value) = self.get(key).await?.0 else {
                return Err(bad_value(key, &"a part of the base is missing"));
            };
            let part = Config::parse_part(&value.body);
            parts.push(part.map_err(|err| bad_value(key, &err))?);
        }
        index.join(parts).map_err(|err| bad_value("base", &err))
    }

    async fn get(&mut self, key: &str) -> Result<(Option<Value>, u64), SourceError> {
        self.acquire_reads(1.0).await;
        let (value, revision) = self.client.get(key).await?;
        if revision < self.highest_revision {
            debug!(
                "platform: revision {revision} is older than {}",
                self.highest_revision
            );
        }
        Ok((value, revision))
    }

    async fn acquire_reads(&mut self, reads: f64) {
        while let Err(delay) = self.budget.take(reads, Instant::now()) {
            sleep(delay).await;
        }
    }

    fn update_budget(&mut self, state: ReaderState) {
        if state.readers > 0 {
            self.budget.set_readers(state.readers, Instant::now());
        }
    }
}
