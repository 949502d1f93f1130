//! Access of one command to the platform, with the command's time limits.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use kingcupford_config::{ChunkKind, Declarations, Head};
use kingcupford_platform::{
    CallOutcome, ConfigStore, ConfigStoreSettings, HeadRead, HttpObjectStore, HttpStoreSettings,
    Object, ObjectStore as _, StoredHead,
};
use rand::Rng as _;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep};

use crate::{console::CommandError, exit::ExitStatus, flags::KingcupfordCtl, store::CountingStore};

const DEFAULT_TIMEOUT_S: u64 = 10;

// Must exceed the 6 s that a change may take to become active.
const DEFAULT_CONFIRM_S: u64 = 10;

const READ_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Access of one command to the platform, with the command's time limits.
pub(crate) struct Session {
    /// Base URL of the platform, used in messages.
    pub(crate) platform: String,
    pub(crate) store: Arc<CountingStore>,
    pub(crate) config: ConfigStore<CountingStore>,
    /// Time limit for a read or for the acceptance of a change.
    pub(crate) timeout: Duration,
    /// Time limit for the confirmation of a change, `None` if the command does not wait for it.
    pub(crate) confirm_timeout: Option<Duration>,
}

impl Session {
    /// Fails if the platform's URL or a time limit of the command line is invalid.
    pub(crate) fn new(flags: &KingcupfordCtl) -> Result<Self, CommandError> {
        let settings = HttpStoreSettings::new(&flags.platform);
        let invalid = |it: anyhow::Error| {
            let hint = "use --platform http://HOST:PORT";
            CommandError::new(
                ExitStatus::Usage,
                format!("--platform {}: {it}", flags.platform),
                hint,
            )
        };
        let store = HttpObjectStore::new(settings).map_err(invalid)?;
        let timeout_s = flags.timeout_s.unwrap_or(DEFAULT_TIMEOUT_S);
        let confirm_s = flags.confirm_s.unwrap_or(DEFAULT_CONFIRM_S);
        if timeout_s == 0 || timeout_s > 3600 || confirm_s > 3600 {
            let message =
                format!("--timeout-s {timeout_s} or --confirm-s {confirm_s} is out of range");
            return Err(CommandError::new(ExitStatus::Usage, message, "use seconds up to 3600"));
        }
        let store = Arc::new(CountingStore::new(store));
        let config_settings =
            ConfigStoreSettings { timeout_ms: timeout_s * 1000, ..ConfigStoreSettings::default() };
        let config = ConfigStore::new(Arc::clone(&store), config_settings, rand::rng().random());
        Ok(Self {
            platform: flags.platform.clone(),
            store,
            config,
            timeout: Duration::from_secs(timeout_s),
            confirm_timeout: (!flags.no_wait).then(|| Duration::from_secs(confirm_s)),
        })
    }

    /// Repeats a read until the platform answers or `timeout` has passed.
    pub(crate) async fn read_with_retry<T, F>(
        &self,
        mut read: impl FnMut() -> F,
    ) -> Result<T, CommandError>
    where
        F: Future<Output = CallOutcome<T>>,
    {
        let deadline = Instant::now() + self.timeout;
        loop {
            let wait = match read().await {
                CallOutcome::Value(it) => return Ok(it),
                CallOutcome::Unavailable => READ_RETRY_INTERVAL,
                CallOutcome::Throttled { retry_after_ms } => Duration::from_millis(retry_after_ms),
            };
            if Instant::now() + wait >= deadline {
                return Err(CommandError::unavailable(&self.platform));
            }
            sleep(wait).await;
        }
    }

    /// Reads the head, `None` if no configuration was ever accepted.
    pub(crate) async fn read_head(&self) -> Result<Option<StoredHead>, CommandError> {
        match self.read_with_retry(|| self.config.read_head()).await? {
            HeadRead::Found(it) => Ok(Some(it)),
            HeadRead::Missing => Ok(None),
            HeadRead::Unreadable => Err(CommandError::new(
                ExitStatus::Rejected,
                "config/head: the stored head cannot be read",
                "use the newest version of this program",
            )),
        }
    }

    /// Reads the head and fails if no configuration was ever accepted.
    pub(crate) async fn read_required_head(&self) -> Result<StoredHead, CommandError> {
        self.read_head().await?.ok_or_else(|| {
            CommandError::new(
                ExitStatus::Rejected,
                "config/head: no configuration was accepted yet",
                "apply a folder of declarations first",
            )
        })
    }

    /// Reads the declarations in the chunks of the given kinds, or in all chunks if `kinds` is
    /// empty.
    pub(crate) async fn read_declarations(
        &self,
        head: &Head,
        kinds: &[ChunkKind],
    ) -> Result<Declarations, CommandError> {
        let chunks = head.chunks.iter();
        let chunks = chunks.filter(|it| kinds.is_empty() || kinds.contains(&it.kind));
        let partial_head = Head { chunks: chunks.cloned().collect(), ..head.clone() };
        self.config.read_declarations(&partial_head).await.ok_or_else(|| {
            CommandError::new(
                ExitStatus::Unavailable,
                format!("configuration version {} could not be read completely", head.version),
                "repeat the command; the version was replaced during the read or the platform is \
                 unavailable",
            )
        })
    }

    pub(crate) async fn read_object(&self, name: &str) -> Result<Option<Object>, CommandError> {
        self.read_with_retry(|| self.store.read(name)).await
    }

    /// Reads and parses a JSON object; returns the object's version with the value.
    pub(crate) async fn read_json<T: DeserializeOwned>(
        &self,
        name: &str,
    ) -> Result<Option<(u64, T)>, CommandError> {
        let Some(object) = self.read_object(name).await? else { return Ok(None) };
        match serde_json::from_slice(&object.bytes) {
            Ok(it) => Ok(Some((object.version, it))),
            Err(error) => Err(CommandError::new(
                ExitStatus::Internal,
                format!("{name}: {error}"),
                "use the version of this program that the hosts run",
            )),
        }
    }
}

pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}

/// Returns a random identifier of a change that starts with the kind of the change.
pub(crate) fn new_change_id(kind: &str) -> String {
    format!("{kind}-{:016x}", rand::rng().random::<u64>())
}
