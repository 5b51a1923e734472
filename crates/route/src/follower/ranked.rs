//! In which form a follower sends its permit requests that have a ranking.
//!
//! A home of a build from before the ranking drops such a request. The plain form, which
//! every build reads, is then served by class alone. The follower sends the ranked form
//! first and the plain one on its resend, until the home says that it reads the ranked form
//! or a reply shows it. A home that seems not to read it gets the plain form first, so that calls
//! do not wait for the resend, but is tried again now and then, as replies may be lost.
//! See `docs/design/overload.md`.

use crate::epoch::Epoch;

/// The replies to calls sent in both forms after which the plain form goes first.
const UNREAD_MAX: u32 = 3;
/// Of so many calls, one is still sent in the ranked form first.
const RETRY_PERIOD: u32 = 16;

/// What the follower knows about the forms that a home reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct RankedForm {
    epoch: Epoch,
    /// Whether a reply showed that the home reads the ranked form.
    shown: bool,
    /// Replies to calls that were sent in both forms.
    unread: u32,
}

impl RankedForm {
    /// Returns whether a request to the home of `epoch` goes out in the ranked form; `sent`
    /// says whether it was sent before.
    pub fn is_next(&mut self, epoch: Epoch, sent: bool) -> bool {
        self.follow(epoch);
        let promising = self.unread < UNREAD_MAX || self.unread.is_multiple_of(RETRY_PERIOD);
        self.shown || (!sent && promising)
    }

    /// Records a reply of the home of `epoch` to a request with a ranking; `plain` says
    /// whether the request was sent in the plain form too, which any home reads.
    pub fn record_reply(&mut self, epoch: Epoch, plain: bool) {
        self.follow(epoch);
        if plain {
            self.unread = self.unread.saturating_add(1);
        } else {
            self.shown = true;
        }
    }

    /// Records that the home of `epoch` says that it reads ranked requests.
    pub fn record_word(&mut self, epoch: Epoch) {
        self.follow(epoch);
        self.shown = true;
    }

    /// Forgets what is known of another home: it may run another build.
    fn follow(&mut self, epoch: Epoch) {
        if epoch != self.epoch {
            *self = Self {
                epoch,
                ..Self::default()
            };
        }
    }
}
