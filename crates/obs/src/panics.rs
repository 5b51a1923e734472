//! A panic hook that logs and counts panics.

use std::panic;
use std::panic::PanicHookInfo;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

static COUNT: AtomicU64 = AtomicU64::new(0);

/// Logs and counts each panic from now on. The text on standard error stays as it is.
pub fn install_hook() {
    let previous = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        COUNT.fetch_add(1, Ordering::Relaxed);
        log_panic(info);
        previous(info);
    }));
}

/// Returns the number of panics since the hook was installed.
pub fn count() -> u64 {
    COUNT.load(Ordering::Relaxed)
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let payload = info.payload();
    let message = payload
        .downcast_ref::<&str>()
        .copied()
        .or_else(|| payload.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("a value that is not text");
    let location = info.location().map(ToString::to_string).unwrap_or_default();
    let current = thread::current();
    let thread = current.name().unwrap_or("unnamed");
    log::error!(thread = thread, location = location.as_str(); "panic: {message}");
}
