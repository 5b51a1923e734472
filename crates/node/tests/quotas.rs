//! Quotas over running VMs that exchange datagrams on the loopback interface.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use base::revisions::Era;
use base::Revision;
use conf::registry::EntryValue;
use conf::registry::Page;
use conf::registry::RegistryEntry;
use conf::registry::Topic;
use conf::team::Quota;
use conf::Layout;
use conf::Registry;
use conf::RolloutState;
use conf::Service;
use conf::Settings;
use conf::Team;
use entry::Ports;
use net::BoxFuture;
use node::Node;
use node::Options;

const RATE: f64 = 40.0;
const BURST: f64 = 20.0;

/// A registry with a layout that limits one team, and nothing else.
struct OneLayout;

impl Registry for OneLayout {
    fn list<'a>(
        &'a self,
        topic: Topic,
        _after: Option<&'a str>,
        _limit: Duration,
    ) -> BoxFuture<'a, plat::Result<Page>> {
        let team = |name: &str, quota| Team {
            name: name.into(),
            keys: Vec::new(),
            rank: None,
            quota,
        };
        let quota = Quota {
            rate: RATE,
            burst: BURST,
        };
        let layout = Layout {
            ticket: 1,
            mappings: Vec::new(),
            services: vec![Service::new("plans", "/", Duration::from_secs(2))],
            limits: None,
            teams: Some(vec![team("limited", Some(quota)), team("free", None)]),
        };
        let entry = RegistryEntry {
            name: "layout".into(),
            revision: base::revisions::in_era(1, 1),
            value: Some(EntryValue::Layout(Box::new(layout))),
        };
        let items = (topic == Topic::Layout).then_some(entry);
        let page = Page {
            items: items.into_iter().collect(),
            next: None,
            is_cut: false,
            revision: base::revisions::in_era(1, 1),
        };
        Box::pin(async { Ok(page) })
    }

    fn watch(
        &self,
        _topic: Topic,
        revision: Revision,
        wait: Duration,
        _limit: Duration,
    ) -> BoxFuture<'_, plat::Result<Page>> {
        Box::pin(async move {
            smol::Timer::after(wait).await;
            Ok(Page {
                revision,
                ..Page::default()
            })
        })
    }

    fn write_rollout<'a>(
        &'a self,
        _name: &'a str,
        _revision: Revision,
        _state: RolloutState,
        _target: &'a str,
        _limit: Duration,
    ) -> BoxFuture<'a, plat::Result<Option<RegistryEntry>>> {
        Box::pin(async { Ok(None) })
    }

    fn era(&self) -> Era {
        1
    }

    fn register_vm<'a>(
        &'a self,
        _vm: &'a str,
        _address: SocketAddr,
        _limit: Duration,
    ) -> BoxFuture<'a, plat::Result<()>> {
        Box::pin(async { Ok(()) })
    }
}

fn settings(vm: usize, peers: &[SocketAddr]) -> Settings {
    let text = serde_json::json!({
        "vm": format!("vm-{vm}"),
        "domain": "north",
        "callers": { "listen": ["127.0.0.1:0"] },
        "peers": { "listen": peers[vm], "seeds": peers, "keys": ["5e0f6a7d".repeat(8)] },
        "platform": { "address": "127.0.0.1:1" },
        "quotas": { "window": "5s", "excess": 0.1, "slack": 4 },
        "threads": 1,
    });
    Settings::parse(&text.to_string()).unwrap()
}

/// Takes tokens of `team` at each VM in turn for `span`; returns how many calls may run.
async fn take_all(nodes: &[Node], team: &str, span: Duration) -> usize {
    let team = base::id::team(team);
    let end = Instant::now() + span;
    let mut granted = 0;
    while Instant::now() < end {
        for node in nodes {
            match Ports::take_quota(&**node.shared(), team).await {
                Ok(_) => granted += 1,
                Err(refused) => assert_eq!(refused.reason.name(), "quota"),
            }
        }
        smol::Timer::after(Duration::from_millis(4)).await;
    }
    granted
}

#[test]
fn running_vms_share_a_quota() {
    let sockets: Vec<UdpSocket> = (0..4)
        .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
        .collect();
    let peers: Vec<SocketAddr> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
    drop(sockets);
    smol::block_on(async {
        let mut nodes = Vec::new();
        for vm in 0..peers.len() {
            let options = Options {
                registry: Some(std::sync::Arc::new(OneLayout)),
                ..Options::default()
            };
            nodes.push(Node::start(settings(vm, &peers), options).await.unwrap());
        }
        smol::Timer::after(Duration::from_secs(6)).await;
        let span = Duration::from_secs(3);
        let granted = take_all(&nodes, "limited", span).await as f64;
        let shares: f64 = nodes.iter().map(|n| n.shared().quota_counts().share).sum();
        let messages: u64 = nodes
            .iter()
            .map(|n| n.shared().quota_counts().counts.messages)
            .sum();
        eprintln!("{granted} granted, share {shares}, {messages} messages");
        let quota = RATE * span.as_secs_f64();
        assert!((shares - 1.0).abs() < 1e-6, "{shares}");
        assert!(granted > 0.8 * quota, "{granted}");
        assert!(granted < (quota + BURST) * 1.1 + 4.0, "{granted}");
        // A team without a quota is never refused, and costs no message.
        let free = take_all(&nodes, "free", Duration::from_millis(100)).await;
        assert!(free >= nodes.len());
        for node in nodes {
            node.kill().await;
        }
    });
}
