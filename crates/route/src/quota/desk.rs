//! The tokens of one VM: what it asks the home for, and what it holds.

use std::collections::VecDeque;
use std::time::Duration;

use base::TeamId;
use base::Time;
use base::VmId;

use crate::quota::AskId;
use crate::quota::Lane;
use crate::quota::ASK_LIMIT;
use crate::quota::GIVE_BACK_LIMIT;
use crate::quota::HOLD;
use crate::quota::LANES;

/// The time over which the demand of a team is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// The most tokens that are asked for ahead.
const EXTRA_MAX: f64 = 8.0;
/// For how long calls are refused unasked after the home has refused one.
const CLOSED_MAX: Duration = Duration::from_millis(100);
/// When a team without calls is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// For how long a lane whose home did not answer is asked second.
const SILENT_TIME: Duration = Duration::from_millis(500);
/// The longest delay that a home names. A message with a longer one is broken.
const RETRY_MAX: Duration = Duration::from_secs(60);
/// The most asks at once. Beyond it calls are refused.
const ASKS_MAX: usize = 4096;
/// How long after an ask a grant that is not used is given back. The home accepts no later one.
const FINISHED_TIME: Duration = ASK_LIMIT.saturating_add(GIVE_BACK_LIMIT);

/// The right to run one call of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// The team.
    pub team: TeamId,
    /// The ask that was granted.
    pub ask: AskId,
    /// The VM that granted it.
    pub home: VmId,
    /// The lane that it belongs to.
    pub lane: Lane,
    /// When the token was taken.
    pub at: Time,
    /// When a token that was granted ahead lapses; `None` for others.
    pub until: Option<Time>,
}

/// The result of taking a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// The call may run.
    Now(Token),
    /// There will be a token after this time.
    Refused(Duration),
    /// A home has to answer first.
    Wait(AskId),
}

/// What follows from a home's refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The other home is to be asked.
    AskOther,
    /// The answer of the other home is awaited, or no call waits any more.
    Nothing,
    /// There will be a token after this time.
    Refused(Duration),
}

/// What follows from a home's grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Granted {
    /// The call that asked may run.
    Token(Token),
    /// No call uses the token, and the home is to be told.
    GiveBack,
    /// The token is in use, was given back before, or lapses.
    Nothing,
}

/// An ask that is over, whose later grants are given back.
#[derive(Clone, Copy, Debug)]
struct Finished {
    ask: AskId,
    at: Time,
    /// The lanes whose tokens were used or given back.
    settled: [bool; LANES],
}

/// An ask that has no answer yet.
#[derive(Clone, Copy, Debug)]
struct Ask {
    ask: AskId,
    team: TeamId,
    extra: u32,
    at: Time,
    /// The lane whose home was asked last.
    lane: usize,
    /// The lanes whose homes were asked, and the refusals of those.
    asked: [bool; LANES],
    refused: [Option<Duration>; LANES],
}

/// What the VM knows of a team.
#[derive(Clone, Copy, Debug)]
struct Entry {
    team: TeamId,
    /// Tokens that were granted ahead, all by one ask.
    tokens: u32,
    until: Time,
    ask: AskId,
    home: VmId,
    lane: Lane,
    /// When a home will have a token, if it refused one.
    retry_at: Time,
    /// Until when calls are refused unasked.
    closed_until: Time,
    /// Calls per second.
    demand: f64,
    seen: Time,
}

/// The tokens of one VM.
#[derive(Clone, Debug)]
pub struct Desk {
    /// Sorted by team.
    entries: Vec<Entry>,
    /// Sorted by number.
    asks: Vec<Ask>,
    /// The asks that ended a moment ago.
    finished: VecDeque<Finished>,
    next: AskId,
    /// Until when each lane is asked second.
    silent_until: [Time; LANES],
}

impl Desk {
    /// Creates the desk of a process, whose asks have the numbers from `first` on.
    pub fn new(first: AskId) -> Self {
        Self {
            entries: Vec::new(),
            asks: Vec::new(),
            finished: VecDeque::new(),
            next: first,
            silent_until: [Time::ZERO; LANES],
        }
    }

    /// Takes a token of `team` for a call.
    pub fn take(&mut self, team: TeamId, now: Time) -> Taken {
        let entry = self.entry(team, now);
        entry.count_call(now);
        if entry.tokens > 0 && now < entry.until {
            entry.tokens -= 1;
            return Taken::Now(Token {
                team,
                ask: entry.ask,
                home: entry.home,
                lane: entry.lane,
                at: now,
                until: Some(entry.until),
            });
        }
        if now < entry.closed_until {
            return Taken::Refused(entry.retry_at.saturating_sub(now));
        }
        let extra = (entry.demand * HOLD.as_secs_f64()).min(EXTRA_MAX) as u32;
        if self.asks.len() >= ASKS_MAX {
            return Taken::Refused(ASK_LIMIT);
        }
        let ask = self.next;
        self.next = self.next.wrapping_add(1);
        let lane = self.first_lane(ask, now);
        let mut asked = [false; LANES];
        asked[lane] = true;
        self.asks.push(Ask {
            ask,
            team,
            extra,
            at: now,
            lane,
            asked,
            refused: [None; LANES],
        });
        Taken::Wait(ask)
    }

    /// Returns the lane of an ask without an answer, the team, and how many tokens it asks
    /// for ahead.
    pub fn pending(&self, ask: AskId) -> Option<(Lane, TeamId, u32)> {
        let found = self.asks.iter().find(|pending| pending.ask == ask)?;
        Some((found.lane as Lane, found.team, found.extra))
    }

    /// Turns an ask that got no answer to the other lane. Returns the lane that is silent;
    /// `None` if no call waits any more.
    pub fn turn(&mut self, ask: AskId, now: Time) -> Option<Lane> {
        let found = self.asks.iter_mut().find(|pending| pending.ask == ask)?;
        let silent = found.lane;
        found.turn();
        self.silent_until[silent] = now + SILENT_TIME;
        Some(silent as Lane)
    }

    /// Records a grant of the VM `home` from a lane. A second grant for an ask, or one that
    /// is too late for the call, is given back once.
    pub fn granted(
        &mut self,
        (home, lane): (VmId, Lane),
        ask: AskId,
        mut extra: u32,
        now: Time,
    ) -> Granted {
        let index = usize::from(lane);
        let Some(asked) = self.remove(ask).filter(|_| index < LANES) else {
            return self.settle(index, ask, now);
        };
        let team = asked.team;
        let until = asked.at + HOLD;
        // The call no longer waits; its token is as good as one that was granted ahead only
        // if the home counts it so, which it does not.
        let token = (now < asked.at + ASK_LIMIT).then_some(Token {
            team,
            ask,
            home,
            lane,
            at: now,
            until: None,
        });
        extra = extra.min(asked.extra);
        let entry = self.entry(team, now);
        entry.closed_until = Time::ZERO;
        if extra > 0 && now < until {
            entry.tokens = extra;
            entry.until = until;
            entry.ask = ask;
            entry.home = home;
            entry.lane = lane;
        }
        match token {
            Some(token) => {
                self.settle(index, ask, now);
                Granted::Token(token)
            }
            None => self.settle(index, ask, now),
        }
    }

    /// Marks the token of a lane for a finished ask as used or given back, and returns
    /// whether it still has to be given back if it isn't used.
    fn settle(&mut self, lane: usize, ask: AskId, now: Time) -> Granted {
        let mut finished = self.finished.iter_mut();
        let found = finished.find(|finished| finished.ask == ask);
        let Some(found) = found.filter(|found| lane < LANES && now < found.at + FINISHED_TIME)
        else {
            return Granted::Nothing;
        };
        if std::mem::replace(&mut found.settled[lane], true) {
            Granted::Nothing
        } else {
            Granted::GiveBack
        }
    }

    /// Records that the home of `lane` has no token for an ask until `retry_after` has passed.
    pub fn denied(&mut self, lane: Lane, ask: AskId, retry_after: Duration, now: Time) -> Denied {
        let found = self.asks.iter_mut().find(|pending| pending.ask == ask);
        let Some(asked) = found.filter(|_| usize::from(lane) < LANES) else {
            return Denied::Nothing;
        };
        let retry_after = retry_after.min(RETRY_MAX);
        asked.refused[usize::from(lane)] = Some(retry_after);
        if !asked.asked.iter().all(|asked| *asked) {
            asked.turn();
            return Denied::AskOther;
        }
        if asked.refused.iter().any(Option::is_none) {
            return Denied::Nothing;
        }
        let retry_after = asked.retry_after().unwrap_or(retry_after);
        let team = asked.team;
        self.remove(ask);
        let entry = self.entry(team, now);
        entry.retry_at = now + retry_after;
        entry.closed_until = now + retry_after.min(CLOSED_MAX);
        Denied::Refused(retry_after)
    }

    /// Gives up an ask whose call no longer waits. Returns the delay that a home named.
    pub fn give_up(&mut self, ask: AskId) -> Option<Duration> {
        self.remove(ask)?.retry_after()
    }

    /// Takes a token back whose call certainly did not run. Returns the home that has to be
    /// told; `None` if nobody has.
    pub fn give_back(&mut self, token: Token, now: Time) -> Option<VmId> {
        let Some(until) = token.until else {
            return (now < token.at + GIVE_BACK_LIMIT).then_some(token.home);
        };
        let entry = self.entry(token.team, now);
        if entry.ask == token.ask && entry.until == until {
            entry.tokens += 1;
        }
        None
    }

    /// Drops all tokens, after a pause.
    pub fn drop_tokens(&mut self) {
        for entry in &mut self.entries {
            entry.tokens = 0;
        }
    }

    /// Forgets asks that nobody waits for and teams without calls.
    pub fn tick(&mut self, now: Time) {
        self.asks.retain(|ask| now < ask.at + ASK_LIMIT * 2);
        self.finished
            .retain(|finished| now < finished.at + FINISHED_TIME);
        self.entries.retain(|entry| now < entry.seen + IDLE_TIME);
    }

    /// Returns the lane to ask first: each in turn, or the one whose home answers.
    fn first_lane(&self, ask: AskId, now: Time) -> usize {
        let lane = (ask % LANES as AskId) as usize;
        let other = (lane + 1) % LANES;
        let is_silent = |lane: usize| now < self.silent_until[lane];
        if is_silent(lane) && !is_silent(other) {
            other
        } else {
            lane
        }
    }

    fn remove(&mut self, ask: AskId) -> Option<Ask> {
        let index = self.asks.iter().position(|pending| pending.ask == ask)?;
        let asked = self.asks.remove(index);
        if self.finished.len() >= ASKS_MAX {
            self.finished.pop_front();
        }
        self.finished.push_back(Finished {
            ask,
            at: asked.at,
            settled: [false; LANES],
        });
        Some(asked)
    }

    fn entry(&mut self, team: TeamId, now: Time) -> &mut Entry {
        let found = self.entries.binary_search_by_key(&team, |entry| entry.team);
        let index = found.unwrap_or_else(|index| {
            self.entries.insert(index, Entry::new(team, now));
            index
        });
        &mut self.entries[index]
    }
}

impl Ask {
    fn turn(&mut self) {
        self.lane = (self.lane + 1) % LANES;
        self.asked[self.lane] = true;
    }

    /// Returns the shortest delay that a home named.
    fn retry_after(&self) -> Option<Duration> {
        self.refused.iter().flatten().min().copied()
    }
}

impl Entry {
    fn new(team: TeamId, now: Time) -> Self {
        Self {
            team,
            tokens: 0,
            until: Time::ZERO,
            ask: 0,
            home: 0,
            lane: 0,
            retry_at: Time::ZERO,
            closed_until: Time::ZERO,
            demand: 0.0,
            seen: now,
        }
    }

    fn count_call(&mut self, now: Time) {
        let gap = now.saturating_sub(self.seen).as_secs_f64();
        let time = DEMAND_TIME.as_secs_f64();
        self.demand = self.demand * (-gap / time).exp() + 1.0 / time;
        self.seen = now;
    }
}
