//! `check`: finds the faults in settings, tickets and experiments.

use std::path::Path;
use std::path::PathBuf;

use conf::Settings;
use conf::Ticket;
use conf::ValidationErrors;
use load::plan::Plan;
use pico_args::Arguments;

use crate::error::Error;

/// What a file is, by the field that only its kind has.
#[derive(serde::Deserialize)]
struct Kind {
    ticket: Option<serde_json::Value>,
    warmup: Option<serde_json::Value>,
}

pub(crate) fn run(args: Arguments) -> Result<(), Error> {
    let files: Vec<PathBuf> = args.finish().into_iter().map(PathBuf::from).collect();
    if files.is_empty() {
        return Err(Error::Usage("write the files to check".into()));
    }
    let mut bad = String::new();
    for file in &files {
        match check(file) {
            Ok(kind) => println!("{}: {kind} without faults", file.display()),
            Err(text) => bad.push_str(&text),
        }
    }
    if bad.is_empty() {
        return Ok(());
    }
    Err(Error::Faults(bad.trim_end().to_owned()))
}

/// Returns what kind the file is, or its faults, each with the file's name.
fn check(file: &Path) -> Result<&'static str, String> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| format!("{}: {error}; check the path\n", file.display()))?;
    let (kind, result) = check_text(&text);
    let Err(faults) = result else {
        return Ok(kind);
    };
    let lines = faults.list().iter();
    Err(lines
        .map(|fault| format!("{}: {fault}\n", file.display()))
        .collect())
}

fn check_text(text: &str) -> (&'static str, Result<(), ValidationErrors>) {
    let stripped = json_comments::StripComments::new(text.as_bytes());
    let kind: Result<Kind, _> = serde_json::from_reader(stripped);
    match kind {
        Ok(kind) if kind.ticket.is_some() => {
            let parsed = conf::document::parse::<Ticket>(text);
            ("a ticket", parsed.and_then(|ticket| ticket.check()))
        }
        Ok(kind) if kind.warmup.is_some() => ("an experiment", Plan::parse(text).map(|_| ())),
        _ => ("settings", Settings::parse(text).map(|_| ())),
    }
}
