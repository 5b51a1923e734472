//! The command `layout` with the files of the documentation.

use std::process::Command;
use std::process::Output;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operate/example");

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_snipepaddle"))
        .current_dir(EXAMPLES)
        .arg("layout")
        .args(args)
        .output()
        .unwrap()
}

#[test]
fn layout_exit_code_is_that_of_the_gravest_finding() {
    let code = |args: &[&str]| run(args).status.code();
    assert_eq!(code(&["layout-1.json"]), Some(0));
    let next = ["layout-2.json", "--in-force", "layout-1.json"];
    assert_eq!(code(&next), Some(1));
    let back = ["layout-1.json", "--in-force", "layout-2.json"];
    assert_eq!(code(&back), Some(2));
    assert_eq!(code(&["ticket-1.json"]), Some(2));
}

#[test]
fn layout_output_names_changes_and_no_key() {
    let output = run(&["layout-2.json", "--in-force", "layout-1.json"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("timeout: 2s -> 1s"), "{text}");
    assert!(text.contains("1 keys taken away"), "{text}");
    assert!(text.contains("rate: 50 -> 40"), "{text}");
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(!text.contains("example-key") && !errors.contains("example-key"));
}
