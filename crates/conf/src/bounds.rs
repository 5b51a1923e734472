//! The bounds of a deployment, as the command line of a daemon states them.
//!
//! A platform that starts daemons can fill its figures into their command line, where a
//! figure that the deployment lacks leaves an empty text. Settings can't say that a section
//! is absent in the same way. See `docs/operate/settings.md`.

use std::str::FromStr;
use std::time::Duration;

use crate::settings::Quotas;
use crate::settings::Rollouts;
use crate::Settings;

/// Separates the bounds.
const BOUND_SEPARATOR: char = ',';
/// Separates the figures of one bound.
const FIGURE_SEPARATOR: char = ':';

/// The bounds of a deployment, which take precedence over those in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bounds {
    /// Whether the deployment has teams, see [`Settings::teams`].
    pub teams: bool,
    /// The tolerance within which quotas are kept; `None` if it is not stated.
    pub quotas: Option<Quotas>,
    /// The limits of roll-outs; `None` if they are not stated.
    pub rollouts: Option<Rollouts>,
}

/// Why the text is no list of bounds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BoundsError {
    /// A part of the list has no name.
    #[error("{0:?} has no name; write NAME=FIGURES")]
    NoName(String),
    /// No bound has this name.
    #[error("there is no bound {0:?}; write teams, quotas or rollouts")]
    Unknown(String),
    /// The figures are too few, too many or no numbers.
    #[error("{0:?} are not the figures of {1}; write {2}")]
    Figures(String, &'static str, &'static str),
}

impl Bounds {
    /// Returns `settings` with these bounds.
    pub fn apply(&self, mut settings: Settings) -> Settings {
        settings.teams |= self.teams;
        settings.quotas = self.quotas.or(settings.quotas);
        settings.rollouts = self.rollouts.or(settings.rollouts);
        settings
    }
}

impl FromStr for Bounds {
    type Err = BoundsError;

    /// Parses a list such as `teams=5,quotas=5:0.1:20`. A bound without any figure counts
    /// as not stated.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bounds = Self::default();
        for part in text.split(BOUND_SEPARATOR).filter(|part| !part.is_empty()) {
            let (name, figures) = part
                .split_once('=')
                .ok_or_else(|| BoundsError::NoName(part.into()))?;
            let is_stated = figures.chars().any(|c| c != FIGURE_SEPARATOR);
            match name {
                "teams" => bounds.teams = is_stated,
                "quotas" if is_stated => bounds.quotas = Some(parse_quotas(figures)?),
                "rollouts" if is_stated => bounds.rollouts = Some(parse_rollouts(figures)?),
                "quotas" | "rollouts" => {}
                other => return Err(BoundsError::Unknown(other.into())),
            }
        }
        Ok(bounds)
    }
}

fn parse_quotas(text: &str) -> Result<Quotas, BoundsError> {
    let error = || BoundsError::Figures(text.into(), "quotas", "WINDOW:EXCESS:SLACK");
    let [window, excess, slack] = parse_figures(text).ok_or_else(error)?;
    Ok(Quotas {
        window: Duration::try_from_secs_f64(window).map_err(|_| error())?,
        excess,
        slack: slack as u32,
    })
}

fn parse_rollouts(text: &str) -> Result<Rollouts, BoundsError> {
    let error = || BoundsError::Figures(text.into(), "rollouts", "SHARE:SLACK:ROLLBACK");
    let [share, slack, rollback] = parse_figures(text).ok_or_else(error)?;
    Ok(Rollouts {
        share,
        slack: slack as u32,
        rollback: Duration::try_from_secs_f64(rollback).map_err(|_| error())?,
    })
}

/// Returns the figures of a bound that has three.
fn parse_figures(text: &str) -> Option<[f64; 3]> {
    let figures: Result<Vec<f64>, _> = text.split(FIGURE_SEPARATOR).map(str::parse).collect();
    <[f64; 3]>::try_from(figures.ok()?).ok()
}
