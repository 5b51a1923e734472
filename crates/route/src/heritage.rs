//! What a new home takes over from the last one about the servers.
//!
//! Followers keep the last sheet that a home told them. Sheets may be lost, so
//! one follower may still think a server warm that has just restarted. Of the
//! recent sheets of the latest epoch the most careful word on each server
//! counts; old sheets count only where there is no recent one.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::epoch::Epoch;
use crate::msg::Line;

/// The age up to which a sheet is recent: active followers hear more often.
const RECENT: Duration = Duration::from_millis(2500);

/// A sheet as a follower keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sheet {
    /// The epoch of the home that told it.
    pub source: Epoch,
    /// How long ago that was.
    pub age: Duration,
    /// The servers, sorted by id.
    pub lines: Vec<Line>,
}

/// The sheets heard so far, merged.
#[derive(Clone, Debug, Default)]
pub struct Heritage {
    source: Epoch,
    recent: bool,
    lines: Vec<Line>,
}

impl Heritage {
    /// Takes one more sheet into account.
    pub fn merge(&mut self, sheet: &Sheet) {
        let recent = sheet.age <= RECENT;
        let (old, new) = ((self.source, self.recent), (sheet.source, recent));
        if new < old || sheet.lines.is_empty() {
            return;
        }
        if new > old {
            (self.source, self.recent) = new;
            self.lines = sheet.lines.clone();
            return;
        }
        for line in &sheet.lines {
            match self.lines.binary_search_by_key(&line.server, |l| l.server) {
                Ok(at) => {
                    let kept = &mut self.lines[at];
                    if (line.warmth, line.limit) < (kept.warmth, kept.limit) {
                        *kept = *line;
                    }
                }
                Err(at) => self.lines.insert(at, *line),
            }
        }
    }

    /// Returns the servers as they are thought to be, sorted by id.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }
}
