//! Decides whether a failed attempt is followed by another one, and otherwise
//! what is reported to the caller.
//!
//! A call that is not idempotent is retried only if no earlier attempt can have
//! run: either nothing was written to the server, or the server itself reported
//! that it did not run the call. The response to the caller is derived from the
//! same facts, so "not run" is never reported for a call that may have run. See
//! `docs/design/at-most-once.md`.

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No permit was granted, so nothing was sent.
    Refused,
    /// No connection could be made, or the HTTP library returned the request
    /// without having sent any of it.
    Unsent,
    /// The server refused the call and reported that it did not run it.
    Shed,
    /// The response came from another server than the intended one, which
    /// reported that it did not run the call.
    Misdirected,
    /// The connection broke after some of the request had been written.
    Broken,
    /// The deadline passed after some of the request had been written.
    Late,
}

impl Failure {
    /// Returns the name used in response headers, logs and metrics.
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

    /// Returns whether this failure proves that the attempt did not run the call.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Self::Refused | Self::Unsent | Self::Shed | Self::Misdirected
        )
    }
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Make another attempt.
    Retry,
    /// Report to the caller that the call was not run.
    NotRun,
    /// Report to the caller that the call may have run.
    Unknown,
}

/// The retry state of one call, over all of its attempts.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    idempotent: bool,
    repeatable: bool,
    remaining: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Creates the state of a call that may be attempted `max_attempts` times.
    ///
    /// `repeatable` is false if the request cannot be sent again, because its body
    /// was streamed to a server without being buffered.
    pub fn new(idempotent: bool, repeatable: bool, max_attempts: u32) -> Self {
        Self {
            idempotent,
            repeatable,
            remaining: max_attempts,
            may_have_run: false,
        }
    }

    /// Returns whether the call may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// Records a failed attempt and returns what to do next.
    ///
    /// `intact` is true if the request, including its body, is still complete
    /// after this attempt and can be sent again.
    pub fn record_failure(&mut self, failure: Failure, intact: bool) -> Verdict {
        self.remaining = self.remaining.saturating_sub(1);
        if !failure.proves_not_run() {
            self.may_have_run = true;
        }
        let safe = self.idempotent || !self.may_have_run;
        let useful = !matches!(failure, Failure::Refused | Failure::Late);
        if safe && useful && self.remaining > 0 && (intact || self.repeatable) {
            return Verdict::Retry;
        }
        self.verdict()
    }

    /// Returns what to report to the caller if no further attempt is made.
    pub fn verdict(&self) -> Verdict {
        if self.may_have_run {
            Verdict::Unknown
        } else {
            Verdict::NotRun
        }
    }
}
