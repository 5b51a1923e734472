//! What the counts of two versions say about the later one.

use super::evidence::KindEvidence;
use super::evidence::Tally;

/// The score from which on the version is bad: the chance of a higher one at a version
/// that is no worse than the old one is below 1e-5.
pub const CLEAR_SCORE: f64 = 11.5;
/// The score from which on the version is not put in force at the end.
pub const DOUBT_SCORE: f64 = 5.0;
/// The rate of bad responses that any version may have.
const USUAL_RATE: f64 = 0.015;
/// The factor by which a version may be worse than the old one.
const TOLERANCE: f64 = 1.5;
/// The bad responses that are enough with [`CLEAR_FACTOR`], whatever the score.
const BAD_MAX: u32 = 40;
/// The factor by which the rate of bad responses is then above that of the old version.
const CLEAR_FACTOR: f64 = 2.0;
/// The fewest bad responses from which anything is concluded.
const BAD_MIN: u32 = 4;

/// Returns the rate of `bad` in `total` responses that the old version is credited with.
fn baseline(bad: u32, total: u32) -> f64 {
    let rate = (f64::from(bad) + 0.5) / (f64::from(total) + 1.0);
    (rate * TOLERANCE).clamp(USUAL_RATE, 0.99)
}

/// Returns the negative logarithm of the bound of the chance that `bad` of `total`
/// responses or more are bad where the rate is `usual` (Chernoff).
fn score(bad: u32, total: u32, usual: f64) -> f64 {
    if bad < BAD_MIN || total == 0 {
        return 0.0;
    }
    let rate = f64::from(bad) / f64::from(total);
    if rate <= usual {
        return 0.0;
    }
    let good = if rate < 1.0 {
        (1.0 - rate) * ((1.0 - rate) / (1.0 - usual)).ln()
    } else {
        0.0
    };
    f64::from(total) * (rate * (rate / usual).ln() + good)
}

/// Returns the score of one kind of call: the higher one of its bad responses and of its
/// failures alone, which slow hosts do not cover up.
fn kind_score(old: &Tally, target: &Tally) -> f64 {
    let bad = target.bad().saturating_sub(target.worst);
    let failed = target.failed.saturating_sub(target.worst);
    let all = score(bad, target.total, baseline(old.bad(), old.total));
    all.max(score(failed, target.total, baseline(old.failed, old.total)))
}

/// Returns the counts of all `kinds` together.
pub fn sum(kinds: &[KindEvidence]) -> KindEvidence {
    let mut all = KindEvidence::default();
    for kind in kinds {
        all.old.add(&kind.old);
        all.target.add(&kind.target);
    }
    all
}

/// Returns the highest score of any kind, or of all together.
pub fn highest_score(kinds: &[KindEvidence]) -> f64 {
    let all = sum(kinds);
    let scores = kinds.iter().chain([&all]);
    scores
        .map(|kind| kind_score(&kind.old, &kind.target))
        .fold(0.0, f64::max)
}

/// Returns whether the version is bad beyond doubt. Many bad responses are enough, unless
/// nearly all of them come from one of several servers.
pub fn is_clear(kinds: &[KindEvidence]) -> bool {
    let all = sum(kinds);
    let rate = |tally: &Tally| (f64::from(tally.bad()) + 0.5) / (f64::from(tally.total) + 1.0);
    let usual = rate(&all.old).max(USUAL_RATE / TOLERANCE);
    let spread =
        (all.target.bad() - all.target.worst.min(all.target.bad())) * 4 >= all.target.bad();
    let many = all.target.bad() >= BAD_MAX && rate(&all.target) >= usual * CLEAR_FACTOR && spread;
    many || highest_score(kinds) >= CLEAR_SCORE
}
