//! Writes log lines from a thread, so that a full pipe never holds up the process.

use std::{
    io::Write,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Bytes that may wait for the output.
const MAX_WAITING_BYTES: usize = 512 * 1024;

/// Time between two writes; lines in between are written together.
const WRITE_EVERY: Duration = Duration::from_millis(100);

/// Takes lines in and never blocks.
#[derive(Debug, Clone)]
pub(crate) struct LineWriter {
    /// Lines that wait.
    waiting: Arc<Mutex<Vec<u8>>>,
    /// Lines that found no room.
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts the thread that writes to an output.
    pub(crate) fn start(mut output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let res = Self { waiting: Arc::default(), dropped: Arc::default() };
        let writer = res.clone();
        thread::Builder::new().name("log-writer".to_owned()).spawn(move || {
            loop {
                thread::sleep(WRITE_EVERY);
                writer.write_to(&mut output);
            }
        })?;
        Ok(res)
    }

    /// Adds a line, or drops it when the output is too slow.
    pub(crate) fn push(&self, line: &str) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.len() + line.len() + 1 > MAX_WAITING_BYTES {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        waiting.extend_from_slice(line.as_bytes());
        waiting.push(b'\n');
    }

    /// Writes what waits; a failing output loses it.
    fn write_to(&self, output: &mut impl Write) {
        let mut lines = {
            let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *waiting)
        };
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            lines.extend_from_slice(format!("level=WARN dropped_lines={dropped}\n").as_bytes());
        }
        if !lines.is_empty() && output.write_all(&lines).and_then(|()| output.flush()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
