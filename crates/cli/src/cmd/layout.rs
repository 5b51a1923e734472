//! `layout`: reports what operators should know of a configuration before they send it.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;

use conf::audit;
use conf::audit::Gravity;
use conf::Layout;
use pico_args::Arguments;

use crate::error::reject_unused_args;
use crate::error::Error;

/// Collects what the adapter for the platform reports while it reads a configuration: what
/// it leaves out is not in the layout any more.
struct Collector(Mutex<Vec<String>>);

static COLLECTOR: Collector = Collector(Mutex::new(Vec::new()));

impl Collector {
    /// Returns the lines since the last time.
    fn take(&self) -> Vec<String> {
        let mut lines = self.0.lock().unwrap_or_else(|error| error.into_inner());
        std::mem::take(&mut lines)
    }
}

impl log::Log for Collector {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= log::Level::Warn
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut fields = Fields(String::new());
        let visited = record.key_values().visit(&mut fields);
        debug_assert!(visited.is_ok(), "the visitor never fails");
        let line = format!("{}{}", record.args(), fields.0);
        let mut lines = self.0.lock().unwrap_or_else(|error| error.into_inner());
        lines.push(line.escape_debug().to_string());
    }

    fn flush(&self) {}
}

/// The fields of a log line as text.
struct Fields(String);

impl<'kvs> log::kv::VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        self.0.push_str(&format!(", {key} {value}"));
        Ok(())
    }
}

pub(crate) fn run(mut args: Arguments) -> Result<(), Error> {
    let in_force: Option<PathBuf> = args.opt_value_from_str("--in-force")?;
    let file: PathBuf = args.free_from_str()?;
    reject_unused_args(args)?;
    // Another logger is set only if this is called twice, and then it is the same one.
    if log::set_logger(&COLLECTOR).is_ok() {
        log::set_max_level(log::LevelFilter::Warn);
    }
    let in_force = in_force.as_deref().map(read).transpose()?;
    // What cannot be read of the configuration in force is as it is.
    COLLECTOR.take();
    let layout = read(&file)?;
    let unread = COLLECTOR.take();
    let findings = audit::audit(&layout, in_force.as_ref());
    for line in &unread {
        println!("{}: {line}", Gravity::Error);
    }
    for finding in &findings {
        println!("{finding}");
    }
    let count = |gravity| findings.iter().filter(|f| f.gravity == gravity).count();
    let errors = count(Gravity::Error) + unread.len();
    let warnings = count(Gravity::Warning);
    let summary = format!(
        "{}: {errors} errors, {warnings} warnings, {} notes",
        file.display(),
        count(Gravity::Note)
    );
    if errors > 0 {
        return Err(Error::InvalidFile(format!("{summary}; do not send it")));
    }
    if warnings > 0 {
        return Err(Error::Refused(format!(
            "{summary}; read them before you send it"
        )));
    }
    println!("{summary}");
    Ok(())
}

/// Reads the configuration in `file`.
fn read(file: &Path) -> Result<Layout, Error> {
    let invalid = |problem: String| Error::InvalidFile(format!("{}: {problem}", file.display()));
    let text = std::fs::read_to_string(file)
        .map_err(|error| invalid(format!("cannot read: {error}; check the path")))?;
    let mut json = serde_json::Deserializer::from_str(&text);
    let layout = platform::layout::decode(&mut json)
        .map_err(|error| invalid(format!("would be rejected as a whole: {error}")))?;
    json.end().map_err(|error| invalid(error.to_string()))?;
    Ok(layout)
}
