//! Settings: which documents are rejected, and that all errors are reported at once.

use conf::bounds::Bounds;
use conf::document;
use conf::Settings;

const GOOD: &str = r#"{
  // An entry VM of Port Louis.
  "vm": "vm-1",
  "domain": "north",
  "callers": { "listen": ["127.0.0.1:8080"], "patience": "5s", "head": "32KiB" },
  "peers": {
    "listen": "127.0.0.1:7000",
    "seeds": ["127.0.0.1:7001"], # another one
    "keys": ["5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d5e0f6a7d"]
  },
  "admin": { "listen": "127.0.0.1:9100" },
  "platform": { "address": "127.0.0.1:6000" }
}"#;

fn faults(text: &str) -> String {
    Settings::parse(text).unwrap_err().to_string()
}

#[test]
fn parse_settings_with_comments() {
    let settings = Settings::parse(GOOD).unwrap();
    assert_eq!(settings.callers.head, 32 << 10);
    assert_eq!(settings.callers.patience.as_secs(), 5);
}

#[test]
fn parse_unknown_fields_are_all_reported() {
    let text = GOOD
        .replace("\"patience\"", "\"patient\"")
        .replace("\"seeds\"", "\"sedes\"");
    let faults = faults(&text);
    assert!(
        faults.contains("callers.patient: unknown field"),
        "{faults}"
    );
    assert!(faults.contains("peers.sedes: unknown field"), "{faults}");
}

#[test]
fn parse_wrong_unit_or_host_name_reports_the_field() {
    let unit = faults(&GOOD.replace("\"5s\"", "\"5 parsecs\""));
    assert!(unit.starts_with("callers.patience"), "{unit}");
    let number = faults(&GOOD.replace("\"5s\"", "5"));
    assert!(number.starts_with("callers.patience"), "{number}");
    let host = faults(&GOOD.replace("127.0.0.1:6000", "platform.example:6000"));
    assert!(host.starts_with("platform.address"), "{host}");
}

#[test]
fn check_reports_all_errors_at_once() {
    let text = GOOD
        .replace("\"vm-1\"", "\"VM 1\"")
        .replace("127.0.0.1:9100", "0.0.0.0:9100")
        .replace("5e0f6a7d\"]", "\"]")
        .replace("127.0.0.1:8080", "127.0.0.1:7000");
    let faults = faults(&text);
    for field in ["vm:", "listen:", "peers.keys[0]:", "admin.tokens:"] {
        assert!(faults.contains(field), "{field} is not in\n{faults}");
    }
}

#[test]
fn check_listen_addresses_that_are_equal_are_refused() {
    let watch = r#""watch": { "ready": "127.0.0.1:9001", "metrics": "127.0.0.1:9002" },"#;
    let text = GOOD
        .replace("\"admin\"", &format!("{watch} \"admin\""))
        .replace("\"seeds\"", "\"relay\": \"127.0.0.1:7002\", \"seeds\"");
    Settings::parse(&text).unwrap();
    for (address, field) in [
        ("7002", "peers.relay"),
        ("9001", "watch.ready"),
        ("9002", "watch.metrics"),
        ("9100", "admin.listen"),
    ] {
        let faults = faults(&text.replace(address, "8080"));
        assert_eq!(
            faults,
            format!("{field}: 127.0.0.1:8080 is also in callers.listen; write another port")
        );
        // Any number of addresses may have a free port.
        let free = text.replace(address, "0").replace(":8080", ":0");
        Settings::parse(&free).unwrap();
    }
}

#[test]
fn parse_without_administration_api() {
    let text = GOOD.replace("\"admin\": { \"listen\": \"127.0.0.1:9100\" },", "");
    assert_eq!(Settings::parse(&text).unwrap().admin, None);
}

#[test]
fn is_incomplete_for_each_text_that_is_cut_off() {
    let text = GOOD
        .replace("Port Louis.", "Port Louis. /* \u{e9} */")
        .replace(
            "\"admin\"",
            "/* the \"API\" */ \"region\": \"a\\\"b\", \"admin\"",
        );
    for (end, _) in text.char_indices() {
        assert!(document::is_incomplete(&text[..end]), "{}", &text[..end]);
    }
    let invalid = text.replace("\"vm\":", "\"vm\"");
    for complete in [text, invalid, "{}".into(), "{ / }".into(), "}".into()] {
        assert!(!document::is_incomplete(&complete), "{complete}");
    }
}

#[test]
fn check_faults_are_refused_outside_of_loopback() {
    let cut = "\"vm\": \"vm-1\", \"faults\": { \"cut\": \"/tmp/cut\" },";
    let text = GOOD.replace("\"vm\": \"vm-1\",", cut);
    assert!(Settings::parse(&text).is_ok());
    let faults = faults(&text.replace("127.0.0.1:8080", "10.0.0.1:8080"));
    assert!(faults.contains("faults: are for tests"), "{faults}");
}

#[test]
fn parse_duplicate_field_is_refused() {
    let text = GOOD.replace("\"vm\": \"vm-1\",", "\"vm\": \"vm-1\", \"vm\": \"vm-2\",");
    assert!(faults(&text).contains("duplicate field"));
}

#[test]
fn parse_any_text_without_panic() {
    cases::check_bytes(3000, 4096, |bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes);
        let _ = Settings::parse(&text);
        let _ = conf::document::parse::<conf::Ticket>(&text);
    });
}

#[test]
fn millicores_is_the_lower_of_cores_and_link() {
    let millicores = |text: &str| {
        let text = GOOD.replacen("\"vm\"", &format!("\"capacity\": {text}, \"vm\""), 1);
        Settings::parse(&text).map(|settings| settings.capacity.millicores())
    };
    assert_eq!(millicores(r#"{ "cores": 0.1, "link": 10.0 }"#), Ok(100));
    assert_eq!(millicores(r#"{ "cores": 0.5, "link": 10 }"#), Ok(200));
    assert_eq!(millicores(r#"{ "cores": 0.2, "link": 1000.0 }"#), Ok(200));
    assert!(millicores(r#"{ "cores": 0.0, "link": 1000.0 }"#).is_err());
}

#[test]
fn parse_bounds_without_figures_states_none() {
    let bounds: Bounds = "teams=,quotas=::,rollouts=::".parse().unwrap();
    assert_eq!(bounds, Bounds::default());
    assert_eq!("".parse(), Ok(Bounds::default()));
}

#[test]
fn parse_bounds_with_figures_override_the_settings() {
    let bounds: Bounds = "teams=5,quotas=5:0.1:20,rollouts=0.1:50:2.5"
        .parse()
        .unwrap();
    let settings = bounds.apply(Settings::parse(GOOD).unwrap());
    assert!(settings.teams);
    let quotas = settings.quotas.unwrap();
    assert_eq!(quotas.window, std::time::Duration::from_secs(5));
    assert_eq!((quotas.excess, quotas.slack), (0.1, 20));
    let rollouts = settings.rollouts.unwrap();
    assert_eq!((rollouts.share, rollouts.slack), (0.1, 50));
    assert_eq!(rollouts.rollback, std::time::Duration::from_millis(2500));
    assert!(Settings::parse(GOOD).unwrap().quotas.is_none());
}

#[test]
fn parse_bounds_that_are_wrong_names_the_remedy() {
    for (text, remedy) in [
        ("quotas", "write NAME=FIGURES"),
        ("limits=3", "write teams, quotas or rollouts"),
        ("quotas=5:x:20", "write WINDOW:EXCESS:SLACK"),
        ("quotas=5:0.1", "write WINDOW:EXCESS:SLACK"),
        ("quotas=-5:0.1:20", "write WINDOW:EXCESS:SLACK"),
        ("rollouts=0.1", "write SHARE:SLACK:ROLLBACK"),
    ] {
        let error = text.parse::<Bounds>().unwrap_err().to_string();
        assert!(error.ends_with(remedy), "{text}: {error}");
    }
}

#[test]
fn check_teams_need_the_registry() {
    let mut settings = Settings::parse(GOOD).unwrap();
    settings.teams = true;
    let errors = settings.check().unwrap_err().to_string();
    assert!(errors.starts_with("teams: "), "{errors}");
    settings.platform.interface = conf::settings::Interface::Registry;
    assert!(!settings
        .check()
        .is_err_and(|errors| errors.to_string().contains("teams: ")));
}

#[test]
fn check_quotas_out_of_range_are_refused() {
    let with =
        |quotas: &str| GOOD.replace("\"admin\"", &format!("\"quotas\": {quotas}, \"admin\""));
    let text = with(r#"{ "window": "5s", "excess": 0.1, "slack": 20 }"#);
    let quotas = Settings::parse(&text).unwrap().quotas.unwrap();
    assert_eq!(quotas.window.as_secs(), 5);
    assert_eq!(quotas.slack, 20);
    let wrong = faults(&with(r#"{ "window": "10ms", "excess": 2.0, "slack": 20 }"#));
    assert!(wrong.contains("quotas.window:"), "{wrong}");
    assert!(wrong.contains("quotas.excess:"), "{wrong}");
    let wrong = faults(&with(
        r#"{ "window": "3601s", "excess": 0.1, "slack": 20 }"#,
    ));
    assert!(wrong.contains("quotas.window: more than 1h"), "{wrong}");
    let hour = with(r#"{ "window": "1h", "excess": 0.1, "slack": 20 }"#);
    Settings::parse(&hour).unwrap().check().unwrap();
}
