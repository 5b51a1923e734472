//! The memory that the process reads of itself.

#[test]
fn memory_reads_status() {
    let memory = obs::process::memory();
    assert!(memory.resident > 0, "{memory:?}");
    assert!(memory.peak >= memory.resident, "{memory:?}");
}
