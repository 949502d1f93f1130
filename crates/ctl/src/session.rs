//! The platform with the limits of one command.

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

use crate::{console::Failure, exit::Exit, flags::KingcupfordCtl, store::CountingStore};

/// Default of the time for reading or for getting a change accepted.
const DEFAULT_TIMEOUT_S: u64 = 10;

/// Default of the time for the confirmation, above the 6 s that a change may take to be active.
const DEFAULT_CONFIRM_S: u64 = 10;

/// Wait between two attempts to read.
const READ_RETRY: Duration = Duration::from_millis(200);

/// The platform with the limits of one command.
pub(crate) struct Session {
    /// Base URL of the platform, for messages.
    pub(crate) platform: String,
    /// The platform.
    pub(crate) store: Arc<CountingStore>,
    /// The configuration in it.
    pub(crate) config: ConfigStore<CountingStore>,
    /// Time for reading or for getting a change accepted.
    pub(crate) timeout: Duration,
    /// Time for the confirmation, `None` when none is waited for.
    pub(crate) confirm: Option<Duration>,
}

impl Session {
    /// A session with the limits of a command line.
    pub(crate) fn new(flags: &KingcupfordCtl) -> Result<Self, Failure> {
        let settings = HttpStoreSettings::new(&flags.platform);
        let invalid = |it: anyhow::Error| {
            let hint = "use --platform http://HOST:PORT";
            Failure::new(Exit::Usage, format!("--platform {}: {it}", flags.platform), hint)
        };
        let store = HttpObjectStore::new(settings).map_err(invalid)?;
        let timeout_s = flags.timeout_s.unwrap_or(DEFAULT_TIMEOUT_S);
        let confirm_s = flags.confirm_s.unwrap_or(DEFAULT_CONFIRM_S);
        if timeout_s == 0 || timeout_s > 3600 || confirm_s > 3600 {
            let message =
                format!("--timeout-s {timeout_s} or --confirm-s {confirm_s} is out of range");
            return Err(Failure::new(Exit::Usage, message, "use seconds up to 3600"));
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
            confirm: (!flags.no_wait).then(|| Duration::from_secs(confirm_s)),
        })
    }

    /// Repeats a read until the platform answers or the time is over.
    pub(crate) async fn answered<T, F>(&self, mut read: impl FnMut() -> F) -> Result<T, Failure>
    where
        F: Future<Output = CallOutcome<T>>,
    {
        let deadline = Instant::now() + self.timeout;
        loop {
            let wait = match read().await {
                CallOutcome::Value(it) => return Ok(it),
                CallOutcome::Unavailable => READ_RETRY,
                CallOutcome::Throttled { retry_after_ms } => Duration::from_millis(retry_after_ms),
            };
            if Instant::now() + wait >= deadline {
                return Err(Failure::unavailable(&self.platform));
            }
            sleep(wait).await;
        }
    }

    /// Reads the head, `None` when no configuration was ever accepted.
    pub(crate) async fn head(&self) -> Result<Option<StoredHead>, Failure> {
        match self.answered(|| self.config.read_head()).await? {
            HeadRead::Found(it) => Ok(Some(it)),
            HeadRead::Missing => Ok(None),
            HeadRead::Unreadable => Err(Failure::new(
                Exit::Rejected,
                "config/head: the stored head cannot be read",
                "use the newest version of this program",
            )),
        }
    }

    /// Reads the head, which must exist.
    pub(crate) async fn required_head(&self) -> Result<StoredHead, Failure> {
        self.head().await?.ok_or_else(|| {
            Failure::new(
                Exit::Rejected,
                "config/head: no configuration was accepted yet",
                "apply a folder of declarations first",
            )
        })
    }

    /// Reads what the chunks of some kinds declare, all when `kinds` is empty.
    pub(crate) async fn declared(
        &self,
        head: &Head,
        kinds: &[ChunkKind],
    ) -> Result<Declarations, Failure> {
        let chunks = head.chunks.iter();
        let chunks = chunks.filter(|it| kinds.is_empty() || kinds.contains(&it.kind));
        let part = Head { chunks: chunks.cloned().collect(), ..head.clone() };
        self.config.read_declarations(&part).await.ok_or_else(|| {
            Failure::new(
                Exit::Unavailable,
                format!("configuration version {} cannot be read whole", head.version),
                "repeat the command; it was replaced meanwhile or the platform is away",
            )
        })
    }

    /// Reads an object.
    pub(crate) async fn object(&self, name: &str) -> Result<Option<Object>, Failure> {
        self.answered(|| self.store.read(name)).await
    }

    /// Reads an object of JSON with its version.
    pub(crate) async fn json<T: DeserializeOwned>(
        &self,
        name: &str,
    ) -> Result<Option<(u64, T)>, Failure> {
        let Some(object) = self.object(name).await? else { return Ok(None) };
        match serde_json::from_slice(&object.bytes) {
            Ok(it) => Ok(Some((object.version, it))),
            Err(error) => Err(Failure::new(
                Exit::Internal,
                format!("{name}: {error}"),
                "use the version of this program that the hosts run",
            )),
        }
    }
}

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}

/// A random identifier of a change, with a readable start.
pub(crate) fn change_id(kind: &str) -> String {
    format!("{kind}-{:016x}", rand::rng().random::<u64>())
}
