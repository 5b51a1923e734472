//! The audit of a layout before it is sent: what would be refused or never act, which limits
//! contradict each other, and what differs from the layout in force.
//!
//! The registry takes any layout, and entries that cannot be used only show up when their
//! calls are refused. An audit tells operators before that. See `docs/operate/check.md`.

mod changes;
mod entries;
mod limits;

use std::fmt;

use crate::layout::Layout;
use crate::layout::Mapping;

/// How grave a finding is; the gravest is the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Gravity {
    /// The entry would be refused or not be used as written.
    Error,
    /// The entry has no effect, contradicts another one, or takes something from callers.
    Warning,
    /// The entry is as operators may well intend it.
    Note,
}

/// One thing that operators should know of a layout before they send it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// How grave it is.
    pub gravity: Gravity,
    /// The entry of the layout.
    pub entry: String,
    /// What is to be known of the entry; never a key.
    pub problem: String,
    /// What to write or do instead; empty if nothing has to be done.
    pub remedy: &'static str,
}

/// The findings of an audit.
#[derive(Debug, Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn add(
        &mut self,
        gravity: Gravity,
        entry: impl Into<String>,
        problem: impl Into<String>,
        remedy: &'static str,
    ) {
        self.0.push(Finding {
            gravity,
            entry: entry.into(),
            problem: problem.into(),
            remedy,
        });
    }

    fn error(&mut self, entry: &str, problem: impl Into<String>, remedy: &'static str) {
        self.add(Gravity::Error, entry, problem, remedy);
    }

    fn warn(&mut self, entry: &str, problem: impl Into<String>, remedy: &'static str) {
        self.add(Gravity::Warning, entry, problem, remedy);
    }

    fn note(&mut self, entry: &str, problem: impl Into<String>, remedy: &'static str) {
        self.add(Gravity::Note, entry, problem, remedy);
    }
}

impl fmt::Display for Gravity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
            Self::Note => "note",
        })
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.gravity, self.entry, self.problem)?;
        if !self.remedy.is_empty() {
            write!(f, "; {}", self.remedy)?;
        }
        Ok(())
    }
}

/// Returns what operators should know of `layout` before they send it in place of
/// `in_force`, the gravest first.
pub fn audit(layout: &Layout, in_force: Option<&Layout>) -> Vec<Finding> {
    let mut findings = Findings::default();
    entries::check(layout, &mut findings);
    limits::check(layout, &mut findings);
    if let Some(in_force) = in_force {
        changes::check(in_force, layout, &mut findings);
    }
    findings.0.sort_by_key(|finding| finding.gravity);
    findings.0
}

/// Returns how findings name a mapping. Names are quoted, so that none can break a line.
fn mapping_entry(mapping: &Mapping) -> String {
    let place = format!("{}{}", mapping.host, mapping.prefix);
    format!("route {:?} at {place:?}", mapping.name)
}

fn service_entry(name: &str) -> String {
    format!("service {name:?}")
}

fn team_entry(name: &str) -> String {
    format!("team {name:?}")
}
