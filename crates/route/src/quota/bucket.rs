//! The bucket of one team's tokens at the home.

use std::collections::VecDeque;
use std::time::Duration;

use base::Time;

use crate::quota::Limit;
use crate::quota::Terms;
use crate::quota::HOLD;

/// The retry delay while nothing flows in: a home that holds no part yet gets some soon.
const DRY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// How far ahead refused calls are spread. Most calls of a flood never return, so without an
/// end each of them would put all later ones off.
const PROMISE_MAX: Duration = Duration::from_secs(3);
/// The share of the stock that may be granted ahead at once.
const AHEAD_SHARE: f64 = 0.125;
/// The share of the stock below which nothing is granted ahead.
const AHEAD_LEVEL: f64 = 0.5;

/// What the parts of a home give to each bucket.
#[derive(Clone, Copy, Debug)]
pub struct Inflow {
    /// The sum of the shares.
    pub share: f64,
    /// Shares times seconds since the home's start.
    pub flow: f64,
    /// The sum of the shares of credits that the home may use now.
    pub credit: f64,
}

/// The bucket of one team's tokens.
///
/// The tokens in it and those granted ahead are together at most its share of the stock.
#[derive(Clone, Debug)]
pub struct Bucket {
    limit: Limit,
    stock: f64,
    /// The credit of all VMs together, and how much of it has been used.
    credit: f64,
    credit_used: f64,
    tokens: f64,
    flow: f64,
    /// Tokens that were granted ahead, with the time at which they lapse.
    ahead: VecDeque<(Time, f64)>,
    /// When the last of the calls that were refused was told to return.
    promised: Time,
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn new(limit: Limit, terms: &Terms, inflow: Inflow) -> Self {
        Self {
            limit,
            stock: limit.stock(terms),
            credit: limit.credit(terms),
            credit_used: 0.0,
            tokens: 0.0,
            flow: inflow.flow,
            ahead: VecDeque::new(),
            promised: Time::ZERO,
        }
    }

    /// Returns the limit.
    pub fn limit(&self) -> &Limit {
        &self.limit
    }

    /// Replaces the limit, at once.
    pub fn set_limit(&mut self, limit: Limit, terms: &Terms, inflow: Inflow, now: Time) {
        self.fill(inflow, now);
        self.limit = limit;
        self.stock = limit.stock(terms);
        self.credit = limit.credit(terms);
        self.promised = now;
        self.fill(inflow, now);
    }

    /// Adds what has flowed in since the last time, up to the cap. Has to be called before
    /// the shares become smaller and after it.
    pub fn fill(&mut self, inflow: Inflow, now: Time) {
        while self.ahead.front().is_some_and(|(until, _)| *until <= now) {
            self.ahead.pop_front();
        }
        self.tokens += self.limit.rate * (inflow.flow - self.flow).max(0.0);
        self.flow = inflow.flow;
        self.tokens = self.tokens.min(self.cap(inflow.share));
    }

    /// Fills the bucket of a limit that has just come into force. Its team may have been
    /// without one before, so nothing of the stock has been used.
    pub fn fill_up(&mut self, inflow: Inflow) {
        self.tokens = self.cap(inflow.share);
    }

    /// Puts back `amount` of a token that was not used. Returns what there is no room for.
    pub fn put_back(&mut self, amount: f64, inflow: Inflow, now: Time) -> f64 {
        self.fill(inflow, now);
        let room = (self.cap(inflow.share) - self.tokens).max(0.0);
        let put = amount.min(room);
        self.tokens += put;
        amount - put
    }

    /// Takes a token, and up to `extra` ones that are granted ahead; returns how many of
    /// these, or when there will be a token.
    pub fn take(&mut self, extra: u32, inflow: Inflow, now: Time) -> Result<u32, Duration> {
        self.take_with(None, extra, inflow, now)
    }

    /// Takes as [`Self::take`] does; what this bucket lacks of the token comes out of `other`,
    /// the bucket of the other lane at the same home.
    pub fn take_with(
        &mut self,
        mut other: Option<(&mut Self, Inflow)>,
        extra: u32,
        inflow: Inflow,
        now: Time,
    ) -> Result<u32, Duration> {
        self.fill(inflow, now);
        let (mut tokens, mut share) = (self.tokens, inflow.share);
        let mut usable = tokens + self.credit_left(inflow);
        if let Some((other, inflow)) = &mut other {
            other.fill(*inflow, now);
            tokens += other.tokens;
            share += inflow.share;
            usable += other.tokens + other.credit_left(*inflow);
        }
        if usable < 1.0 {
            return Err(self.promise(tokens, share, now));
        }
        let lacking = self.withdraw(1.0, inflow);
        if let Some((other, inflow)) = other {
            other.withdraw(lacking, inflow);
        }
        let stock = self.stock * inflow.share;
        if extra == 0 || self.tokens < stock * AHEAD_LEVEL {
            return Ok(0);
        }
        let granted = extra.min((stock * AHEAD_SHARE) as u32);
        if granted > 0 {
            self.tokens -= f64::from(granted);
            self.ahead.push_back((now + HOLD, f64::from(granted)));
        }
        Ok(granted)
    }

    fn credit_left(&self, inflow: Inflow) -> f64 {
        (self.credit * inflow.credit - self.credit_used).max(0.0)
    }

    /// Takes up to `amount` out of the credit and the tokens. Returns what is lacking.
    fn withdraw(&mut self, amount: f64, inflow: Inflow) -> f64 {
        // The credit lapses, and what flows in does not.
        let borrowed = self.credit_left(inflow).min(amount);
        self.credit_used += borrowed;
        let taken = self.tokens.min(amount - borrowed);
        self.tokens -= taken;
        amount - borrowed - taken
    }

    fn cap(&self, share: f64) -> f64 {
        let ahead: f64 = self.ahead.iter().map(|(_, tokens)| tokens).sum();
        (self.stock * share - ahead).max(0.0)
    }

    /// Returns when the next token will be there that no refused call was told of, or after
    /// [`PROMISE_MAX`] if that is earlier and there will be any token by then.
    fn promise(&mut self, tokens: f64, share: f64, now: Time) -> Duration {
        let rate = self.limit.rate * share;
        if rate <= 0.0 {
            return DRY_RETRY_AFTER;
        }
        let step = |tokens: f64| Duration::from_secs_f64((tokens / rate).min(60.0));
        let next = now + step(1.0 - tokens);
        let later = (self.promised + step(1.0)).min(now + PROMISE_MAX);
        self.promised = next.max(later);
        self.promised - now
    }
}
