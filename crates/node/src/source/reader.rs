//! Reads the platform as long as the node is to do so.

use std::time::{Duration, Instant};

use log::{debug, warn};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::{sync::watch, time::sleep};
use wagtaillever_coordination::{
    Backoff, Base, BaseIndex, Config, PlatformMode, PlatformValue, ReadBudget,
};

use super::{
    client::{Change, PlatformClient, Value, WATCH_MS},
    error::SourceError,
    value::{bad, parse},
};
use crate::peers::{PeersHandle, PlatformState};

/// Delays after failed reads.
const RETRY: Backoff = Backoff {
    first: Duration::from_millis(250),
    limit: Duration::from_secs(3),
};
/// Stale answers in a row after which all keys are read afresh.
const MAX_STALE: u32 = 3;
/// Notes that are read before they are passed on.
const NOTES_AT_ONCE: usize = 32;

/// Reader of the platform.
pub(super) struct Reader {
    client: PlatformClient,
    peers: PeersHandle,
    mode: watch::Receiver<PlatformMode>,
    budget: ReadBudget,
    rng: SmallRng,
    failures: u32,
    seen: u64,
}

impl Reader {
    /// Returns a reader that feeds the peers service.
    pub(super) fn new(client: PlatformClient, peers: PeersHandle) -> Self {
        Self {
            mode: peers.mode(),
            client,
            peers,
            budget: ReadBudget::new(Instant::now()),
            rng: SmallRng::from_os_rng(),
            failures: 0,
            seen: 0,
        }
    }

    /// Reads until the node ends.
    pub(super) async fn run(mut self) {
        if !self.client.is_usable() {
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
                PlatformMode::Vms => self.read_list().await,
                PlatformMode::Watch => self.watch().await,
            };
            if let Err(err) = result {
                self.pause_after(&err).await;
            }
        }
    }

    async fn pause_after(&mut self, err: &SourceError) {
        debug!("platform: {err}");
        self.failures += 1;
        let mut delay = RETRY.delay(self.failures, &mut self.rng);
        match err {
            SourceError::Busy { after } => delay += *after,
            SourceError::Forgotten => self.failures = 0,
            SourceError::BadValue { .. } => warn!("platform: {err}"),
            SourceError::Out { .. } | SourceError::Stale { .. } => self.client.rotate(),
        }
        tokio::select! {
            () = sleep(delay) => {}
            _ = self.mode.changed() => self.mode.mark_unchanged(),
        }
    }

    async fn read_list(&mut self) -> Result<(), SourceError> {
        let (value, _) = self.get("vms").await?;
        self.take_list(value).await?;
        self.failures = 0;
        Ok(())
    }

    async fn take_list(&mut self, value: Option<Value>) -> Result<(), SourceError> {
        let value = match value {
            Some(value) => parse("vms", &value.body)?,
            None => Some(PlatformValue::NoVms),
        };
        let values = value.into_iter().collect();
        let state = self.peers.apply_platform_values(values).await;
        self.share_budget(state);
        Ok(())
    }

    async fn watch(&mut self) -> Result<(), SourceError> {
        let mut after = self.read_all().await?;
        self.seen = self.seen.max(after);
        self.peers.record_platform_answer().await;
        let mut stale = 0;
        while *self.mode.borrow() == PlatformMode::Watch {
            let reads = 1.0 + Duration::from_millis(WATCH_MS).as_secs_f64();
            self.acquire(reads).await;
            let changes = self.client.watch(after).await?;
            if changes.revision < after {
                stale += 1;
                if stale >= MAX_STALE {
                    let revision = changes.revision;
                    return Err(SourceError::Stale {
                        revision,
                        seen: after,
                    });
                }
                sleep(RETRY.delay(stale, &mut self.rng)).await;
                continue;
            }
            stale = 0;
            after = changes.revision;
            self.seen = self.seen.max(after);
            self.take_changes(changes.events).await?;
            self.failures = 0;
            self.peers.record_platform_answer().await;
        }
        Ok(())
    }

    /// Reads all keys and returns the revision to watch from.
    async fn read_all(&mut self) -> Result<u64, SourceError> {
        let (list, revision) = self.get("vms").await?;
        self.take_list(list).await?;
        let (drains, _) = self.get("drains").await?;
        if let Some(value) = drains {
            self.take_value("drains", &value.body).await;
        }
        let (base, _) = self.get("base").await?;
        if let Some(value) = base {
            self.take_base(&value.body).await?;
        }
        self.read_notes().await?;
        Ok(revision)
    }

    async fn read_notes(&mut self) -> Result<(), SourceError> {
        loop {
            let state = self.peers.apply_platform_values(Vec::new()).await;
            let mut next = state.have.next();
            let mut notes = Vec::new();
            while notes.len() < NOTES_AT_ONCE {
                let Some(value) = self.get(&format!("notes/{next}")).await?.0 else {
                    break;
                };
                notes.push(PlatformValue::Note(next, value.body.as_ref().into()));
                next = next.next();
            }
            let is_last = notes.len() < NOTES_AT_ONCE;
            self.peers.apply_platform_values(notes).await;
            if is_last {
                return Ok(());
            }
        }
    }

    async fn take_changes(&mut self, events: Vec<Change>) -> Result<(), SourceError> {
        let mut values = Vec::new();
        let mut base = None;
        for event in events {
            if event.key == "base" {
                base = Some(event.value);
                continue;
            }
            match parse(&event.key, event.value.as_bytes()) {
                Ok(value) => values.extend(value),
                Err(err) => warn!("platform: {err}"),
            }
        }
        let state = self.peers.apply_platform_values(values).await;
        self.share_budget(state);
        if let Some(base) = base {
            self.take_base(base.as_bytes()).await?;
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

    async fn take_value(&mut self, key: &str, text: &[u8]) {
        match parse(key, text) {
            Ok(value) => {
                self.peers
                    .apply_platform_values(value.into_iter().collect())
                    .await;
            }
            Err(err) => warn!("platform: {err}"),
        }
    }

    async fn take_base(&mut self, text: &[u8]) -> Result<(), SourceError> {
        let config = match Base::parse(text).map_err(|err| bad("base", &err))? {
            Base::Whole(config) => config,
            Base::Split(index) => {
                let have = self.peers.apply_platform_values(Vec::new()).await.have;
                if index.sequence <= have {
                    return Ok(());
                }
                self.read_parts(&index).await?
            }
        };
        let values = vec![PlatformValue::Base(config)];
        self.peers.apply_platform_values(values).await;
        Ok(())
    }

    async fn read_parts(&mut self, index: &BaseIndex) -> Result<Config, SourceError> {
        let mut parts = Vec::new();
        for key in &index.parts {
            let Some(value) = self.get(key).await?.0 else {
                return Err(bad(key, &"a part of the base is missing"));
            };
            let part = Config::parse_part(&value.body);
            parts.push(part.map_err(|err| bad(key, &err))?);
        }
        index.join(parts).map_err(|err| bad("base", &err))
    }

    async fn get(&mut self, key: &str) -> Result<(Option<Value>, u64), SourceError> {
        self.acquire(1.0).await;
        let (value, revision) = self.client.get(key).await?;
        if revision < self.seen {
            debug!("platform: revision {revision} is older than {}", self.seen);
        }
        Ok((value, revision))
    }

    async fn acquire(&mut self, reads: f64) {
        while let Err(delay) = self.budget.take(reads, Instant::now()) {
            sleep(delay).await;
        }
    }

    fn share_budget(&mut self, state: PlatformState) {
        if state.readers > 0 {
            self.budget.set_readers(state.readers, Instant::now());
        }
    }
}
