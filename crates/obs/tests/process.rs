//! What the process reads of itself.

use std::fs::File;
use std::thread;

#[test]
fn memory_reads_status() {
    let memory = obs::process::memory();
    assert!(memory.resident > 0, "{memory:?}");
    assert!(memory.peak >= memory.resident, "{memory:?}");
}

#[test]
fn descriptors_counts_open_files() {
    let before = obs::process::descriptors();
    let files: Vec<File> = (0..50).map(|_| File::open("/dev/null").unwrap()).collect();
    assert!(obs::process::descriptors() >= before + 50);
    drop(files);
    assert!(obs::process::limits()
        .descriptors
        .is_none_or(|limit| limit > 50));
}

#[test]
fn hook_counts_panics() {
    obs::panics::install_hook();
    let before = obs::panics::count();
    assert!(thread::spawn(|| panic!("for the test")).join().is_err());
    assert_eq!(obs::panics::count(), before + 1);
}
