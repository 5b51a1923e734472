//! The administration API: the roles of its tokens, and its responses.

mod harness;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use conf::settings::Role;
use conf::settings::Token;
use harness::respond_whole;
use harness::Harness;
use harness::Scripted;
use net::Stop;

const READ_TOKEN: &str = "reader-reader-reader";
const WRITE_TOKEN: &str = "writer-writer-writer";

/// Sends one request to the administration API and returns the response.
fn send_request(to: SocketAddr, method: &str, path: &str, token: &str, body: &str) -> String {
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

fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or_default()
}

/// A VM with an administration API and one token of each role.
struct AdminHarness {
    harness: Harness,
    _server: Scripted,
    api: SocketAddr,
    token_file: std::path::PathBuf,
}

impl Drop for AdminHarness {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.token_file);
    }
}

/// Starts an administration API; `name` keeps the token files of tests apart.
fn start_admin(name: &str) -> AdminHarness {
    let server = Scripted::new(respond_whole);
    let file = std::env::temp_dir().join(format!("snipepaddle-{name}-{}", std::process::id()));
    let token = |name: &str, role, token: &str| Token {
        name: name.into(),
        role,
        token: token.into(),
    };
    let tokens = [
        token("reader", Role::Read, READ_TOKEN),
        token("writer", Role::Write, WRITE_TOKEN),
    ];
    std::fs::write(&file, serde_json::to_vec(&tokens).unwrap()).unwrap();
    let path = file.clone();
    let harness = Harness::with_settings(&[server.address], |settings| {
        settings.admin.as_mut().unwrap().file = Some(path)
    });
    let api = smol::block_on(admin::serve(&harness.node, Stop::new())).unwrap();
    let api = api.unwrap();
    AdminHarness {
        harness,
        _server: server,
        api,
        token_file: file,
    }
}

#[test]
fn request_without_a_sufficient_token_is_refused() {
    let admin = start_admin("roles");
    for path in ["/v1/status", "/metrics", "/v1/tickets", "/v1/calls"] {
        assert_eq!(status(&send_request(admin.api, "GET", path, "", "")), "401");
        assert_eq!(
            status(&send_request(
                admin.api,
                "GET",
                path,
                "wrong-wrong-wrong",
                ""
            )),
            "401"
        );
        assert_eq!(
            status(&send_request(admin.api, "GET", path, READ_TOKEN, "")),
            "200"
        );
    }
    for path in ["/v1/tickets", "/v1/domains/north/out"] {
        assert_eq!(
            status(&send_request(admin.api, "POST", path, READ_TOKEN, "{}")),
            "403"
        );
    }
    assert_eq!(
        status(&send_request(admin.api, "GET", "/healthz", "", "")),
        "200"
    );
    assert_eq!(
        status(&send_request(admin.api, "GET", "/readyz", "", "")),
        "200"
    );
}

#[test]
fn token_file_is_reloaded_without_a_restart() {
    let admin = start_admin("rotate");
    assert_eq!(
        status(&send_request(
            admin.api,
            "GET",
            "/v1/status",
            READ_TOKEN,
            ""
        )),
        "200"
    );
    let fresh = "fresh-fresh-fresh-fresh";
    let text = format!(r#"[{{"name": "reader", "role": "read", "token": "{fresh}"}}]"#);
    std::fs::write(&admin.token_file, text).unwrap();
    let later = std::time::SystemTime::now() + std::time::Duration::from_secs(5);
    let file = std::fs::File::options()
        .write(true)
        .open(&admin.token_file)
        .unwrap();
    file.set_modified(later).unwrap();
    assert_eq!(
        status(&send_request(admin.api, "GET", "/v1/status", fresh, "")),
        "200"
    );
    assert_eq!(
        status(&send_request(
            admin.api,
            "GET",
            "/v1/status",
            READ_TOKEN,
            ""
        )),
        "401"
    );
}

#[test]
fn take_out_last_domain_needs_force_and_stops_new_calls() {
    let admin = start_admin("domain");
    let refused = send_request(admin.api, "POST", "/v1/domains/north/out", WRITE_TOKEN, "");
    assert_eq!(status(&refused), "409");
    assert!(refused.contains("--force"), "{refused}");
    let unknown = send_request(
        admin.api,
        "POST",
        "/v1/domains/nowhere/out",
        WRITE_TOKEN,
        "",
    );
    assert_eq!(status(&unknown), "404");
    let out = send_request(
        admin.api,
        "POST",
        "/v1/domains/north/out?force=1",
        WRITE_TOKEN,
        "",
    );
    assert_eq!(status(&out), "200");
    assert!(out.contains("\"by\":\"writer\""), "{out}");
    let call = admin.harness.call("GET", "/", "", "");
    assert!(call.contains("no-server"), "{call}");
    let back = send_request(admin.api, "POST", "/v1/domains/north/in", WRITE_TOKEN, "");
    assert_eq!(status(&back), "200");
    let call = admin.harness.call("GET", "/", "", "");
    assert!(call.ends_with("whole"), "{call}");
}

#[test]
fn apply_invalid_ticket_lists_all_errors() {
    let admin = start_admin("ticket");
    let text = r#"{ "ticket": 2, "by": "amy", "services": [
        { "name": "T!", "match": [], "deadline": "0s", "servers": [], "colour": 1 } ] }"#;
    let answer = send_request(admin.api, "POST", "/v1/tickets", WRITE_TOKEN, text);
    assert_eq!(status(&answer), "400");
    assert!(
        answer.contains("services.0.colour: unknown field"),
        "{answer}"
    );
    let text = text.replace(", \"colour\": 1", "");
    let answer = send_request(admin.api, "POST", "/v1/tickets", WRITE_TOKEN, &text);
    for field in [
        "services[0].name",
        "services[0].match",
        "services[0].deadline",
    ] {
        assert!(answer.contains(field), "{field} is not in {answer}");
    }
}

#[test]
fn list_calls_and_traces_show_the_server_of_a_call() {
    let admin = start_admin("calls");
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let field = format!("traceparent: 00-{trace}-b7ad6b7169203331-01\r\n");
    admin.harness.call("GET", "/plans", &field, "");
    let calls = send_request(
        admin.api,
        "GET",
        &format!("/v1/calls?trace={trace}"),
        READ_TOKEN,
        "",
    );
    assert!(calls.contains("\"server\":\"s-0\""), "{calls}");
    let spans = send_request(
        admin.api,
        "GET",
        &format!("/v1/traces/{trace}"),
        READ_TOKEN,
        "",
    );
    for name in ["call", "permit", "attempt"] {
        assert!(spans.contains(&format!("\"name\":\"{name}\"")), "{spans}");
    }
    let metrics = send_request(admin.api, "GET", "/metrics", READ_TOKEN, "");
    assert!(metrics.contains("snipepaddle_calls"), "{metrics}");
    let status = send_request(admin.api, "GET", "/v1/status", READ_TOKEN, "");
    assert!(status.contains("\"home\":\"vm-1\""), "{status}");
}
