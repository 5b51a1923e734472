//! Logs on standard output: a JSON object a line, or text.
//!
//! A line has a fixed prefix for its part, such as `member:`, so that a reader
//! can filter by part whatever the module; in JSON it is the field `part`, and
//! what decided stands in fields of its own. Writing never blocks: lines go
//! through a bounded queue to a thread that writes them, and what exceeds the
//! queue or the rate is dropped, counted, and told of in a line. See
//! `docs/OPERATIONS.md`.

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

/// Lines that wait to be written at the most, about a megabyte.
const QUEUE: usize = 2048;
/// Lines a second on average; a VM of a large deployment takes about ten calls
/// a second, with three lines each.
const RATE: f64 = 300.0;
/// Lines that may come at once after a quiet time.
const BURST: f64 = 1000.0;
/// How long the end of the process waits for the last lines.
const LAST_WAIT: Duration = Duration::from_millis(300);
/// The time between two looks whether they are written.
const LAST_REST: Duration = Duration::from_millis(2);
/// The time between two lines about dropped ones.
const DROPPED_PERIOD: Duration = Duration::from_secs(1);

/// Keeps logging going; the lines that wait are written when it is dropped.
pub struct Handle {
    waiting: Arc<AtomicU64>,
    logger: LoggerHandle,
}

impl Drop for Handle {
    fn drop(&mut self) {
        let end = Instant::now() + LAST_WAIT;
        while self.waiting.load(Ordering::SeqCst) > 0 && Instant::now() < end {
            std::thread::sleep(LAST_REST);
        }
    }
}

/// Starts logging until the handle is dropped.
pub fn start(level: &str, json: bool) -> Result<Handle, FlexiLoggerError> {
    let (lines, queue) = mpsc::sync_channel(QUEUE);
    let waiting = Arc::new(AtomicU64::new(0));
    let left = waiting.clone();
    // Without the thread lines are dropped, which is all that can be done.
    let _ = std::thread::Builder::new()
        .name("logs".into())
        .stack_size(128 << 10)
        .spawn(move || write_lines(&queue, &left));
    let writer = Bounded {
        lines,
        waiting: waiting.clone(),
        json,
        gate: Mutex::new(Gate::new(Instant::now())),
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
        // A reader that has gone must not end the process.
        let _ = out.write_all(&line).and_then(|()| out.flush());
        waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handle {
    /// Changes which lines are written; `level` is a level or filter.
    pub fn set_level(&self, level: &str) -> Result<(), FlexiLoggerError> {
        self.logger.parse_new_spec(level)
    }
}

/// Bounds the rate of lines.
struct Gate {
    tokens: f64,
    last: Instant,
    reported: Instant,
}

impl Gate {
    fn new(now: Instant) -> Self {
        Self {
            tokens: BURST,
            last: now,
            reported: now,
        }
    }

    /// Takes one line; returns whether it may be written.
    fn take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.last).as_secs_f64();
        self.tokens = (self.tokens + passed * RATE).min(BURST);
        self.last = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// Returns whether dropped lines should be told of.
    fn tells(&mut self, now: Instant) -> bool {
        let due = now.saturating_duration_since(self.reported) >= DROPPED_PERIOD;
        if due {
            self.reported = now;
        }
        due
    }
}

/// Writes lines through the queue.
struct Bounded {
    lines: mpsc::SyncSender<Vec<u8>>,
    waiting: Arc<AtomicU64>,
    json: bool,
    gate: Mutex<Gate>,
    dropped: AtomicU64,
}

impl LogWriter for Bounded {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut gate = self.gate.lock().unwrap_or_else(PoisonError::into_inner);
        let at = Instant::now();
        // A warning is never what exceeds the rate.
        let allowed = gate.take(at) || record.level() <= log::Level::Warn;
        let dropped = self.dropped.load(Ordering::Relaxed);
        let tells = dropped > 0 && gate.tells(at);
        drop(gate);
        if tells {
            self.dropped.fetch_sub(dropped, Ordering::Relaxed);
            let text = format_args!("logs: {dropped} lines were dropped").to_string();
            self.put(now, &Record::builder().args(format_args!("{text}")).build());
        }
        if allowed {
            self.put(now, record);
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

impl Bounded {
    fn put(&self, now: &mut DeferredNow, record: &Record<'_>) {
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

/// Collects the fields of a record.
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
    // The visitor itself never fails.
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
