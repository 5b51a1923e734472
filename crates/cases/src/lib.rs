//! Property tests over the same generated cases on every run.
//!
//! `bolero` draws its cases from the operating system, so a rare failure would show
//! in some runs only. The cases here depend on their number alone. If the environment
//! variable `BOLERO_RANDOM_ITERATIONS` or `BOLERO_RANDOM_SEED` is set, `bolero` draws
//! the cases instead, and shrinks one that fails. See `docs/developers.md`.

use std::any::Any;
use std::fmt::Debug;
use std::panic;
use std::panic::AssertUnwindSafe;
use std::panic::RefUnwindSafe;

use bolero::generator::bolero_generator::driver::ByteSliceDriver;
use bolero::generator::bolero_generator::driver::Options;
use bolero::generator::TypeGenerator;

/// The number of bytes that a value is generated from.
const VALUE_BYTES: usize = 4096;

/// Checks `property` for `cases` slices of up to `max_len` bytes.
pub fn check_bytes(cases: u64, max_len: usize, property: impl Fn(&[u8]) + RefUnwindSafe) {
    if draws_cases() {
        bolero::check!()
            .with_iterations(iterations(cases))
            .with_max_len(max_len)
            .for_each(|bytes: &[u8]| property(bytes));
        return;
    }
    for case in 0..cases {
        let mut rng = fastrand::Rng::with_seed(case);
        let mut bytes = vec![0; rng.usize(..=max_len)];
        rng.fill(&mut bytes);
        let outcome = panic::catch_unwind(AssertUnwindSafe(|| property(&bytes)));
        report(outcome, case, &bytes);
    }
}

/// Checks `property` for `cases` values of `T`.
pub fn check<T: TypeGenerator + Debug>(cases: u64, property: impl Fn(&T) + RefUnwindSafe) {
    if draws_cases() {
        bolero::check!()
            .with_iterations(iterations(cases))
            .with_type::<T>()
            .for_each(|value: &T| property(value));
        return;
    }
    for case in 0..cases {
        let mut bytes = vec![0; VALUE_BYTES];
        fastrand::Rng::with_seed(case).fill(&mut bytes);
        let mut driver = ByteSliceDriver::new(&bytes[..], &Options::default());
        let Some(value) = T::generate(&mut driver) else {
            continue;
        };
        let outcome = panic::catch_unwind(AssertUnwindSafe(|| property(&value)));
        report(outcome, case, &value);
    }
}

/// Returns whether `bolero` draws the cases.
fn draws_cases() -> bool {
    let variables = ["BOLERO_RANDOM_ITERATIONS", "BOLERO_RANDOM_SEED"];
    variables
        .iter()
        .any(|name| std::env::var_os(name).is_some())
}

fn iterations(cases: u64) -> usize {
    usize::try_from(cases).unwrap_or(usize::MAX)
}

/// Names the case whose `outcome` is a panic, and resumes the panic.
fn report(outcome: Result<(), Box<dyn Any + Send>>, case: u64, value: &(impl Debug + ?Sized)) {
    if let Err(payload) = outcome {
        eprintln!("case {case} fails: {value:?}");
        panic::resume_unwind(payload);
    }
}
