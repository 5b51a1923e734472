//! What a failed attempt allows: another one, or which answer to the caller.
//!
//! A call that may not run twice is sent again only if it is certain that no
//! attempt ran: nothing was written, or the server itself said so. What the
//! caller is told follows from the same knowledge, so that "not run" is always
//! true. See `docs/design/at-most-once.md`.

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No permit was granted; nothing was sent.
    Refused,
    /// No connection could be made, or the library gave the request back.
    Unsent,
    /// The server refused the call and said that it did not run it.
    Shed,
    /// Another server than the one that was meant answered, and did not run it.
    Misdirected,
    /// The connection broke after something was written.
    Broken,
    /// The deadline passed after something was written.
    Late,
}

impl Failure {
    /// Returns the word used in answers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unsent => "unsent",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::Late => "late",
        }
    }

    /// Returns whether the call certainly did not run in this attempt.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Self::Refused | Self::Unsent | Self::Shed | Self::Misdirected
        )
    }
}

/// What follows from a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Make another attempt.
    Retry,
    /// Tell the caller that the call was not run.
    NotRun,
    /// Tell the caller that the call may have run.
    Unknown,
}

/// The attempts at one call.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    idempotent: bool,
    repeatable: bool,
    left: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Makes the state of a call that may be attempted `most` times.
    ///
    /// `repeatable` says whether the request can be sent again at all: a body
    /// that has been passed on without being kept cannot.
    pub fn new(idempotent: bool, repeatable: bool, most: u32) -> Self {
        Self {
            idempotent,
            repeatable,
            left: most,
            may_have_run: false,
        }
    }

    /// Returns whether the call may run twice.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// Notes a failed attempt and says what follows; `kept` tells whether the
    /// request is still whole after it.
    pub fn record_failure(&mut self, failure: Failure, kept: bool) -> Verdict {
        self.left = self.left.saturating_sub(1);
        if !failure.proves_not_run() {
            self.may_have_run = true;
        }
        let safe = self.idempotent || !self.may_have_run;
        let worth = !matches!(failure, Failure::Refused | Failure::Late);
        if safe && worth && self.left > 0 && (kept || self.repeatable) {
            return Verdict::Retry;
        }
        self.verdict()
    }

    /// Returns what to tell the caller if no further attempt is made.
    pub fn verdict(&self) -> Verdict {
        if self.may_have_run {
            Verdict::Unknown
        } else {
            Verdict::NotRun
        }
    }
}
