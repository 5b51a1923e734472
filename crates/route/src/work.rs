//! How long servers usually work on the calls of each mapping, as one VM sees it.
//!
//! The VM sends the time with its permit requests, so that the home can tell short calls
//! from long ones. The table is bounded: the key that was recorded longest ago makes room.
//! See `docs/design/overload.md`.

use std::time::Duration;

/// Identifies calls that take about as long: those of a mapping at a service.
pub type WorkKey = u64;

/// The most keys that are kept.
const KEYS_MAX: usize = 512;
/// Weight of one call in the moving average.
const WEIGHT: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct WorkTime {
    key: WorkKey,
    secs: f64,
    /// The number of the last record, by which the oldest one is found.
    recorded: u64,
}

/// The usual times by key.
#[derive(Clone, Debug, Default)]
pub struct WorkTimes {
    /// Sorted by key.
    times: Vec<WorkTime>,
    records: u64,
}

impl WorkTimes {
    /// Returns the usual time of the calls of `key`, zero if it is not known.
    pub fn get(&self, key: WorkKey) -> Duration {
        let found = self.times.binary_search_by_key(&key, |time| time.key);
        found.map_or(Duration::ZERO, |index| {
            Duration::from_secs_f64(self.times[index].secs)
        })
    }

    /// Records a call of `key` that was served in `took`.
    pub fn record(&mut self, key: WorkKey, took: Duration) {
        self.records += 1;
        let secs = took.as_secs_f64();
        let recorded = self.records;
        match self.times.binary_search_by_key(&key, |time| time.key) {
            Ok(index) => {
                let time = &mut self.times[index];
                time.secs += (secs - time.secs) * WEIGHT;
                time.recorded = recorded;
            }
            Err(_) => self.insert(WorkTime {
                key,
                secs,
                recorded,
            }),
        }
    }

    fn insert(&mut self, time: WorkTime) {
        if self.times.len() >= KEYS_MAX {
            let recorded = |index: &usize| self.times[*index].recorded;
            let oldest = (0..self.times.len()).min_by_key(recorded);
            if let Some(index) = oldest {
                self.times.remove(index);
            }
        }
        let index = self.times.partition_point(|other| other.key < time.key);
        self.times.insert(index, time);
    }
}
