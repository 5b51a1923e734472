//! `check`: reports the errors in settings, tickets and experiment files.

use std::path::Path;
use std::path::PathBuf;

use conf::Settings;
use conf::Ticket;
use conf::ValidationErrors;
use load::plan::Plan;
use pico_args::Arguments;

use crate::error::Error;

/// The fields that tell the kinds of files apart: only tickets have `ticket`, and only
/// experiments have `warmup`. All other files are taken as settings.
#[derive(serde::Deserialize)]
struct KindFields {
    ticket: Option<serde_json::Value>,
    warmup: Option<serde_json::Value>,
}

pub(crate) fn run(args: Arguments) -> Result<(), Error> {
    let files: Vec<PathBuf> = args.finish().into_iter().map(PathBuf::from).collect();
    if files.is_empty() {
        return Err(Error::Usage(
            "no files to check; expected check FILE...".into(),
        ));
    }
    let mut messages = String::new();
    for file in &files {
        match check_file(file) {
            Ok(kind) => println!("{}: {kind} without faults", file.display()),
            Err(text) => messages.push_str(&text),
        }
    }
    if messages.is_empty() {
        return Ok(());
    }
    Err(Error::InvalidFile(messages.trim_end().to_owned()))
}

/// Returns the kind of the file, or its errors, one line each, with the path of the file
/// before each error.
fn check_file(file: &Path) -> Result<&'static str, String> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| format!("{}: cannot read: {error}; check the path\n", file.display()))?;
    let (kind, result) = check_text(&text);
    let Err(errors) = result else {
        return Ok(kind);
    };
    let list = errors.list().iter();
    Err(list
        .map(|error| format!("{}: {error}\n", file.display()))
        .collect())
}

/// Returns the kind of the file with the content `text`, and its errors if it has any.
fn check_text(text: &str) -> (&'static str, Result<(), ValidationErrors>) {
    let stripped = json_comments::StripComments::new(text.as_bytes());
    let fields: Result<KindFields, _> = serde_json::from_reader(stripped);
    match fields {
        Ok(fields) if fields.ticket.is_some() => {
            let parsed = conf::document::parse::<Ticket>(text);
            ("a ticket", parsed.and_then(|ticket| ticket.check()))
        }
        Ok(fields) if fields.warmup.is_some() => ("an experiment", Plan::parse(text).map(|_| ())),
        _ => ("settings", Settings::parse(text).map(|_| ())),
    }
}
