//! The exported metrics.

use std::time::Duration;

use obs::Metrics;

#[test]
fn gauge_without_labels_is_exported() {
    let metrics = Metrics::new().unwrap();
    let _gauge = metrics
        .meter()
        .u64_observable_gauge("descriptors")
        .with_description("Open descriptors")
        .with_callback(|observer| observer.observe(42, &[]))
        .build();
    let text = String::from_utf8(metrics.prometheus_text().unwrap()).unwrap();
    assert!(text.contains("# HELP snipepaddle_descriptors Open descriptors"));
    let is_value =
        |line: &str| line.starts_with("snipepaddle_descriptors") && line.ends_with(" 42");
    assert!(text.lines().any(is_value), "{text}");
}

#[test]
fn counter_with_many_labels_keeps_each() {
    let metrics = Metrics::new().unwrap();
    for i in 0..850 {
        metrics.record_call(&format!("s-{i}"), "served", "north", Duration::ZERO);
    }
    let text = String::from_utf8(metrics.prometheus_text().unwrap()).unwrap();
    let counted = text
        .lines()
        .filter(|line| line.starts_with("snipepaddle_calls"));
    assert_eq!(counted.count(), 850);
    assert!(!text.contains("overflow"));
}
