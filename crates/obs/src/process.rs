//! The resources that this process uses, and the limits under which it runs.

use rustix::process::getrlimit;
use rustix::process::Resource;

/// The limits that the system sets for this process. None stands for no limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of open descriptors.
    pub descriptors: Option<u64>,
    /// The maximum size of the address space in bytes.
    pub address_space: Option<u64>,
}

/// The memory of this process in bytes, as the system counts it against a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Memory {
    /// The resident memory.
    pub resident: u64,
    /// The most resident memory since the process started.
    pub peak: u64,
}

/// Returns the limits of this process.
pub fn limits() -> Limits {
    Limits {
        descriptors: getrlimit(Resource::Nofile).current,
        address_space: getrlimit(Resource::As).current,
    }
}

/// Returns the memory of this process; zeros if the system does not tell.
pub fn memory() -> Memory {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    Memory {
        resident: status_bytes(&status, "VmRSS:"),
        peak: status_bytes(&status, "VmHWM:"),
    }
}

/// Returns the number of open descriptors of this process; zero if the system does not
/// tell, for instance because no descriptor is left for the question.
pub fn descriptors() -> u64 {
    // The listing has a descriptor of its own.
    std::fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count().saturating_sub(1) as u64)
}

/// Returns the value of the field `name` of the text of `/proc/self/status` in bytes.
fn status_bytes(status: &str, name: &str) -> u64 {
    let field = status.lines().find_map(|line| line.strip_prefix(name));
    let kib = field.and_then(|text| text.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    kib.unwrap_or(0) << 10
}
