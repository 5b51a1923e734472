//! A budget of second attempts as a share of first ones, for the whole fleet.

/// Attempts that may be made at once after a quiet time.
const BURST: f64 = 10.0;

/// A budget.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u32,
    tokens: f64,
}

impl Budget {
    /// Makes a full budget of `percent` attempts per hundred first ones.
    pub fn new(percent: u32) -> Self {
        let tokens = if percent == 0 { 0.0 } else { BURST };
        Self { percent, tokens }
    }

    /// Changes the share, keeping what has been saved.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
        if percent == 0 {
            self.tokens = 0.0;
        }
    }

    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + f64::from(self.percent) / 100.0).min(BURST);
    }

    /// Returns whether a second attempt may be made.
    pub fn allows(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one second attempt; returns whether it may be made.
    pub fn spend(&mut self) -> bool {
        let allowed = self.allows();
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
