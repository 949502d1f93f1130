//! Log lines written by a separate thread, so that a full pipe does not block the process.

use std::{
    io::Write,
    sync::{
        Arc, Condvar, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Maximum size of the buffered lines.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;

/// Interval at which the buffered lines are written together.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Buffers lines for a writer thread without waiting for the output.
#[derive(Debug, Clone)]
pub(crate) struct LineWriter {
    buffer: Arc<Mutex<Vec<u8>>>,
    flush: Arc<Flush>,
    /// Lines dropped since the last write because the buffer was full.
    dropped_lines: Arc<AtomicU64>,
}

/// Requests to write the buffered lines at once, and their completion.
#[derive(Debug, Default)]
struct Flush {
    state: Mutex<FlushState>,
    changed: Condvar,
}

#[derive(Debug, Default, Clone, Copy)]
struct FlushState {
    requested_count: u64,
    completed_count: u64,
}

impl Flush {
    /// Waits for a request, at most for `timeout`; returns the number of requests so far.
    fn wait_for_request(&self, timeout: Duration) -> u64 {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_idle = |it: &mut FlushState| it.requested_count == it.completed_count;
        let res = self.changed.wait_timeout_while(state, timeout, is_idle);
        res.unwrap_or_else(PoisonError::into_inner).0.requested_count
    }

    /// Reports the first `count` requests as completed.
    fn complete(&self, count: u64) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).completed_count = count;
        self.changed.notify_all();
    }

    /// Makes a request and waits until it is completed, at most for `timeout`; returns whether it
    /// is.
    fn request(&self, timeout: Duration) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.requested_count += 1;
        let request = state.requested_count;
        self.changed.notify_all();
        let is_pending = |it: &mut FlushState| it.completed_count < request;
        let res = self.changed.wait_timeout_while(state, timeout, is_pending);
        !res.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }
}

impl LineWriter {
    /// Starts the thread that writes to `output`.
    pub(crate) fn start(mut output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let res =
            Self { buffer: Arc::default(), flush: Arc::default(), dropped_lines: Arc::default() };
        let writer = res.clone();
        thread::Builder::new().name("log-writer".to_owned()).spawn(move || {
            loop {
                let flush_count = writer.flush.wait_for_request(WRITE_INTERVAL);
                writer.write_to(&mut output);
                writer.flush.complete(flush_count);
            }
        })?;
        Ok(res)
    }

    /// Buffers a line, or drops it if the buffer is full.
    pub(crate) fn push(&self, line: &str) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.len() + line.len() + 1 > MAX_BUFFERED_BYTES {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
            return;
        }
        buffer.extend_from_slice(line.as_bytes());
        buffer.push(b'\n');
    }

    /// Waits until the buffered lines are written, at most for `timeout`; returns whether they are.
    pub(crate) fn flush(&self, timeout: Duration) -> bool {
        self.flush.request(timeout)
    }

    /// Writes the buffered lines and the number of dropped ones. If the output fails, the lines are
    /// lost and counted as one dropped line.
    fn write_to(&self, output: &mut impl Write) {
        let mut lines = {
            let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *buffer)
        };
        let dropped_count = self.dropped_lines.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            lines.extend_from_slice(
                format!("level=WARN dropped_lines={dropped_count}\n").as_bytes(),
            );
        }
        if !lines.is_empty() && output.write_all(&lines).and_then(|()| output.flush()).is_err() {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }
}
