//! The administration API: who may do what, and what it answers.

mod harness;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use conf::settings::Role;
use conf::settings::Token;
use harness::whole;
use harness::Harness;
use harness::Scripted;
use net::Stop;

const READ: &str = "reader-reader-reader";
const WRITE: &str = "writer-writer-writer";

fn ask(to: SocketAddr, method: &str, path: &str, token: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(to).unwrap();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         authorization: Bearer {token}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or_default()
}

struct Desk {
    harness: Harness,
    _server: Scripted,
    api: SocketAddr,
    file: std::path::PathBuf,
}

impl Drop for Desk {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

fn desk(name: &str) -> Desk {
    let server = Scripted::new(whole);
    let file = std::env::temp_dir().join(format!("snipepaddle-{name}-{}", std::process::id()));
    let token = |name: &str, role, token: &str| Token {
        name: name.into(),
        role,
        token: token.into(),
    };
    let tokens = [
        token("reader", Role::Read, READ),
        token("writer", Role::Write, WRITE),
    ];
    std::fs::write(&file, serde_json::to_vec(&tokens).unwrap()).unwrap();
    let path = file.clone();
    let harness = Harness::with_settings(&[server.address], |settings| {
        settings.admin.file = Some(path)
    });
    let api = smol::block_on(admin::serve(&harness.node, Stop::new())).unwrap();
    Desk {
        harness,
        _server: server,
        api,
        file,
    }
}

#[test]
fn caller_without_or_with_too_weak_a_token_is_refused() {
    let desk = desk("roles");
    for path in ["/v1/status", "/metrics", "/v1/tickets", "/v1/calls"] {
        assert_eq!(status(&ask(desk.api, "GET", path, "", "")), "401");
        assert_eq!(
            status(&ask(desk.api, "GET", path, "wrong-wrong-wrong", "")),
            "401"
        );
        assert_eq!(status(&ask(desk.api, "GET", path, READ, "")), "200");
    }
    for path in ["/v1/tickets", "/v1/domains/north/out"] {
        assert_eq!(status(&ask(desk.api, "POST", path, READ, "{}")), "403");
    }
    assert_eq!(status(&ask(desk.api, "GET", "/healthz", "", "")), "200");
    assert_eq!(status(&ask(desk.api, "GET", "/readyz", "", "")), "200");
}

#[test]
fn caller_tokens_are_replaced_without_a_restart() {
    let desk = desk("rotate");
    assert_eq!(status(&ask(desk.api, "GET", "/v1/status", READ, "")), "200");
    let fresh = "fresh-fresh-fresh-fresh";
    let text = format!(r#"[{{"name": "reader", "role": "read", "token": "{fresh}"}}]"#);
    std::fs::write(&desk.file, text).unwrap();
    let later = std::time::SystemTime::now() + std::time::Duration::from_secs(5);
    let file = std::fs::File::options()
        .write(true)
        .open(&desk.file)
        .unwrap();
    file.set_modified(later).unwrap();
    assert_eq!(
        status(&ask(desk.api, "GET", "/v1/status", fresh, "")),
        "200"
    );
    assert_eq!(status(&ask(desk.api, "GET", "/v1/status", READ, "")), "401");
}

#[test]
fn order_last_domain_needs_force_and_stops_new_work() {
    let desk = desk("domain");
    let refused = ask(desk.api, "POST", "/v1/domains/north/out", WRITE, "");
    assert_eq!(status(&refused), "409");
    assert!(refused.contains("--force"), "{refused}");
    let unknown = ask(desk.api, "POST", "/v1/domains/nowhere/out", WRITE, "");
    assert_eq!(status(&unknown), "404");
    let out = ask(desk.api, "POST", "/v1/domains/north/out?force=1", WRITE, "");
    assert_eq!(status(&out), "200");
    assert!(out.contains("\"by\":\"writer\""), "{out}");
    let call = desk.harness.call("GET", "/", "", "");
    assert!(call.contains("no-server"), "{call}");
    let back = ask(desk.api, "POST", "/v1/domains/north/in", WRITE, "");
    assert_eq!(status(&back), "200");
    let call = desk.harness.call("GET", "/", "", "");
    assert!(call.ends_with("whole"), "{call}");
}

#[test]
fn apply_faulty_ticket_lists_all_faults() {
    let desk = desk("ticket");
    let text = r#"{ "ticket": 2, "by": "amy", "services": [
        { "name": "T!", "match": [], "deadline": "0s", "servers": [], "colour": 1 } ] }"#;
    let answer = ask(desk.api, "POST", "/v1/tickets", WRITE, text);
    assert_eq!(status(&answer), "400");
    assert!(
        answer.contains("services.0.colour: unknown field"),
        "{answer}"
    );
    let text = text.replace(", \"colour\": 1", "");
    let answer = ask(desk.api, "POST", "/v1/tickets", WRITE, &text);
    for field in [
        "services[0].name",
        "services[0].match",
        "services[0].deadline",
    ] {
        assert!(answer.contains(field), "{field} is not in {answer}");
    }
}

#[test]
fn look_calls_and_traces_show_where_a_call_was_served() {
    let desk = desk("calls");
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let field = format!("traceparent: 00-{trace}-b7ad6b7169203331-01\r\n");
    desk.harness.call("GET", "/plans", &field, "");
    let calls = ask(
        desk.api,
        "GET",
        &format!("/v1/calls?trace={trace}"),
        READ,
        "",
    );
    assert!(calls.contains("\"server\":\"s-0\""), "{calls}");
    let spans = ask(desk.api, "GET", &format!("/v1/traces/{trace}"), READ, "");
    for name in ["call", "permit", "attempt"] {
        assert!(spans.contains(&format!("\"name\":\"{name}\"")), "{spans}");
    }
    let metrics = ask(desk.api, "GET", "/metrics", READ, "");
    assert!(metrics.contains("snipepaddle_calls"), "{metrics}");
    let status = ask(desk.api, "GET", "/v1/status", READ, "");
    assert!(status.contains("\"home\":\"vm-1\""), "{status}");
}
