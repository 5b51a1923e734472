//! The descriptors that the process counts; other tests of the same process would open some.

use std::fs::File;

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
