//! The panics that the process counts, those of other tests of the same process included.

use std::thread;

#[test]
fn hook_counts_panics() {
    obs::panics::install_hook();
    let before = obs::panics::count();
    assert!(thread::spawn(|| panic!("for the test")).join().is_err());
    assert_eq!(obs::panics::count(), before + 1);
}
