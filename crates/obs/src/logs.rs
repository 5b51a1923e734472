//! Logging to standard output, as text or with one JSON object per line.
//!
//! The text of a line begins with the name of a part of the system, such as
//! `member:`, so that a reader can filter lines by part, independently of modules. In
//! JSON, the part is the field `part`. The values behind a decision have fields of
//! their own. Logging never blocks: a thread writes the lines, which reach it through
//! a bounded queue. Lines that exceed the queue or the rate limit are dropped, and
//! another line reports their number. See `docs/OPERATIONS.md`.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use flexi_logger::writers::LogWriter;
use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::kv;
use log::Record;
use serde_json::Map;
use serde_json::Value;

/// The capacity of the queue, in lines. This is about a megabyte.
const QUEUE_LINES: usize = 2048;
/// The rate limit, in lines per second. A VM of a large deployment receives about ten
/// calls per second, and logs three lines for each.
const LINES_PER_SEC: f64 = 300.0;
/// The number of lines that can be logged in a burst: the capacity of the token bucket.
const BURST_LINES: f64 = 1000.0;
/// How long the process waits at its end for the queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// How often the end of the process checks whether the queued lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The shortest interval between two lines that report dropped lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A handle of the logger. Dropping it waits until the queued lines are written, for at
/// most 300 ms.
pub struct Handle {
    /// The number of queued lines.
    waiting: Arc<AtomicU64>,
    logger: LoggerHandle,
}

impl Drop for Handle {
    fn drop(&mut self) {
        let end = Instant::now() + FLUSH_TIMEOUT;
        while self.waiting.load(Ordering::SeqCst) > 0 && Instant::now() < end {
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

/// Starts logging. `level` is a level or a filter, and `json` selects the format.
///
/// Fails if `level` cannot be parsed or if a logger has been started before.
pub fn start(level: &str, json: bool) -> Result<Handle, FlexiLoggerError> {
    let (lines, queue) = mpsc::sync_channel(QUEUE_LINES);
    let waiting = Arc::new(AtomicU64::new(0));
    let thread_waiting = waiting.clone();
    // If the thread cannot be started, all lines are dropped. The failure cannot be
    // logged either.
    let _ = std::thread::Builder::new()
        .name("logs".into())
        .stack_size(128 << 10)
        .spawn(move || write_lines(&queue, &thread_waiting));
    let writer = QueueWriter {
        lines,
        waiting: waiting.clone(),
        json,
        limiter: Mutex::new(RateLimiter::new(Instant::now())),
        dropped: AtomicU64::new(0),
    };
    let logger = Logger::try_with_str(level)?
        .log_to_writer(Box::new(writer))
        .start()?;
    Ok(Handle { waiting, logger })
}

fn write_lines(queue: &mpsc::Receiver<Vec<u8>>, waiting: &AtomicU64) {
    let mut out = io::stdout().lock();
    while let Ok(line) = queue.recv() {
        // The process goes on if the reader of its standard output has exited.
        let _ = out.write_all(&line).and_then(|()| out.flush());
        waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handle {
    /// Changes which lines are written. `level` is a level or a filter. Fails if `level`
    /// cannot be parsed.
    pub fn set_level(&self, level: &str) -> Result<(), FlexiLoggerError> {
        self.logger.parse_new_spec(level)
    }
}

/// A token bucket that limits the rate of lines.
struct RateLimiter {
    tokens: f64,
    last_refill: Instant,
    /// When dropped lines were last reported.
    reported: Instant,
}

impl RateLimiter {
    fn new(now: Instant) -> Self {
        Self {
            tokens: BURST_LINES,
            last_refill: now,
            reported: now,
        }
    }

    /// Takes a token for one line, and returns whether there was one.
    fn take(&mut self, now: Instant) -> bool {
        let elapsed = now
            .saturating_duration_since(self.last_refill)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed * LINES_PER_SEC).min(BURST_LINES);
        self.last_refill = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// Returns whether it is time to report dropped lines. If so, the next report is due
    /// after [`DROP_REPORT_INTERVAL`].
    fn report_due(&mut self, now: Instant) -> bool {
        let due = now.saturating_duration_since(self.reported) >= DROP_REPORT_INTERVAL;
        if due {
            self.reported = now;
        }
        due
    }
}

/// A log writer that formats lines and queues them.
struct QueueWriter {
    lines: mpsc::SyncSender<Vec<u8>>,
    waiting: Arc<AtomicU64>,
    json: bool,
    limiter: Mutex<RateLimiter>,
    dropped: AtomicU64,
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        let instant = Instant::now();
        // Warnings and errors are exempt from the rate limit.
        let allowed = limiter.take(instant) || record.level() <= log::Level::Warn;
        let dropped = self.dropped.load(Ordering::Relaxed);
        let report = dropped > 0 && limiter.report_due(instant);
        drop(limiter);
        if report {
            self.dropped.fetch_sub(dropped, Ordering::Relaxed);
            let text = format_args!("logs: {dropped} lines were dropped").to_string();
            self.enqueue(now, &Record::builder().args(format_args!("{text}")).build());
        }
        if allowed {
            self.enqueue(now, record);
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

impl QueueWriter {
    fn enqueue(&self, now: &mut DeferredNow, record: &Record<'_>) {
        let line = if self.json {
            json_line(now, record)
        } else {
            text_line(now, record)
        };
        self.waiting.fetch_add(1, Ordering::SeqCst);
        if self.lines.try_send(line).is_err() {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A visitor that collects the fields of a log record. Numbers stay numbers, and other
/// values become strings.
struct Fields(Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let number = value.to_u64().map(Value::from);
        let number = number.or_else(|| value.to_f64().map(Value::from));
        let value = number.unwrap_or_else(|| Value::from(value.to_string()));
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn fields(record: &Record<'_>) -> Map<String, Value> {
    let mut fields = Fields(Map::new());
    // `visit_pair` never fails.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

fn text_line(now: &mut DeferredNow, record: &Record<'_>) -> Vec<u8> {
    let at = now.format_rfc3339();
    let mut line = format!("{at} {:<5} {}", record.level(), record.args());
    for (key, value) in fields(record) {
        line += &format!(" {key}={value}");
    }
    line.push('\n');
    line.into_bytes()
}

fn json_line(now: &mut DeferredNow, record: &Record<'_>) -> Vec<u8> {
    let message = record.args().to_string();
    let (part, text) = message.split_once(": ").unwrap_or(("", &message));
    let mut line = Map::new();
    line.insert("at".into(), now.format_rfc3339().into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("part".into(), part.into());
    line.insert("text".into(), text.into());
    line.extend(fields(record));
    let mut bytes = serde_json::to_vec(&line).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}
